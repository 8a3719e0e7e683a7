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

// EditStore is what edits need of the platform's service.
type EditStore interface {
	Get(ctx context.Context, p store.Purpose, key string) (value []byte, modRevision int64, found bool, err error)
	Create(ctx context.Context, p store.Purpose, key string, value []byte) (created bool, rev int64, err error)
	CompareAndSwap(ctx context.Context, p store.Purpose, key string, expected int64, value []byte) (swapped bool, rev int64, err error)
}

// Edit names one change of the configuration.
type Edit struct {
	// ID is unique. An edit whose answer was lost is sent again under its ID.
	ID       string
	Operator string
	Summary  string
	// Expected is the revision that the edit was made on, 0 for the newest.
	Expected int64
}

// UnknownOutcomeError reports an edit of which it is not known whether it took
// effect. Sending it again under the same ID settles it.
type UnknownOutcomeError struct {
	ID  string
	Err error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change %s may have taken effect, send it again with the same ID: %v", e.ID, e.Err)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// StoreRevertedError reports that the store does not hold the document in
// force or a later one. Operators end this state by a restore.
type StoreRevertedError struct {
	Applied int64
	Stored  int64
	Reason  Outcome
}

func (e *StoreRevertedError) Error() string {
	return fmt.Sprintf("the store holds revision %d (%s) while %d is in force: run configuration restore", e.Stored, e.Reason, e.Applied)
}

// ErrNothingToRestore reports a restore while the store holds the document in
// force.
var ErrNothingToRestore = errors.New("the store holds the configuration in force: nothing to restore")

// Retries of an edit that lost a race or an answer.
const (
	editAttempts      = 64
	editRetryInterval = 100 * time.Millisecond
)

// Editor makes changes to the configuration.
type Editor struct {
	controller *Controller
	store      EditStore
	clock      clockwork.Clock
}

// NewEditor returns an editor beside the controller of the same instance.
func NewEditor(c *Controller, s EditStore) *Editor {
	return &Editor{controller: c, store: s, clock: c.clock}
}

// Change edits the newest document and commits it by compare-and-swap. It
// returns the revision that holds the change. The edit function may be called
// more than once, each time with a copy of the newest document.
//
// The error is a *configuration.ConflictError when another edit was accepted
// since the expected revision, and an *UnsettledError when the outcome is not
// known.
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

// errLostRace reports an attempt that lost a race; the next reads the newest.
var errLostRace = errors.New("another edit was accepted first")

// provesNotApplied reports whether an error proves that an earlier attempt took no
// effect: the document has moved on without it.
func provesNotApplied(err error) bool {
	var conflict *configuration.ConflictError
	return errors.As(err, &conflict)
}

// tryChange reads the newest document, edits it and tries to commit it.
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

// readNewest reads the document that an edit starts from, an empty one if nothing
// was ever configured.
func (e *Editor) readNewest(ctx context.Context) (*configuration.Document, int64, error) {
	value, mod, found, err := e.store.Get(ctx, store.Configuration, Key)
	if err != nil {
		return nil, 0, err
	}
	inForce := e.controller.board.Configuration.Get()
	if !found && inForce == nil {
		return &configuration.Document{FormatVersion: configuration.FormatVersion}, 0, nil
	}
	if !found {
		return nil, 0, &StoreRevertedError{Applied: inForce.Revision, Reason: Lower}
	}
	doc, err := configuration.ParseStored(value, mod)
	if err != nil {
		return nil, mod, err
	}
	if outcome := Evaluate(inForce, doc); outcome != Applied && outcome != Same {
		return nil, mod, &StoreRevertedError{Applied: inForce.Revision, Stored: doc.Revision, Reason: outcome}
	}
	return doc, mod, nil
}

// commit writes a document over the one at this modification revision.
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
