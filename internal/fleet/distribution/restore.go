package distribution

import (
	"context"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// Restore writes the document in force into a store that has lost it: one
// brought back from an old backup, emptied, or overwritten with something that
// no instance applies. It first takes over the highest revision among the
// instances. The restored document gets a revision above all earlier ones.
func (e *Editor) Restore(ctx context.Context, edit Edit) (int64, error) {
	if edit.ID == "" {
		return 0, configuration.ErrNoChangeID
	}
	e.applyHighest(ctx)
	inForce := e.controller.board.Configuration.Get()
	if inForce == nil {
		return 0, ErrNothingToRestore
	}
	value, mod, found, err := e.store.Get(ctx, store.Configuration, Key)
	if err != nil {
		return 0, err
	}
	above := inForce.Revision
	if found {
		stored, err := configuration.ParseStored(value, mod)
		if err == nil && stored.HasChange(edit.ID) {
			return stored.Revision, nil
		}
		if err == nil {
			if outcome := Evaluate(inForce, stored); outcome == Same || outcome == Applied {
				return 0, ErrNothingToRestore
			}
			above = max(above, stored.Revision)
		}
	}
	record := configuration.NewChange(edit.ID, edit.Operator, edit.Summary, e.clock.Now())
	counts.Add("RestoreTried", 1)
	return e.commit(ctx, inForce.Restored(record, above), mod)
}

// applyHighest applies the highest revision that any member has.
func (e *Editor) applyHighest(ctx context.Context) {
	for _, in := range e.AppliedRevisions(ctx, 0) {
		if in.Revision > e.controller.revision() {
			_ = e.controller.pull(ctx, in.Name, in.PeerAddress)
		}
	}
}

var _ EditStore = (*store.Client)(nil)
