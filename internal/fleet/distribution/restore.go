package distribution

import (
	"context"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// Restore writes the applied document into a store that has lost it: a store that
// was brought back from an old backup, was emptied, or holds a document that no
// instance applies. It first applies the highest revision among the members. The
// restored document gets a higher revision than all earlier ones.
//
// It returns the revision of the restored document, and ErrNothingToRestore if
// the store holds the applied document or a later one.
func (e *Editor) Restore(ctx context.Context, edit Edit) (int64, error) {
	if edit.ID == "" {
		return 0, configuration.ErrNoChangeID
	}
	e.applyHighest(ctx)
	applied := e.controller.board.Configuration.Get()
	if applied == nil {
		return 0, ErrNothingToRestore
	}
	value, mod, found, err := e.store.Get(ctx, store.Configuration, Key)
	if err != nil {
		return 0, err
	}
	floor := applied.Revision
	if found {
		stored, err := configuration.ParseStored(value, mod)
		if err == nil && stored.HasChange(edit.ID) {
			return stored.Revision, nil
		}
		if err == nil {
			if outcome := Evaluate(applied, stored); outcome == Same || outcome == Applied {
				return 0, ErrNothingToRestore
			}
			floor = max(floor, stored.Revision)
		}
	}
	record := configuration.NewChange(edit.ID, edit.Operator, edit.Summary, e.clock.Now())
	counts.Add("RestoreTried", 1)
	return e.commit(ctx, applied.Restored(record, floor), mod)
}

// applyHighest pulls the document from members that have a higher revision.
func (e *Editor) applyHighest(ctx context.Context) {
	for _, m := range e.AppliedRevisions(ctx, 0) {
		if m.Revision > e.controller.revision() {
			_ = e.controller.pull(ctx, m.Name, m.PeerAddress)
		}
	}
}

var _ EditStore = (*store.Client)(nil)
