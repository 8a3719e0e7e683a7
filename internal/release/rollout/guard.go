package rollout

import (
	"context"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Guard keeps new sessions of its own instance off a version as soon as the
// merged evidence speaks against it, without waiting for the driver's change of
// the document. It matters while the store is out and nothing can be changed.
// It only narrows what the document allows, and only for the present trial.
type Guard struct {
	board    *board.Board
	evidence *Evidence
	clock    clockwork.Clock
	// blocked maps models to the trials that the evidence speaks against.
	blocked atomic.Pointer[map[string]string]
	recent  windows // used by Check only
}

// NewGuard returns a guard that lets everything pass until Check or Run.
func NewGuard(b *board.Board, evidence *Evidence, clock clockwork.Clock) *Guard {
	return &Guard{board: b, evidence: evidence, clock: clock, recent: windows{}}
}

// Run checks once in each interval until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.clock.After(DriverInterval):
			g.Check()
		}
	}
}

// Check weighs the evidence on each roll-out under way.
func (g *Guard) Check() {
	doc := g.board.Configuration.Get()
	if doc == nil {
		return
	}
	closed := map[string]string{}
	before := g.blocked.Load()
	for _, m := range doc.Models {
		r := doc.RolloutOf(m.Name)
		if r == nil || !collectsEvidence(r.State) || r.State == configuration.RolloutComplete && !isMonitored(r, g.clock.Now()) {
			continue
		}
		trial := TrialID(r)
		if before != nil && (*before)[m.Name] == trial {
			closed[m.Name] = trial
			continue
		}
		d := Decide(newCase(g.evidence, g.recent, r, 0, g.clock.Now()))
		if d.Action == ActionHalt || d.Action == ActionWithdraw {
			events.Add("GuardClosed", 1)
			closed[m.Name] = trial
		}
	}
	g.blocked.Store(&closed)
}

// Fraction returns the unit to choose a version of the model with: UnitOld if the
// evidence speaks against the new version, else unit itself.
func (g *Guard) Fraction(model string, unit float64) float64 {
	closed := g.blocked.Load()
	if closed == nil || (*closed)[model] == "" {
		return unit
	}
	doc := g.board.Configuration.Get()
	if doc == nil {
		return unit
	}
	if r := doc.RolloutOf(model); r != nil && collectsEvidence(r.State) && TrialID(r) == (*closed)[model] {
		return FractionOldVersion
	}
	return unit
}
