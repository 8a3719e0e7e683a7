package gateway

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/internal/release/verdict"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

// releases chooses the version that a session runs on while a roll-out goes
// on, collects how the versions do, and, on the driving instance, decides.
type releases struct {
	gateway *Gateway

	mu sync.Mutex
	// trials holds this instance's own evidence by service.
	trials map[string]*trial
	// merged holds all instances' evidence on the driver.
	merged map[string]map[string]verdict.Evidence
	pins   map[string]pin
	// vacantSince is when a driver was first missed.
	vacantSince time.Time
}

// trial is one roll-out as this instance sees it.
type trial struct {
	order    int64
	target   string
	seenAt   time.Time
	evidence verdict.Evidence
	// beganAt is when the order was given, as far as this instance knows: it
	// saw the order, or a record that says how old it was.
	beganAt time.Time
	// record is the revision of the last record seen.
	record int64
	// restsUntil is when the driver decides again after a record that the
	// watch has yet to bring.
	restsUntil time.Time
	// bad says that this instance's own evidence is enough against the target.
	bad     bool
	changed bool
	// decided says that the roll-out is over.
	decided bool
}

// pin is the version that a session's last request ran on.
type pin struct {
	version string
	at      time.Time
}

const (
	// releaseEvery is how often roll-outs are looked at.
	releaseEvery = 300 * time.Millisecond
	// driverStep is how long each further instance waits for the one before
	// it to become the driver.
	driverStep = 600 * time.Millisecond
	// progressRecords is how many records of its progress a roll-out gets: the
	// last 0.18 of its time are left for what a new driver does not know.
	progressRecords = 8
	// maxPins bounds the sessions that are remembered.
	maxPins = 20000
	// slowFactor and slowFloor say when an answer is slow: it took so many
	// times the prediction, and so much at least.
	slowFactor = 4
	slowFloor  = 250 * time.Millisecond
)

func newReleases(g *Gateway) *releases {
	return &releases{gateway: g, trials: map[string]*trial{}, merged: map[string]map[string]verdict.Evidence{}, pins: map[string]pin{}}
}

// versions returns the versions that a request of a session may run on.
func (r *releases) versions(service, session string) dispatch.VersionConstraint {
	fleet := r.gateway.fleet()
	stage, recorded := fleet.Rollouts[service]
	order, ordered := fleet.Orders[service]
	if ordered && (!recorded || stage.Order != order.Revision) {
		return dispatch.VersionConstraint{Except: order.Target}
	}
	if !recorded {
		return dispatch.VersionConstraint{}
	}
	switch stage.State {
	case follower.RolloutReverted:
		return dispatch.VersionConstraint{Except: stage.Target}
	case follower.RolloutComplete:
		if r.ready(service, stage.Target) > 0 {
			return dispatch.VersionConstraint{Only: stage.Target}
		}
		return dispatch.VersionConstraint{}
	}
	if r.isNew(stage, service, session) {
		return dispatch.VersionConstraint{Only: stage.Target}
	}
	return dispatch.VersionConstraint{Except: stage.Target}
}

// isNew decides for one session of a roll-out under way. Sessions are chosen
// by their name, so that all instances agree and a growing share moves none
// back; one that runs already stays where it is while the share is a trial's.
func (r *releases) isNew(stage follower.RolloutProgress, service, session string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[service]
	if t == nil || t.order != stage.Order || t.bad {
		return false
	}
	if !chosen(session, stage.Share) {
		return false
	}
	if stage.Share > r.gateway.bounds().ExposureShare {
		return true
	}
	p, pinned := r.pins[session]
	if pinned && p.version == stage.Target {
		return true
	}
	// During the trial a session in progress stays where it is. Whether one is
	// in progress at another instance is known after a session's longest pause.
	window := r.gateway.bounds().SessionIdleTimeout + sessionMargin
	if r.gateway.Clock.Since(t.seenAt) < window {
		return false
	}
	return !pinned || r.gateway.Clock.Since(p.at) >= window
}

// sessionMargin covers the time that an answer goes on after it was placed.
const sessionMargin = 3 * time.Second

// chosen reports whether a session is among a share of all.
func chosen(session string, share float64) bool {
	return float64(xxhash.Sum64String(session))/math.MaxUint64 < share
}

// place notes where a request of a session is sent, and tells the others if
// the session is one of a trial's.
func (r *releases) place(service, session, version string) {
	r.mu.Lock()
	t := r.trials[service]
	tell := t != nil && !t.decided && chosen(session, r.gateway.bounds().ExposureShare)
	if tell {
		r.pin(session, version)
	}
	r.mu.Unlock()
	if tell {
		r.gateway.peers.broadcast(&message{Sessions: []sessionMessage{{service, session, version}}})
	}
}

// ready counts a service's servers of a version that take work.
func (r *releases) ready(service, version string) int {
	l := r.gateway.follower.View.Servers.Get()
	if l == nil {
		return 0
	}
	n := 0
	for _, s := range l.ByService[service] {
		if s.Version == version && s.State == backend.Ready {
			n++
		}
	}
	return n
}

// observe adds an attempt to the evidence of its service's roll-out.
func (r *releases) observe(o pipeline.AttemptOutcome) {
	s := o.Assignment.Server
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[s.Service]
	if t == nil || o.FirstEvent <= 0 && !o.Failed {
		return
	}
	c := verdict.Counts{Answers: 1}
	if o.Failed {
		c.Failed = 1
	} else if o.FirstEvent > slowFloor && o.FirstEvent > slowFactor*o.PredictedWait {
		c.Slow = 1
	}
	pair := verdict.Comparison{Old: c}
	if s.Version == t.target {
		pair = verdict.Comparison{New: c}
	}
	t.evidence.Add(verdict.Evidence{o.Route: pair})
	t.changed = true
	if !t.bad && verdict.IsRegression(t.evidence) {
		t.bad = true
		r.gateway.Log.Warn("VersionDistrusted", zap.String("Service", s.Service), zap.String("Version", t.target), zap.String("Evidence", fmt.Sprintf("%+v", t.evidence)))
	}
}

// run follows the roll-outs until the context ends.
func (r *releases) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.step(ctx)
		select {
		case <-ctx.Done():
		case <-r.gateway.Clock.After(releaseEvery):
		}
	}
}

// open returns the orders that have not been decided, and renews the trials.
func (r *releases) open(fleet follower.Fleet) []follower.RolloutOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	var orders []follower.RolloutOrder
	for service, order := range fleet.Orders {
		stage := fleet.Rollouts[service]
		if stage.Order == order.Revision && stage.State != follower.RolloutActive {
			if t := r.trials[service]; t != nil {
				t.decided = true
			}
			continue
		}
		orders = append(orders, order)
		now := r.gateway.Clock.Now()
		t := r.trials[service]
		if t == nil || t.order != order.Revision {
			t = &trial{order: order.Revision, target: order.Target, seenAt: now, beganAt: now, evidence: verdict.Evidence{}}
			r.trials[service] = t
			delete(r.merged, service)
		}
		if stage.Order == order.Revision {
			t.learn(stage, now)
		}
	}
	return orders
}

// learn takes the age of the order from a record that is seen for the first
// time: this instance may have started long after the order.
func (t *trial) learn(s follower.RolloutProgress, now time.Time) {
	if s.Revision == t.record {
		return
	}
	t.record = s.Revision
	if began := now.Add(-s.Elapsed); began.Before(t.beganAt) {
		t.beganAt = began
	}
}

func (r *releases) step(ctx context.Context) {
	fleet := r.gateway.fleet()
	orders := r.open(fleet)
	if len(orders) == 0 {
		r.vacantSince = time.Time{}
		return
	}
	switch fleet.Driver.Instance {
	case "":
		r.candidate(ctx)
	case r.gateway.Settings.Instance:
		for _, order := range orders {
			r.drive(ctx, order, fleet)
		}
	default:
		r.vacantSince = time.Time{}
		for _, order := range orders {
			r.send(order, fleet.Instances[fleet.Driver.Instance].PeerAddress)
		}
	}
}

// candidate takes the office of driver if it is vacant. Instances wait their
// turn, so that one call is enough as a rule.
func (r *releases) candidate(ctx context.Context) {
	g := r.gateway
	now := g.Clock.Now()
	if r.vacantSince.IsZero() {
		r.vacantSince = now
	}
	names := g.members()
	slices.Sort(names)
	turn := time.Duration(slices.Index(names, g.Settings.Instance)) * driverStep
	lease := g.member.current()
	if now.Sub(r.vacantSince) < turn || lease == 0 || !g.IsReady() {
		return
	}
	r.vacantSince = now
	taken, err := g.Store.BecomeDriver(ctx, lease, g.Settings.Instance)
	g.Log.Info("DriverSought", zap.Bool("Taken", taken), zap.Error(err))
}

// drive decides on one roll-out and records the decision.
func (r *releases) drive(ctx context.Context, order follower.RolloutOrder, fleet follower.Fleet) {
	g := r.gateway
	stage := fleet.Rollouts[order.Service]
	revision := stage.Revision
	if stage.Order != order.Revision {
		stage = follower.RolloutProgress{}
	}
	evidence, beganAt, restsUntil := r.all(order.Service)
	if g.Clock.Now().Before(restsUntil) {
		return
	}
	elapsed := g.Clock.Since(beganAt)
	decision := verdict.Decide(verdict.DecisionInput{
		Elapsed: elapsed, Duration: order.Duration, MaxExposure: g.bounds().ExposureShare, Evidence: evidence,
		Ready: r.ready(order.Service, order.Target), Share: stage.Share,
	})
	next := follower.RolloutProgress{
		Service: order.Service, Order: order.Revision, Target: order.Target, State: follower.RolloutActive, Share: decision.Share,
		Elapsed: elapsed, Revision: revision,
	}
	switch {
	case decision.Revert:
		next.State, next.Share = follower.RolloutReverted, 0
	case decision.Complete:
		next.State, next.Share = follower.RolloutComplete, 1
	}
	if !isWorthRecording(stage, next, order.Duration) {
		return
	}
	done, err := g.Store.RecordStage(ctx, next, fleet.Driver)
	g.Log.Info("StageRecorded", zap.Bool("Done", done), zap.String("Stage", fmt.Sprintf("%+v", next)), zap.String("Evidence", fmt.Sprintf("%+v", evidence)), zap.Error(err))
	if err == nil && done {
		r.rest(order.Service)
	}
}

// isWorthRecording reports whether a stage differs from the recorded one by a
// decision, or by so much time that a driver that starts anew would be late.
func isWorthRecording(recorded, next follower.RolloutProgress, duration time.Duration) bool {
	return recorded.Order != next.Order || recorded.State != next.State || recorded.Share != next.Share ||
		next.Elapsed-recorded.Elapsed >= duration/progressRecords
}

func (r *releases) rest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trials[service].restsUntil = r.gateway.Clock.Now().Add(2 * releaseEvery)
}

// all merges the evidence of all instances.
func (r *releases) all(service string) (evidence verdict.Evidence, beganAt, restsUntil time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[service]
	sum := verdict.Evidence{}
	sum.Add(t.evidence)
	for _, e := range r.merged[service] {
		sum.Add(e)
	}
	return sum, t.beganAt, t.restsUntil
}

// send tells the driver this instance's evidence if there is something new.
func (r *releases) send(order follower.RolloutOrder, address string) {
	r.mu.Lock()
	t := r.trials[order.Service]
	changed := t.changed
	t.changed = false
	evidence := verdict.Evidence{}
	evidence.Add(t.evidence)
	r.mu.Unlock()
	if changed {
		r.gateway.peers.send(address, &message{Evidence: &evidenceMessage{order.Service, t.order, evidence}})
	}
}

// merge takes in another instance's evidence.
func (r *releases) merge(from string, m evidenceMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.trials[m.Service]; t == nil || t.order != m.Order {
		return
	}
	if r.merged[m.Service] == nil {
		r.merged[m.Service] = map[string]verdict.Evidence{}
	}
	r.merged[m.Service][from] = m.Evidence
}

// seen notes on which version a session's request ran at another instance.
func (r *releases) seen(s sessionMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pin(s.Session, s.Version)
}

func (r *releases) pin(session, version string) {
	if len(r.pins) >= maxPins {
		clear(r.pins)
	}
	r.pins[session] = pin{version, r.gateway.Clock.Now()}
}
