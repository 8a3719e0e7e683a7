package rollout

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

const (
	// DriverInterval is the time between two passes of the driver.
	DriverInterval = time.Second
	// changeTimeout limits the time for committing one change of the
	// configuration.
	changeTimeout = 5 * time.Second
)

// events counts the actions of drivers and guards and their failures.
var events = expvar.NewMap("RolloutEvents")

// Driver carries out rollouts while its instance holds the lease. Its
// persistent state is in the configuration document, so another instance can
// take over at any point. Each change carries the driver's fencing token and
// the rollout state that it was decided on, and is rejected if either has
// changed.
type Driver struct {
	board    *board.Board
	evidence *Evidence
	lease    Lease
	editor   Editor
	loader   *loader
	clock    clockwork.Clock
	log      *zap.Logger
	// committedRevision is the revision of the driver's latest change. The
	// driver makes no decision on an older document.
	committedRevision int64
	recent            windows
}

// DriverOption configures a Driver.
type DriverOption func(*Driver)

// WithClock sets the clock. The default is the real clock.
func WithClock(c clockwork.Clock) DriverOption { return func(d *Driver) { d.clock = c } }

// WithLogger sets the logger. The default discards everything.
func WithLogger(l *zap.Logger) DriverOption { return func(d *Driver) { d.log = l } }

// NewDriver returns a driver that is idle until Run is called.
func NewDriver(b *board.Board, evidence *Evidence, lease Lease, editor Editor, orders OrderSender, weights WeightStore, options ...DriverOption) *Driver {
	d := &Driver{
		board: b, evidence: evidence, lease: lease, editor: editor,
		loader: newLoader(orders, weights),
		recent: windows{},
		clock:  clockwork.NewRealClock(), log: zap.NewNop(),
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Run drives rollouts whenever this instance holds the lease. It returns the
// error of ctx when ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		term, err := d.lease.Acquire(ctx)
		if err != nil {
			events.Add("LeaseUnavailable", 1)
			d.wait(ctx)
			continue
		}
		events.Add("LeaseAcquired", 1)
		d.log.Info("RolloutDriverBegins", zap.Int64("Fence", term.Fence))
		d.runTerm(term)
		term.Release()
	}
	return ctx.Err()
}

// runTerm makes passes until the term ends or another driver has taken over.
func (d *Driver) runTerm(term *Term) {
	for term.Context.Err() == nil {
		err := d.Step(term.Context, term.Fence)
		var fenced *FencedError
		if errors.As(err, &fenced) {
			events.Add("Fenced", 1)
			d.log.Warn("RolloutDriverSuperseded", zap.Error(err))
			return
		}
		if err != nil {
			d.log.Warn("RolloutStepFailed", zap.Error(err))
		}
		d.wait(term.Context)
	}
}

func (d *Driver) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(DriverInterval):
	}
}

// Step makes one pass: it decides on each rollout that is in progress or
// monitored, and sends the orders that bring the engines closer to the
// document. It returns a *FencedError if another driver has taken over.
func (d *Driver) Step(ctx context.Context, fence int64) error {
	doc := d.board.Configuration.Get()
	if doc == nil || doc.Revision < d.committedRevision {
		return nil
	}
	var errs []error
	for _, m := range doc.Models {
		r := doc.LatestRollout(m.Name)
		if r == nil || !isInProgress(r.State) && !isMonitored(r, d.clock.Now()) {
			continue
		}
		if err := d.drive(ctx, fence, doc, r); err != nil {
			errs = append(errs, err)
		}
	}
	if err := errors.Join(errs...); isFenced(err) {
		return err
	}
	errs = append(errs, d.loader.reconcile(ctx, fence, doc, d.board.Servers.Get(), d.clock.Now()))
	return errors.Join(errs...)
}

func isFenced(err error) bool {
	var fenced *FencedError
	return errors.As(err, &fenced)
}

// drive claims the rollout for this term if it carries an older fencing token,
// and otherwise decides on it.
func (d *Driver) drive(ctx context.Context, fence int64, doc *configuration.Document, r *configuration.Rollout) error {
	if r.Fence > fence {
		return &FencedError{Fence: fence, Newest: r.Fence}
	}
	if r.Fence < fence {
		return d.claim(ctx, fence, r)
	}
	decision := d.decide(doc, r)
	if decision.Action == ActionHold {
		return nil
	}
	id := fmt.Sprintf("rollout/%s/%d/%d/%s", r.ID, fence, len(r.History), decision.Action)
	summary := fmt.Sprintf("roll-out %s: %s: %s", r.ID, decision.Action, decision.Reason)
	return d.commitChange(ctx, id, summary, func(newest *configuration.Document) error {
		if err := checkUnchanged(newest, fence, r); err != nil {
			return err
		}
		return Apply(newest, r.ID, decision, d.clock.Now())
	})
}

// claim writes the fencing token of this term into the rollout. A late write of
// an earlier driver is rejected from then on.
func (d *Driver) claim(ctx context.Context, fence int64, r *configuration.Rollout) error {
	id := fmt.Sprintf("rollout/%s/%d/claim", r.ID, fence)
	return d.commitChange(ctx, id, fmt.Sprintf("roll-out %s: driver %d takes over", r.ID, fence), func(newest *configuration.Document) error {
		found := rolloutByID(newest, r.ID)
		if found == nil {
			return &StaleError{Rollout: r.ID, Decided: "claim", Found: "no rollout"}
		}
		if found.Fence > fence {
			return &FencedError{Fence: fence, Newest: found.Fence}
		}
		found.Fence = fence
		return nil
	})
}

// checkUnchanged returns an error if the rollout is no longer in the state that
// the decision was based on.
func checkUnchanged(newest *configuration.Document, fence int64, r *configuration.Rollout) error {
	found := rolloutByID(newest, r.ID)
	switch {
	case found == nil:
		return &StaleError{Rollout: r.ID, Decided: describeState(r), Found: "no rollout"}
	case found.Fence != fence:
		return &FencedError{Fence: fence, Newest: found.Fence}
	case found.State != r.State || found.Stage != r.Stage || !found.StageAt.Equal(r.StageAt):
		return &StaleError{Rollout: r.ID, Decided: describeState(r), Found: describeState(found)}
	}
	return nil
}

func describeState(r *configuration.Rollout) string {
	return fmt.Sprintf("%s stage %d since %s", r.State, r.Stage, r.StageAt.Format(time.RFC3339Nano))
}

func (d *Driver) commitChange(ctx context.Context, id, summary string, edit func(*configuration.Document) error) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	revision, err := d.editor.Change(ctx, id, summary, edit)
	var stale *StaleError
	switch {
	case errors.As(err, &stale):
		events.Add("Stale", 1)
		return err
	case err != nil:
		events.Add("ChangeFailed", 1)
		return fmt.Errorf("commit change %s: %w", id, err)
	}
	d.committedRevision = revision
	events.Add("Changed", 1)
	d.log.Info("RolloutChanged", zap.String("Change", id), zap.String("Summary", summary), zap.Int64("Revision", revision))
	return nil
}

// decide combines the evidence, the preset's pace and the capacity.
func (d *Driver) decide(doc *configuration.Document, r *configuration.Rollout) Decision {
	now := d.clock.Now()
	pace := 0.0
	if p := doc.ActivePreset(); p != nil {
		pace = p.RolloutPace
	}
	decision := Decide(newDecisionInput(d.evidence, d.recent, r, pace, now))
	if v := doc.Model(r.Model).Version(r.From); decision.Action == ActionWithdraw && (v == nil || v.State != configuration.VersionActive) {
		return Decision{ActionHold, "no version to go back to; " + decision.Reason}
	}
	return withCapacity(decision, r, capacityOf(d.board.Servers.Get(), doc, r, now), pace)
}

// withCapacity lets a stage begin or widen only if warm servers support it, and
// takes the share back if too few servers of the new version are left.
func withCapacity(d Decision, r *configuration.Rollout, c Capacity, pace float64) Decision {
	switch {
	case d.Action == ActionHalt || d.Action == ActionWithdraw:
		return d
	case r.State == configuration.RolloutHalted || r.State == configuration.RolloutComplete:
		return d
	case r.State == configuration.RolloutPreparing:
		if pace > 0 && c.supports(r.Stages[r.Stage]) {
			return Decision{ActionAdvance, c.String()}
		}
		return Decision{ActionHold, "waiting for warm servers: " + c.String()}
	case c.isInsufficient(r.Share()):
		return Decision{ActionPrepare, "servers of the new version are gone: " + c.String()}
	case d.Action == ActionAdvance && r.Stage+1 < len(r.Stages) && !c.supports(r.Stages[r.Stage+1]):
		return Decision{ActionHold, "waiting for warm servers: " + c.String()}
	}
	return d
}
