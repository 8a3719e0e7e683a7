package distribution

import (
	"errors"
	"fmt"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// Outcome is the result of comparing a document with the applied one.
type Outcome string

// The outcomes for a received document.
const (
	// Applied means that the document replaces the applied one.
	Applied Outcome = "Applied"
	// Same means that the document is already applied.
	Same Outcome = "Same"
	// Lower means that a higher revision is applied.
	Lower Outcome = "Lower"
	// Forked means that the document has a higher revision but does not
	// descend from the applied one: its serial number is not higher.
	Forked Outcome = "Forked"
	// NewerFormat means that the document has a format that only newer
	// programs read.
	NewerFormat Outcome = "NewerFormat"
	// Unreadable means that the document is corrupted or invalid.
	Unreadable Outcome = "Unreadable"
)

// RefusedError reports a document that was not applied.
type RefusedError struct {
	Outcome         Outcome
	Revision        int64
	AppliedRevision int64
	Err             error
}

func (e *RefusedError) Error() string {
	msg := fmt.Sprintf("document at revision %d not applied: %s (applied: %d)", e.Revision, e.Outcome, e.AppliedRevision)
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg
}

func (e *RefusedError) Unwrap() error { return e.Err }

// Evaluate decides whether the document offered replaces the document applied,
// which is nil if no document has been applied yet.
func Evaluate(applied, offered *configuration.Document) Outcome {
	switch {
	case applied == nil:
		return Applied
	case offered.Revision == applied.Revision:
		return Same
	case offered.Revision < applied.Revision:
		return Lower
	case applied.Serial > 0 && offered.Serial <= applied.Serial:
		return Forked
	}
	return Applied
}

// parseOutcome returns the outcome for a document whose parsing failed with err.
func parseOutcome(err error) Outcome {
	var format *configuration.FormatError
	if errors.As(err, &format) && format.Newer {
		return NewerFormat
	}
	return Unreadable
}
