package pipeline

import (
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// SessionQuery asks for the versions of a session.
type SessionQuery struct {
	Document *configuration.Document
	Customer *configuration.Customer
	// Identifier is what the caller sent: nothing, a token or its own name.
	Identifier string
	// Models are those that the request may run on.
	Models []string
	// ExactVersion is the version the caller asked for by name, if any.
	ExactVersion string
	Now          time.Time
}

// Session is the versions that the request's models run on.
type Session struct {
	// Identifier is what the caller is told to send next time.
	Identifier string
	// Versions holds the version of each model that the request may use.
	Versions map[string]string
	// InProgress says that the session began with an earlier request.
	InProgress bool
}
