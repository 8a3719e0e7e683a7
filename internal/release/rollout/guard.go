package rollout

import (
	"context"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Guard stops new sessions of its own instance from using the new version as
// soon as the merged evidence is against it. It doesn't wait for the driver to
// change the document, which matters while the store is unavailable and no
// change can be committed. The guard only restricts what the document allows,
// and only for the current trial.
type Guard struct {
	board    *board.Board
	evidence *Evidence
	clock    clockwork.Clock
	// blocked maps models to the trials that the evidence is against.
	blocked atomic.Pointer[map[string]string]
	recent  windows // used by Check only
}

// NewGuard returns a guard that blocks nothing until Check or Run is called.
func NewGuard(b *board.Board, evidence *Evidence, clock clockwork.Clock) *Guard {
	return &Guard{board: b, evidence: evidence, clock: clock, recent: windows{}}
}

// Run calls Check once per DriverInterval until ctx ends.
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

// Check evaluates the evidence on each rollout that collects any.
func (g *Guard) Check() {
	doc := g.board.Configuration.Get()
	if doc == nil {
		return
	}
	blocked := map[string]string{}
	previous := g.blocked.Load()
	for _, m := range doc.Models {
		r := doc.LatestRollout(m.Name)
		if r == nil || !collectsEvidence(r.State) || r.State == configuration.RolloutComplete && !isMonitored(r, g.clock.Now()) {
			continue
		}
		trial := TrialID(r)
		if previous != nil && (*previous)[m.Name] == trial {
			blocked[m.Name] = trial
			continue
		}
		d := Decide(newDecisionInput(g.evidence, g.recent, r, 0, g.clock.Now()))
		if d.Action == ActionHalt || d.Action == ActionWithdraw {
			events.Add("GuardClosed", 1)
			blocked[m.Name] = trial
		}
	}
	g.blocked.Store(&blocked)
}

// Fraction returns the fraction with which to choose a version of the model:
// FractionOldVersion if the evidence is against the new version, and the given
// fraction otherwise.
func (g *Guard) Fraction(model string, fraction float64) float64 {
	blocked := g.blocked.Load()
	if blocked == nil || (*blocked)[model] == "" {
		return fraction
	}
	doc := g.board.Configuration.Get()
	if doc == nil {
		return fraction
	}
	if r := doc.LatestRollout(model); r != nil && collectsEvidence(r.State) && TrialID(r) == (*blocked)[model] {
		return FractionOldVersion
	}
	return fraction
}
