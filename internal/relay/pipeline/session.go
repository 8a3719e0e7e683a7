package pipeline

import (
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// SessionQuery holds the parameters for resolving the versions of a session.
type SessionQuery struct {
	Document *configuration.Document
	Customer *configuration.Customer
	// Identifier is what the caller sent: empty, a sealed session token or a name
	// that the caller gave the session.
	Identifier string
	// Models are the models that the request may run on.
	Models []string
	// ExactVersion is the version that the caller named, or empty.
	ExactVersion string
	Now          time.Time
}

// Session holds the version of each model that a request may run on.
type Session struct {
	// Identifier is what the caller sends with the next request of the session.
	Identifier string
	// Versions maps model names to versions. Models without a usable version are
	// missing.
	Versions map[string]string
	// InProgress is set if the session began with an earlier request.
	InProgress bool
}
