package distribution

import (
	"errors"
	"fmt"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// Outcome says what became of a document that was offered.
type Outcome string

// The outcomes of an offer.
const (
	// Applied means that the document is now in force here.
	Applied Outcome = "Applied"
	// Same means that it was in force already.
	Same Outcome = "Same"
	// Lower means that a higher revision is in force.
	Lower Outcome = "Lower"
	// Forked means that its revision is higher, but that it does not descend
	// from the document in force.
	Forked Outcome = "Forked"
	// NewerFormat means that a newer program wrote it.
	NewerFormat Outcome = "NewerFormat"
	// Unreadable means that it is corrupted or breaks the document's rules.
	Unreadable Outcome = "Unreadable"
)

// RefusedError reports a document that was not applied.
type RefusedError struct {
	Outcome  Outcome
	Revision int64
	Applied  int64
	Err      error
}

func (e *RefusedError) Error() string {
	msg := fmt.Sprintf("document at revision %d not applied: %s (in force: %d)", e.Revision, e.Outcome, e.Applied)
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg
}

func (e *RefusedError) Unwrap() error { return e.Err }

// Evaluate decides whether a document replaces the one in force, nil if none is.
func Evaluate(inForce, offered *configuration.Document) Outcome {
	switch {
	case inForce == nil:
		return Applied
	case offered.Revision == inForce.Revision:
		return Same
	case offered.Revision < inForce.Revision:
		return Lower
	case inForce.Serial > 0 && offered.Serial <= inForce.Serial:
		return Forked
	}
	return Applied
}

// parseOutcome classifies the error of a document that did not parse.
func parseOutcome(err error) Outcome {
	var format *configuration.FormatError
	if errors.As(err, &format) && format.Newer {
		return NewerFormat
	}
	return Unreadable
}
