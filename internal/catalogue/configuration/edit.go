package configuration

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits of a stored document.
const (
	// MaxChanges is the number of recent edits that a document keeps.
	MaxChanges = 64
	// MaxFields is the maximum number of changed fields that an edit lists.
	MaxFields = 16
	// MaxBytes is the size of the largest value that the store accepts.
	MaxBytes = 1 << 20
)

// ConflictError reports an edit based on a revision that is no longer in force.
// The edit has changed nothing.
type ConflictError struct {
	Expected int64
	Actual   int64
	// Fields lists the paths of the fields changed since the expected revision.
	Fields []string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: expected revision %d, in force is %d, changed since: %s", e.Expected, e.Actual, strings.Join(e.Fields, ", "))
}

// SizeError reports a document that is too large for the store.
type SizeError struct {
	Bytes int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("document of %d bytes is larger than %d", e.Bytes, MaxBytes)
}

// ParseStored decodes a value read from the store. modRevision is the store's
// modification revision of the value, to which the document's base is added.
func ParseStored(value []byte, modRevision int64) (*Document, error) {
	doc, err := Parse(value, modRevision)
	if err != nil {
		return nil, err
	}
	doc.Revision = doc.Base + modRevision
	return doc, nil
}

// StoreRevision returns the store's modification revision of the document.
func (d *Document) StoreRevision() int64 { return d.Revision - d.Base }

// HasChange reports whether the edit with this ID is among the recent edits that
// the document keeps.
func (d *Document) HasChange(id string) bool {
	return slices.ContainsFunc(d.Changes, func(c Change) bool { return c.ID == id })
}

// Apply returns an edited and validated copy of the document with the change
// recorded, and the paths of the fields that differ. If the edit changes no
// field, the change is not recorded.
func (d *Document) Apply(change Change, edit func(*Document) error) (*Document, []string, error) {
	next := d.Clone()
	if err := edit(next); err != nil {
		return nil, nil, err
	}
	next.FormatVersion = FormatVersion
	fields := Diff(d, next)
	if len(fields) == 0 {
		return next, nil, nil
	}
	if err := next.Validate(); err != nil {
		return nil, nil, err
	}
	change.Parent = d.Revision
	change.Fields = fields[:min(len(fields), MaxFields)]
	next.addChange(change)
	return next, fields, nil
}

// addChange appends a change and counts it.
func (d *Document) addChange(change Change) {
	d.Changes = append(d.Changes, change)
	d.Changes = d.Changes[max(0, len(d.Changes)-MaxChanges):]
	d.Serial++
}

// Restored returns a copy to be written to a store whose revisions have
// decreased. The copy's base is the document's revision or above, whichever is
// higher. If above is the highest revision that was ever in force, the copy's
// revision exceeds all of them.
func (d *Document) Restored(change Change, above int64) *Document {
	next := d.Clone()
	next.Base = max(d.Revision, above)
	change.Parent = d.Revision
	next.addChange(change)
	return next
}

// ChangedSince returns the sorted paths of the fields that the recent edits
// after a revision have changed.
func (d *Document) ChangedSince(revision int64) []string {
	var fields []string
	for _, c := range d.Changes {
		if c.Parent >= revision {
			fields = append(fields, c.Fields...)
		}
	}
	slices.Sort(fields)
	return slices.Compact(fields)
}

// Conflict returns the error for an edit based on the expected revision when d is
// in force.
func (d *Document) Conflict(expected int64) *ConflictError {
	return &ConflictError{Expected: expected, Actual: d.Revision, Fields: d.ChangedSince(expected)}
}

// EncodeForStore encodes the document. It returns a *SizeError if the value is
// too large for the store.
func (d *Document) EncodeForStore() ([]byte, error) {
	value, err := d.Encode()
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	if len(value) > MaxBytes {
		return nil, &SizeError{Bytes: len(value)}
	}
	return value, nil
}

// ErrNoChangeID is returned for an edit without an ID.
var ErrNoChangeID = errors.New("a change needs an ID")

// NewChange returns the record of an edit made at the given time.
func NewChange(id, operator, summary string, at time.Time) Change {
	return Change{ID: id, Operator: operator, Summary: summary, At: at.UTC()}
}
