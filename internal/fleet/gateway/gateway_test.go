package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/billing/tally"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

// testGateway returns a gateway whose view the test writes.
func testGateway(clock clockwork.Clock) *Gateway {
	return New(Dependencies{
		Settings: Settings{
			Instance: "edge-1", DataCentre: "gulberg", GracePeriod: 8 * time.Second, StrictRevocation: true, MaxRevokeDelay: 5 * time.Second,
			ExposureShare: 0.15, SessionIdleTimeout: 5 * time.Second, RetryWindow: 10 * time.Second,
		},
		Decode: func(i follower.Item) follower.Change { return follower.Change{Key: i.Key} }, Clock: clock, Log: zap.NewNop(),
	})
}

func publish(g *Gateway, fleet follower.Fleet, servers ...backend.Server) {
	d := backend.NewDirectory()
	for i, s := range servers {
		s.State, s.Service, s.Revision = backend.Ready, "assistant", int64(i+1)
		d.Announce(s, g.Clock.Now())
	}
	g.follower.View.Servers.Publish(d.Listing())
	g.follower.View.Fleet.Publish(&fleet)
}

func rollout(state follower.RolloutState, share float64) follower.Fleet {
	return follower.Fleet{
		Orders:   map[string]follower.RolloutOrder{"assistant": {Service: "assistant", Target: "v2", Duration: 24 * time.Second, Revision: 7}},
		Rollouts: map[string]follower.RolloutProgress{"assistant": {Service: "assistant", Order: 7, Target: "v2", State: state, Share: share}},
	}
}

func newShare(g *Gateway) float64 {
	n := 0
	for i := range 2000 {
		if g.releases.versions("assistant", fmt.Sprint(i)).Only == "v2" {
			n++
		}
	}
	return float64(n) / 2000
}

func TestVersionsThroughARollout(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := testGateway(clock)
	publish(g, follower.Fleet{})
	is.Equal(g.releases.versions("assistant", "s"), dispatch.VersionConstraint{})

	ordered := rollout(follower.RolloutActive, 0)
	ordered.Rollouts = nil
	publish(g, ordered, backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})
	is.Equal(g.releases.versions("assistant", "s"), dispatch.VersionConstraint{Except: "v2"}) // ordered, not begun

	trial := rollout(follower.RolloutActive, 0.075)
	publish(g, trial, backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})
	g.releases.open(trial)
	is.Equal(newShare(g), 0.0) // sessions of other instances may be in progress
	clock.Advance(g.Settings.SessionIdleTimeout + sessionMargin)
	share := newShare(g)
	is.True(share > 0.05 && share < 0.1)

	publish(g, rollout(follower.RolloutActive, 1), backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})
	is.Equal(newShare(g), 1.0)
	publish(g, rollout(follower.RolloutReverted, 0), backend.Server{ID: "a", Version: "v1"})
	is.Equal(g.releases.versions("assistant", "s"), dispatch.VersionConstraint{Except: "v2"})
	publish(g, rollout(follower.RolloutComplete, 1), backend.Server{ID: "b", Version: "v2"})
	is.Equal(g.releases.versions("assistant", "s"), dispatch.VersionConstraint{Only: "v2"})
	publish(g, rollout(follower.RolloutComplete, 1), backend.Server{ID: "c", Version: "v3"})
	is.Equal(g.releases.versions("assistant", "s"), dispatch.VersionConstraint{}) // replaced meanwhile
}

// recorder is a store that keeps the stages that are recorded.
type recorder struct {
	Store
	stages []follower.RolloutProgress
}

func (r *recorder) RecordStage(_ context.Context, s follower.RolloutProgress, _ follower.Driver) (bool, error) {
	r.stages = append(r.stages, s)
	return true, nil
}

// A driver that starts in the middle of a roll-out knows from the record how
// far it is. (Pottyround, scale-1: the driver was killed and started again, and
// counted from its start. The roll-out ended 10 s late, after its deadline, and
// half of the servers were stopped with it.)
func TestRolloutGoesOnAfterTheDriversRestart(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := testGateway(clock)
	store := &recorder{}
	g.Store = store
	fleet := rollout(follower.RolloutActive, 0.075)
	stage := fleet.Rollouts["assistant"]
	stage.Elapsed, stage.Revision = 12*time.Second, 9
	fleet.Rollouts["assistant"] = stage
	fleet.Driver = follower.Driver{Instance: "edge-1"}
	publish(g, fleet, backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})

	step := func(after time.Duration) {
		clock.Advance(after)
		g.releases.step(t.Context())
	}
	step(0)
	is.Equal(len(store.stages), 0) // half of the time is not over
	step(time.Second)
	is.Equal(len(store.stages), 1)
	is.Equal(store.stages[0].Share, 0.3) // 13 of 24 s
}

// The record is renewed often enough that a driver that starts anew loses
// little, and no more often.
func TestRolloutRecordsItsProgress(t *testing.T) {
	is := is.New(t)
	active := follower.RolloutProgress{Order: 7, State: follower.RolloutActive, Share: 0.075, Elapsed: 2 * time.Second}
	next := active
	next.Elapsed = 4 * time.Second
	is.True(!isWorthRecording(active, next, 24*time.Second))
	next.Elapsed = 5 * time.Second
	is.True(isWorthRecording(active, next, 24*time.Second))
	next.Elapsed, next.Share = 2*time.Second, 0.3
	is.True(isWorthRecording(active, next, 24*time.Second))
	is.True(isWorthRecording(follower.RolloutProgress{}, active, 24*time.Second))
}

// A session in progress on the old version, here or elsewhere, stays there
// through the trial; one that is on the new version stays there.
// (Csatornakep, quiet-1: 4 to 6 sessions changed in the first half.)
func TestSessionsKeepTheirVersionInTheTrial(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := testGateway(clock)
	trial := rollout(follower.RolloutActive, 0.075)
	publish(g, trial, backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})
	g.releases.open(trial)
	clock.Advance(g.Settings.SessionIdleTimeout + sessionMargin)
	var session string
	for i := 0; session == ""; i++ {
		if s := fmt.Sprint(i); g.releases.versions("assistant", s).Only == "v2" {
			session = s
		}
	}
	g.releases.seen(sessionMessage{"assistant", session, "v1"})
	is.Equal(g.releases.versions("assistant", session).Except, "v2")
	clock.Advance(g.Settings.SessionIdleTimeout + sessionMargin)
	is.Equal(g.releases.versions("assistant", session).Only, "v2")
	g.releases.seen(sessionMessage{"assistant", session, "v2"})
	clock.Advance(time.Second)
	is.Equal(g.releases.versions("assistant", session).Only, "v2")
}

// Few instances read the store, all agree on which, and nobody reads through
// an instance that is not known.
func TestReaders(t *testing.T) {
	is := is.New(t)
	for n, want := range map[int]int{1: 1, 2: 2, 9: 2, 32: 4, 90: 4, 100: 8, 360: 16} {
		instances := map[string]follower.Instance{}
		for i := range n {
			name := fmt.Sprintf("edge-%d", i)
			instances[name] = follower.Instance{Name: name, DataCentre: []string{"gulberg", "johar", "dha", "shadman"}[i%4]}
		}
		is.Equal(len(chooseReaders(instances)), want)
		is.Equal(chooseReaders(instances), chooseReaders(instances))
	}
	g := testGateway(clockwork.NewFakeClock())
	publish(g, follower.Fleet{Instances: map[string]follower.Instance{"x": {Name: "x"}, "y": {Name: "y"}, "z": {Name: "z"}}})
	is.True(g.feeds.choose() == nil) // this instance is not announced yet
}

// A stopping instance takes calls while the balancer may still send them, and
// after that only those that are sure to end. (Csatornakep, trouble-2: a stream
// that arrived 4.7 s after SIGTERM was cut.)
func TestMayFinish(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := testGateway(clock)
	is.True(g.MayFinish(clock.Now().Add(time.Hour)))
	g.beginStop()
	is.True(g.MayFinish(clock.Now().Add(time.Hour)))
	clock.Advance(balancerLag)
	is.True(!g.MayFinish(clock.Now().Add(20 * time.Second)))
	is.True(g.MayFinish(clock.Now().Add(time.Second)))
	is.True(!g.IsReady())
}

// Instances whose reader has just lost the store have a change in force in time.
// (Csatornakep, scale-2, seed 937476495017: both readers were turned away by the
// store, and a table reached the others 2.07 s after it was accepted.)
func TestTimesFollowTheBounds(t *testing.T) {
	is := is.New(t)
	for _, s := range []Settings{
		{DrainDuration: 2 * time.Second, MaxApplyDelay: 2 * time.Second, StrictRevocation: true, MaxRevokeDelay: 5 * time.Second},
		{DrainDuration: 3 * time.Second, MaxApplyDelay: 3 * time.Second, StrictRevocation: true, MaxRevokeDelay: 5 * time.Second},
		{DrainDuration: 4 * time.Second, MaxApplyDelay: time.Second, StrictRevocation: true, MaxRevokeDelay: 2 * time.Second},
	} {
		f := followerSettings(s)
		is.True(f.MaxFeedAge+f.FeedWait < min(s.DrainDuration, s.MaxApplyDelay)*8/10) // lost reader: left, and the store asked
		is.True(f.ConfirmInterval+f.FeedWait < f.MaxFeedAge)                          // sound reader: kept
		is.True(f.MinWatchInterval+f.FeedWait < min(s.DrainDuration, s.MaxApplyDelay)/2)
		is.True(f.ConfirmInterval <= s.MaxRevokeDelay/4)
	}
}

func TestReload(t *testing.T) {
	is := is.New(t)
	g := testGateway(clockwork.NewFakeClock())
	is.True(g.TryRetry("assistant", true) == false) // no request yet, no slack
	s := g.Settings
	s.RetrySlack, s.MaxRevokeDelay = 50, 7*time.Second
	g.Reload(s)
	is.True(g.TryRetry("assistant", true))
	is.Equal(g.bounds().MaxRevokeDelay, 7*time.Second)
}

// A reader whose feed fails is passed over for another one, and then for the
// store itself.
func TestFailedReaderIsPassedOver(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := testGateway(clock)
	instances := map[string]follower.Instance{"edge-1": {Name: "edge-1"}}
	for i := 2; len(instances) < 5; i++ {
		name := fmt.Sprintf("edge-%d", i)
		instances[name] = follower.Instance{Name: name, PeerAddress: name}
	}
	publish(g, follower.Fleet{Instances: instances})
	readers := chooseReaders(instances)
	if slices.ContainsFunc(readers, func(i follower.Instance) bool { return i.Name == "edge-1" }) {
		t.Skip("this instance is a reader by its name")
	}
	first := g.feeds.choose().(*feed).address
	g.feeds.failed(first)
	second := g.feeds.choose().(*feed).address
	is.True(second != first)
	g.feeds.failed(second)
	is.True(g.feeds.choose() == nil)
	clock.Advance(readerPenalty)
	is.True(g.feeds.choose() != nil)
}

// turnedAway is a store that refuses this instance.
type turnedAway struct{ Store }

func (turnedAway) Load(context.Context) ([]follower.Item, int64, error) {
	return nil, 0, errors.New("refused")
}

func (turnedAway) Confirm(context.Context) (follower.Item, int64, error) {
	return follower.Item{}, 0, errors.New("refused")
}

// An instance that the store turns away goes back to a reader whose feed has
// just failed if there is no other. (CI beside load: the only reader was late
// once, was passed over for 4 s, and the confirmation ran out. Seen once, not
// again in 33 runs beside load; the cause is read from the code.)
func TestCutOffInstanceKeepsItsLastReader(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := testGateway(clock)
	g.follower = follower.New(turnedAway{}, g.Decode, follower.WithClock(clock))
	publish(g, follower.Fleet{Instances: map[string]follower.Instance{"edge-1": {Name: "edge-1"}, "edge-2": {Name: "edge-2", PeerAddress: "b"}}})
	is.True(g.feeds.choose() == nil) // it reads the store itself
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.follower.Run(ctx)
	}()
	for !g.follower.IsCutOff() {
		clock.Advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	stop()
	<-done
	is.True(g.feeds.choose() != nil)
	g.feeds.failed("b")
	is.True(g.feeds.choose() != nil)
}

// billStore is a store in which another instance has written before.
type billStore struct {
	Store
	marks map[string]tally.WriteMark
	total map[string]int64
}

func (b *billStore) WriteTallies(_ context.Context, due []tally.Tally, written map[string]tally.WriteMark) (map[string]tally.WriteMark, bool, error) {
	for _, t := range due {
		if written[t.Key()].Revision != b.marks[t.Key()].Revision {
			return maps.Clone(b.marks), false, nil
		}
	}
	for _, t := range due {
		b.marks[t.Key()] = tally.WriteMark{Sequence: t.Sequence, Revision: b.marks[t.Key()].Revision + 1}
		b.total[t.Key()] = t.Sequence
	}
	return maps.Clone(b.marks), true, nil
}

// A reader writes what instances that are gone had counted, unless another
// reader was quicker; a stopping instance writes its own count whatever its
// reader wrote before.
func TestBillsOutlastTheirInstances(t *testing.T) {
	is := is.New(t)
	g := testGateway(clockwork.NewFakeClock())
	store := &billStore{marks: map[string]tally.WriteMark{"gone/7": {Sequence: 1, Revision: 3}}, total: map[string]int64{}}
	g.Store = store
	gone := tally.NewCounter("gone", 7)
	for range 3 {
		gone.Add(tally.Line{Customer: "c"}, 1, 1)
	}
	part := gone.Tally()
	g.peers.take(&message{From: "gone", Tally: &part})
	due := func() []tally.Tally {
		return g.bills.copies.Due(g.bills.counter.Tally(), g.bills.written, billsPerWrite)
	}
	is.True(!g.bills.write(t.Context(), due())) // the older count of another reader is in the way
	is.True(g.bills.write(t.Context(), due()))
	is.Equal(store.total, map[string]int64{"gone/7": 3})
	is.Equal(len(due()), 0)

	own := g.bills.counter.Tally()
	store.marks[own.Key()] = tally.WriteMark{Sequence: 1, Revision: 9}
	r := route.Route{Name: "r"}
	g.ObserveCall(pipeline.CallOutcome{Route: &r, Customer: "c"})
	g.ObserveCall(pipeline.CallOutcome{Route: &r, Customer: "c", Failed: true})
	g.ObserveCall(pipeline.CallOutcome{Route: &r, Customer: "c", Refusal: &call.Refusal{Reason: call.ReasonNoServer}})
	g.ObserveCall(pipeline.CallOutcome{Route: &r, Customer: "c"})
	g.bills.settle()
	is.Equal(store.total[own.Key()], int64(2))
}
