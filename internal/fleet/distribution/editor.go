package distribution

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// EditStore is the part of the platform's store that the Editor uses.
type EditStore interface {
	Get(ctx context.Context, p store.Purpose, key string) (value []byte, modRevision int64, found bool, err error)
	Create(ctx context.Context, p store.Purpose, key string, value []byte) (created bool, rev int64, err error)
	CompareAndSwap(ctx context.Context, p store.Purpose, key string, expected int64, value []byte) (swapped bool, rev int64, err error)
}

// Edit identifies one change of the configuration.
type Edit struct {
	// ID is the unique ID of the change. An edit whose answer was lost is
	// retried with the same ID.
	ID       string
	Operator string
	Summary  string
	// Expected is the revision that the operator edited. The change fails with a
	// conflict if that revision is no longer the newest; 0 accepts any revision.
	Expected int64
}

// UnknownOutcomeError reports an edit that may or may not have taken effect.
// Retrying it with the same ID is safe and determines the outcome.
type UnknownOutcomeError struct {
	ID  string
	Err error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change %s may have taken effect, send it again with the same ID: %v", e.ID, e.Err)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// StoreRevertedError reports that the store holds neither the applied document
// nor a later one, for example because it was brought back from an old backup.
// An operator resolves this with Editor.Restore.
type StoreRevertedError struct {
	AppliedRevision int64
	StoredRevision  int64
	Reason          Outcome
}

func (e *StoreRevertedError) Error() string {
	return fmt.Sprintf("the store holds revision %d (%s) while %d is in force: run configuration restore", e.StoredRevision, e.Reason, e.AppliedRevision)
}

// ErrNothingToRestore is returned by Editor.Restore if the store holds the
// applied document or a later one, or if no document has been applied.
var ErrNothingToRestore = errors.New("the store holds the configuration in force: nothing to restore")

// Limits on the retries of an edit that lost a race or whose answer was lost.
const (
	editAttempts      = 64
	editRetryInterval = 100 * time.Millisecond
)

// Editor commits changes of the configuration to the store.
type Editor struct {
	controller *Controller
	store      EditStore
	clock      clockwork.Clock
}

// NewEditor returns an editor that works with c, the controller of the same
// instance, and uses its clock.
func NewEditor(c *Controller, s EditStore) *Editor {
	return &Editor{controller: c, store: s, clock: c.clock}
}

// Change edits the newest document and commits it by compare-and-swap. It
// returns the revision that contains the change. It may call the change function
// more than once, each time with a copy of the newest document.
//
// The error is a *configuration.ConflictError if another edit was accepted since
// edit.Expected, a *StoreRevertedError if the store has lost the applied
// document, and an *UnknownOutcomeError if the change may have taken effect.
func (e *Editor) Change(ctx context.Context, edit Edit, change func(*configuration.Document) error) (int64, error) {
	if edit.ID == "" {
		return 0, configuration.ErrNoChangeID
	}
	var lost error
	for range editAttempts {
		revision, err := e.tryChange(ctx, edit, change)
		var unavailable *store.UnavailableError
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, errLostRace):
		case errors.As(err, &unavailable) && unavailable.MayHaveTakenEffect:
			counts.Add("EditAnswerLost", 1)
			lost = err
		case lost != nil && errors.As(err, &unavailable):
		case lost != nil && provesNotApplied(err):
			return 0, err
		case lost != nil:
			return 0, &UnknownOutcomeError{ID: edit.ID, Err: errors.Join(err, lost)}
		default:
			return 0, err
		}
		if !e.controller.sleep(ctx, editRetryInterval) {
			break
		}
	}
	if lost != nil {
		return 0, &UnknownOutcomeError{ID: edit.ID, Err: lost}
	}
	return 0, errLostRace
}

// errLostRace reports an attempt that lost the compare-and-swap to another edit.
// The next attempt reads the newest document again.
var errLostRace = errors.New("another edit was accepted first")

// provesNotApplied reports whether err proves that an earlier attempt of the same
// change had no effect. A conflict does: the newest document differs from the
// expected one and does not contain the change.
func provesNotApplied(err error) bool {
	var conflict *configuration.ConflictError
	return errors.As(err, &conflict)
}

// tryChange reads the newest document, edits it and tries once to commit it.
func (e *Editor) tryChange(ctx context.Context, edit Edit, change func(*configuration.Document) error) (int64, error) {
	doc, mod, err := e.readNewest(ctx)
	if err != nil {
		return 0, err
	}
	if doc.Revision > 0 {
		e.controller.apply(doc, sourceEdit)
	}
	if doc.HasChange(edit.ID) {
		return doc.Revision, nil
	}
	if edit.Expected != 0 && edit.Expected != doc.Revision {
		counts.Add("EditConflict", 1)
		return 0, doc.Conflict(edit.Expected)
	}
	record := configuration.NewChange(edit.ID, edit.Operator, edit.Summary, e.clock.Now())
	next, fields, err := doc.Apply(record, change)
	if err != nil {
		return 0, err
	}
	if len(fields) == 0 {
		return doc.Revision, nil
	}
	return e.commit(ctx, next, mod)
}

// readNewest reads the document that an edit starts from and its modification
// revision. The document is empty if the store has none and none is applied.
func (e *Editor) readNewest(ctx context.Context) (*configuration.Document, int64, error) {
	value, mod, found, err := e.store.Get(ctx, store.Configuration, Key)
	if err != nil {
		return nil, 0, err
	}
	applied := e.controller.board.Configuration.Get()
	if !found && applied == nil {
		return &configuration.Document{FormatVersion: configuration.FormatVersion}, 0, nil
	}
	if !found {
		return nil, 0, &StoreRevertedError{AppliedRevision: applied.Revision, Reason: Lower}
	}
	doc, err := configuration.ParseStored(value, mod)
	if err != nil {
		return nil, mod, err
	}
	if outcome := Evaluate(applied, doc); outcome != Applied && outcome != Same {
		return nil, mod, &StoreRevertedError{AppliedRevision: applied.Revision, StoredRevision: doc.Revision, Reason: outcome}
	}
	return doc, mod, nil
}

// commit replaces the stored document at modification revision mod, or creates
// the key if mod is 0, and returns the revision of next.
func (e *Editor) commit(ctx context.Context, next *configuration.Document, mod int64) (int64, error) {
	value, err := next.EncodeForStore()
	if err != nil {
		return 0, err
	}
	var committed bool
	var rev int64
	if mod == 0 {
		committed, rev, err = e.store.Create(ctx, store.Configuration, Key, value)
	} else {
		committed, rev, err = e.store.CompareAndSwap(ctx, store.Configuration, Key, mod, value)
	}
	if err != nil {
		return 0, err
	}
	if !committed {
		counts.Add("EditRaced", 1)
		return 0, errLostRace
	}
	counts.Add("EditAccepted", 1)
	next.Revision = next.Base + rev
	e.controller.apply(next, sourceEdit)
	return next.Revision, nil
}
