package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/billing/tally"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/internal/release/verdict"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

// newTestGateway returns a gateway that is not started. The test publishes its
// view.
func newTestGateway(clock clockwork.Clock) *Gateway {
	return New(Dependencies{
		Settings: Settings{
			Instance: "edge-1", DataCentre: "gulberg", GracePeriod: 8 * time.Second, StrictRevocation: true, MaxRevokeDelay: 5 * time.Second,
			ExposureShare: 0.15, BaseExposure: 30, SessionIdleTimeout: 5 * time.Second, RetryWindow: 10 * time.Second,
		},
		Decode: func(i follower.Item) follower.Change { return follower.Change{Key: i.Key} }, Clock: clock, Log: zap.NewNop(),
	})
}

// at returns a revision of a store that states no era.
func at(number int64) revision.Revision { return revision.Revision{Number: number} }

// publish sets the view of the fleet and of ready servers of one service.
func publish(g *Gateway, fleet follower.Fleet, servers ...backend.Server) {
	directory := backend.NewDirectory()
	for i, s := range servers {
		s.State, s.Service, s.Revision = backend.Ready, "assistant", at(int64(i+1))
		directory.Announce(s, g.Clock.Now())
	}
	g.follower.View.Servers.Publish(directory.Listing())
	g.follower.View.Fleet.Publish(&fleet)
}

// fleetWithRollout returns a fleet with a rollout of v2 in the given state.
func fleetWithRollout(state follower.RolloutState, share float64) follower.Fleet {
	return follower.Fleet{
		Orders:   map[string]follower.RolloutOrder{"assistant": {Service: "assistant", Target: "v2", Duration: 24 * time.Second, Revision: at(7)}},
		Rollouts: map[string]follower.RolloutProgress{"assistant": {Service: "assistant", Order: 7, Target: "v2", State: state, Share: share}},
	}
}

// newVersionShare returns the share of 2000 sessions that run on the new version.
func newVersionShare(g *Gateway) float64 {
	n := 0
	for i := range 2000 {
		if g.rollouts.allowedVersions("assistant", fmt.Sprint(i)).Only == "v2" {
			n++
		}
	}
	return float64(n) / 2000
}

func TestAllowedVersionsDuringRollout(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newTestGateway(clock)
	publish(g, follower.Fleet{})
	is.Equal(g.rollouts.allowedVersions("assistant", "s"), dispatch.VersionConstraint{})

	ordered := fleetWithRollout(follower.RolloutActive, 0)
	ordered.Rollouts = nil
	publish(g, ordered, backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})
	is.Equal(g.rollouts.allowedVersions("assistant", "s"), dispatch.VersionConstraint{Except: "v2"}) // ordered, but not started

	canary := fleetWithRollout(follower.RolloutActive, 0.075)
	publish(g, canary, backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})
	g.rollouts.syncOrders(canary)
	is.Equal(newVersionShare(g), 0.0) // sessions may be in progress at other instances
	clock.Advance(g.Settings.SessionIdleTimeout + sessionMargin)
	share := newVersionShare(g)
	is.True(share > 0.05 && share < 0.1)

	publish(g, fleetWithRollout(follower.RolloutActive, 1), backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})
	is.Equal(newVersionShare(g), 1.0)
	publish(g, fleetWithRollout(follower.RolloutReverted, 0), backend.Server{ID: "a", Version: "v1"})
	is.Equal(g.rollouts.allowedVersions("assistant", "s"), dispatch.VersionConstraint{Except: "v2"})
	publish(g, fleetWithRollout(follower.RolloutComplete, 1), backend.Server{ID: "b", Version: "v2"})
	is.Equal(g.rollouts.allowedVersions("assistant", "s"), dispatch.VersionConstraint{Only: "v2"})
	publish(g, fleetWithRollout(follower.RolloutComplete, 1), backend.Server{ID: "c", Version: "v3"})
	is.Equal(g.rollouts.allowedVersions("assistant", "s"), dispatch.VersionConstraint{}) // v2 has been replaced since
}

// recordingStore is a store that keeps the rollout progress written to it.
type recordingStore struct {
	Store
	records []follower.RolloutProgress
	// drivers counts how often the driver's entry was written, recordedAs is the driver
	// that last wrote a record.
	drivers    int
	recordedAs follower.Driver
}

func (r *recordingStore) GrantLease(context.Context, time.Duration) (Lease, error) {
	return Lease{ID: 1}, nil
}

func (r *recordingStore) RenewLease(context.Context, Lease) (bool, error) { return true, nil }

func (r *recordingStore) BecomeDriver(context.Context, Lease, string, revision.Revision) (revision.Revision, bool, error) {
	r.drivers++
	return at(8), true, nil
}

func (r *recordingStore) RecordProgress(_ context.Context, p follower.RolloutProgress, driver follower.Driver) (bool, error) {
	r.records, r.recordedAs = append(r.records, p), driver
	return true, nil
}

// A driver that starts in the middle of a rollout takes the elapsed time from
// the progress record. A restarted driver used to count from its own start, so
// that the rollout ended 10 s late, after its deadline, and half of the
// servers were stopped with it (test deployment Pottyround, run scale-1).
func TestRolloutContinuesAfterDriverRestart(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newTestGateway(clock)
	store := &recordingStore{}
	g.Store = store
	fleet := fleetWithRollout(follower.RolloutActive, 0.075)
	progress := fleet.Rollouts["assistant"]
	progress.Elapsed, progress.SentOld, progress.SentNew, progress.Revision = 12*time.Second, 20, 2, at(9)
	fleet.Rollouts["assistant"] = progress
	fleet.Driver = follower.Driver{Instance: "edge-1"}
	publish(g, fleet, backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})

	advance := func(d time.Duration) {
		clock.Advance(d)
		g.rollouts.tick(t.Context())
	}
	advance(0)
	is.Equal(len(store.records), 0) // 50% has passed, and the sessions in progress take part from 52% on
	g.rollouts.storePeerEvidence(senderRun{"edge-2", 1}, evidenceMessage{Service: "assistant", Order: 7, Evidence: verdict.Evidence{"r": {New: verdict.Counts{Answers: 3}}}, Sent: verdict.Traffic{Old: 10, New: 3}})
	advance(time.Second)
	is.Equal(len(store.records), 1)
	is.Equal(store.records[0].Share, 0.3) // 13 of 24 s, and the one old server's usual load is all of it
	is.Equal([]int{store.records[0].SentOld, store.records[0].SentNew}, []int{20, 3})
	is.Equal(store.drivers, 1) // under a lease of this run
}

// An instance that has become the driver decides at once, and tries it once: its own view
// shows its entry only after up to 2 s in a large fleet.
func TestNewDriverDoesNotWaitForItsView(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newTestGateway(clock)
	store := &recordingStore{}
	g.Store = store
	fleet := fleetWithRollout(follower.RolloutActive, 0)
	fleet.Rollouts = nil
	publish(g, fleet, backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})
	g.rollouts.takeDrive(t.Context(), revision.Revision{})
	for range 6 {
		g.rollouts.tick(t.Context())
		clock.Advance(rolloutInterval)
	}
	is.Equal(store.drivers, 1)
	is.True(len(store.records) > 0)
	is.Equal(store.recordedAs, follower.Driver{Instance: "edge-1", Revision: at(8)})
}

// Instances become the driver in an order that mixes data centres: after the loss of one,
// its instances may count as members for a minute.
func TestCandidatesMixDataCentres(t *testing.T) {
	is := is.New(t)
	var names []string
	for _, dataCentre := range []string{"dha", "gulberg", "iqbal-town", "johar", "model-town", "shadman"} {
		for i := range 50 {
			names = append(names, fmt.Sprintf("edge-%s-%d", dataCentre, i))
		}
	}
	for _, lost := range []string{"dha", "gulberg", "iqbal-town", "johar", "model-town", "shadman"} {
		first := len(names)
		for _, name := range names {
			if !strings.Contains(name, lost) {
				first = min(first, candidateRank(name, slices.Clone(names)))
			}
		}
		is.True(time.Duration(first)*candidacyDelay < 5*time.Second) // the time for a roll-back
	}
}

// The renewals of the whole fleet don't grow with it: 600 calls to the store in the 34 s
// of a day of 295 instances are the users' target.
func TestRenewalsDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{33, 90, 295, 360, 2000} {
		perSecond := float64(n) * renewalsPerTTL / membershipTTL(n).Seconds()
		is.True(perSecond*34 < 600)
	}
	is.Equal(membershipTTL(9), minMembershipTTL)
}

// An instance that the store turns away asks less and less often, but often enough to keep
// its announcement if the store serves it again within 5 s. On the large fleet's first hard
// day, 2,520 of 7,296 calls were such renewals.
func TestFailedRenewalsBackOff(t *testing.T) {
	is := is.New(t)
	at, attempts := renewalInterval(minMembershipTTL, 0), 1
	for failures := 1; at < 9*time.Second; failures++ {
		next := renewalInterval(minMembershipTTL, failures)
		is.True(next <= 1700*time.Millisecond || at > 5*time.Second)
		at += next
		attempts++
	}
	is.True(attempts <= 8)
	is.Equal(renewalInterval(minMembershipTTL, 20), renewalInterval(minMembershipTTL, 0))
}

// Progress is recorded often enough that a new driver loses little time, and no
// more often.
func TestRolloutProgressIsRecorded(t *testing.T) {
	is := is.New(t)
	active := follower.RolloutProgress{Order: 7, State: follower.RolloutActive, Share: 0.075, Elapsed: 2 * time.Second}
	next := active
	next.Elapsed = 4 * time.Second
	is.True(!shouldRecord(active, next, 24*time.Second))
	next.Elapsed = 5 * time.Second
	is.True(shouldRecord(active, next, 24*time.Second))
	next.Elapsed, next.Share = 2*time.Second, 0.3
	is.True(shouldRecord(active, next, 24*time.Second))
	is.True(shouldRecord(follower.RolloutProgress{}, active, 24*time.Second))
}

// In the canary phase, a session in progress on the old version, at this or
// another instance, stays on that version, and so does one on the new version.
// This guards against sessions that change their version: 4 to 6 did so in the
// first half of a rollout (test deployment Csatornakep, run quiet-1).
func TestSessionsKeepTheirVersionDuringCanary(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newTestGateway(clock)
	canary := fleetWithRollout(follower.RolloutActive, 0.075)
	publish(g, canary, backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})
	g.rollouts.syncOrders(canary)
	clock.Advance(g.Settings.SessionIdleTimeout + sessionMargin)
	var session string
	for i := 0; session == ""; i++ {
		if s := fmt.Sprint(i); g.rollouts.allowedVersions("assistant", s).Only == "v2" {
			session = s
		}
	}
	g.rollouts.recordPeerSession(sessionMessage{"assistant", session, "v1"})
	is.Equal(g.rollouts.allowedVersions("assistant", session).Except, "v2")
	clock.Advance(g.Settings.SessionIdleTimeout + sessionMargin)
	is.Equal(g.rollouts.allowedVersions("assistant", session).Only, "v2")
	g.rollouts.recordPeerSession(sessionMessage{"assistant", session, "v2"})
	clock.Advance(time.Second)
	is.Equal(g.rollouts.allowedVersions("assistant", session).Only, "v2")
}

// Few instances read the store, all instances agree on which, and an instance
// that is not announced has no reader.
func TestChooseReaders(t *testing.T) {
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
	g := newTestGateway(clockwork.NewFakeClock())
	publish(g, follower.Fleet{Instances: map[string]follower.Instance{"x": {Name: "x"}, "y": {Name: "y"}, "z": {Name: "z"}}})
	is.True(g.feeds.upstream() == nil) // this instance is not announced yet
}

// A stopping instance accepts all calls while the load balancer may still send
// some, and after that only those that end before it exits. This guards against
// streams that are cut at the exit, as happened to one that arrived 4.7 s after
// SIGTERM (test deployment Csatornakep, run trouble-2).
func TestMayFinish(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newTestGateway(clock)
	is.True(g.MayFinish(clock.Now().Add(time.Hour)))
	g.beginStop()
	is.True(g.MayFinish(clock.Now().Add(time.Hour)))
	clock.Advance(loadBalancerLag)
	is.True(!g.MayFinish(clock.Now().Add(20 * time.Second)))
	is.True(g.MayFinish(clock.Now().Add(time.Second)))
	is.True(!g.IsReady())
}

// The intervals derived from Settings let an instance apply a change within its
// bound even if its reader has just become unable to reach the store. This guards
// against late changes: when the store refused both readers, a routing table
// reached the other instances 2.07 s after it was accepted (test deployment
// Csatornakep, run scale-2, seed 937476495017).
func TestFollowerSettingsMeetBounds(t *testing.T) {
	is := is.New(t)
	for _, s := range []Settings{
		{DrainDuration: 2 * time.Second, MaxApplyDelay: 2 * time.Second, StrictRevocation: true, MaxRevokeDelay: 5 * time.Second},
		{DrainDuration: 3 * time.Second, MaxApplyDelay: 3 * time.Second, StrictRevocation: true, MaxRevokeDelay: 5 * time.Second},
		{DrainDuration: 4 * time.Second, MaxApplyDelay: time.Second, StrictRevocation: true, MaxRevokeDelay: 2 * time.Second},
	} {
		f := followerSettings(s)
		is.True(f.MaxFeedAge+f.FeedWait < min(s.DrainDuration, s.MaxApplyDelay)*8/10) // in time, the instance leaves a reader that cannot reach the store, and asks the store itself
		is.True(f.ConfirmInterval+f.FeedWait < f.MaxFeedAge)                          // a working reader is kept
		is.True(f.MinWatchInterval+f.FeedWait < min(s.DrainDuration, s.MaxApplyDelay)/2)
		is.True(f.ConfirmInterval <= s.MaxRevokeDelay/4)
	}
}

func TestReload(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newTestGateway(clock)
	publish(g, follower.Fleet{Instances: map[string]follower.Instance{"edge-1": {Name: "edge-1", Revision: at(1)}}})
	is.True(!g.TryRetry("assistant", true)) // no request yet, and BaseRetries is 0
	s := g.Settings
	s.BaseRetries, s.MaxRevokeDelay = 50, 7*time.Second
	g.Reload(s)
	is.True(!g.TryRetry("assistant", true)) // an earlier process may have used up the share
	clock.Advance(g.Settings.RetryWindow)
	is.True(g.TryRetry("assistant", true))
	is.Equal(g.currentSettings().MaxRevokeDelay, 7*time.Second)
}

// After its feed failed, a reader is avoided in favour of another one, and then
// of the store itself.
func TestFailedReaderIsAvoided(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newTestGateway(clock)
	instances := map[string]follower.Instance{"edge-1": {Name: "edge-1"}}
	for i := 2; len(instances) < 5; i++ {
		name := fmt.Sprintf("edge-%d", i)
		instances[name] = follower.Instance{Name: name, PeerAddress: name}
	}
	publish(g, follower.Fleet{Instances: instances})
	readers := chooseReaders(instances)
	if slices.ContainsFunc(readers, func(i follower.Instance) bool { return i.Name == "edge-1" }) {
		t.Skip("this instance is itself a reader")
	}
	first := g.feeds.upstream().(*remoteFeed).address
	g.feeds.markFailed(first)
	second := g.feeds.upstream().(*remoteFeed).address
	is.True(second != first)
	g.feeds.markFailed(second)
	is.True(g.feeds.upstream() == nil)
	clock.Advance(readerBackoff)
	is.True(g.feeds.upstream() != nil)
}

// refusingStore is a store that refuses this instance's calls.
type refusingStore struct{ Store }

func (refusingStore) Load(context.Context, bool) ([]follower.Item, revision.Revision, error) {
	return nil, revision.Revision{}, errors.New("refused")
}

func (refusingStore) Confirm(context.Context) (follower.Item, revision.Revision, error) {
	return follower.Item{}, revision.Revision{}, errors.New("refused")
}

// An instance that cannot read the store goes back to a reader whose feed has just
// failed if there is no other. Otherwise one late response of the only reader
// leaves the instance without a source for readerBackoff (4 s), and the
// confirmation of its view of the store expires. Seen in one CI run under load and
// not again in 33 runs under load; the cause is inferred from the code.
func TestCutOffInstanceKeepsItsLastReader(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newTestGateway(clock)
	g.follower = follower.New(refusingStore{}, g.Decode, follower.WithClock(clock))
	publish(g, follower.Fleet{Instances: map[string]follower.Instance{"edge-1": {Name: "edge-1"}, "edge-2": {Name: "edge-2", PeerAddress: "b"}}})
	is.True(g.feeds.upstream() == nil) // the instance reads the store itself
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
	is.True(g.feeds.upstream() != nil)
	g.feeds.markFailed("b")
	is.True(g.feeds.upstream() != nil)
}

// tallyStore simulates a store that another instance has written to. WriteTallies
// writes the due tallies only if the revisions of their stored marks equal those in
// written.
type tallyStore struct {
	Store
	marks map[string]tally.WriteMark
	total map[string]int64
	era   int64
	// writes counts the calls that have written.
	writes int
}

func (s *tallyStore) WriteTallies(_ context.Context, due []tally.Tally, written map[string]tally.WriteMark) (map[string]tally.WriteMark, bool, error) {
	for _, t := range due {
		if written[t.Key()].Revision != s.marks[t.Key()].Revision {
			return maps.Clone(s.marks), false, nil
		}
	}
	for _, t := range due {
		s.marks[t.Key()] = tally.WriteMark{Sequence: t.Sequence, Revision: revision.Revision{Era: s.era, Number: s.marks[t.Key()].Revision.Number + 1}}
		s.total[t.Key()] = t.Sequence
	}
	s.writes++
	return maps.Clone(s.marks), true, nil
}

// A reader writes the tallies of instances that are gone, unless another reader
// was first. A stopping instance writes its own tally whatever its reader wrote
// before.
func TestTalliesOutliveTheirInstances(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(clockwork.NewFakeClock())
	store := &tallyStore{marks: map[string]tally.WriteMark{"gone/7": {Sequence: 1, Revision: at(3)}}, total: map[string]int64{}}
	g.Store = store
	gone := tally.NewCounter("gone", 7)
	for range 3 {
		gone.Add(tally.Line{Customer: "c"}, 1, 1)
	}
	copied := gone.Tally()
	g.peers.handle(&message{From: "gone", Tally: &copied})
	due := func() []tally.Tally {
		return g.billing.copies.Due(g.billing.counter.Tally(), g.billing.written, maxTalliesPerWrite)
	}
	is.True(!g.billing.write(t.Context(), due())) // another reader has written an older tally
	is.True(g.billing.write(t.Context(), due()))
	is.Equal(store.total, map[string]int64{"gone/7": 3})
	is.Equal(len(due()), 0)

	local := g.billing.counter.Tally()
	store.marks[local.Key()] = tally.WriteMark{Sequence: 1, Revision: at(9)}
	rt := route.Route{Name: "r"}
	g.ObserveCall(pipeline.CallOutcome{Route: &rt, Customer: "c"})
	g.ObserveCall(pipeline.CallOutcome{Route: &rt, Customer: "c", Failed: true})
	g.ObserveCall(pipeline.CallOutcome{Route: &rt, Customer: "c", Refusal: &call.Refusal{Reason: call.ReasonNoServer}})
	g.ObserveCall(pipeline.CallOutcome{Route: &rt, Customer: "c"})
	g.billing.flush(t.Context())
	is.Equal(store.total[local.Key()], int64(2))
}

// quarantineStore is a store that keeps the parts written to it.
type quarantineStore struct {
	Store
	parts []string
}

func (s *quarantineStore) Quarantine(_ context.Context, part string, _ int, _ time.Duration) error {
	s.parts = append(s.parts, part)
	return nil
}

// The prompts that crash servers are spread over the instances, so that none sees
// enough crashes. The reader adds up what they report and quarantines the part that all
// have in common, once; the part that sound prompts share stays.
func TestPartThatCrashesServersIsQuarantined(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	instances := map[string]follower.Instance{}
	for _, name := range []string{"edge-1", "edge-2", "edge-3"} {
		instances[name] = follower.Instance{Name: name, DataCentre: "gulberg"}
	}
	var gateways []*Gateway
	store := &quarantineStore{}
	for name := range instances {
		g := newTestGateway(clock)
		g.Settings.Instance, g.Store = name, store
		publish(g, follower.Fleet{Instances: instances})
		gateways = append(gateways, g)
	}
	prompt := func(parts ...string) []dispatch.PromptPart {
		var prompt []dispatch.PromptPart
		for _, p := range parts {
			prompt = append(prompt, dispatch.PromptPart{ID: p})
		}
		return prompt
	}
	for i, g := range gateways {
		g.crashes.observe(pipeline.AttemptOutcome{
			PromptParts: prompt("shared", "bad", fmt.Sprint("request-", i)), Crashed: []*backend.Server{{ID: fmt.Sprint("s", i)}},
		})
	}
	clock.Advance(300 * time.Millisecond)
	gateways[0].crashes.observe(pipeline.AttemptOutcome{PromptParts: prompt("shared", "request-9"), Begun: true})
	for range 8 {
		for _, g := range gateways {
			report, recent := g.crashes.local.Report(clock.Now())
			is.True(recent)
			for _, other := range gateways {
				other.peers.handle(&message{From: g.Settings.Instance, Crashes: &report})
			}
			is.True(g.crashes.tick(t.Context()))
		}
		clock.Advance(reportInterval)
	}
	slices.Sort(store.parts)
	is.Equal(slices.Compact(store.parts), []string{"bad"})
	is.True(len(store.parts) <= minReaders)
	for _, g := range gateways {
		publish(g, follower.Fleet{Instances: instances, QuarantinedParts: map[string]bool{"bad": true}})
		is.True(g.IsQuarantined(prompt("shared", "bad", "request-9")))
		is.True(!g.IsQuarantined(prompt("shared", "request-9")))
		is.True(!g.IsQuarantined(prompt("shared", "bad"))) // the last part belongs to one request
	}
}

// A version whose answers are several times slower is found by the time between their
// events and by answers that have yet to begin. Their first events alone, compared with
// a prediction that has learned the servers' slowness, showed it in one answer of eight,
// and late (Csatornakep, hasty, seed 3).
func TestSlowVersionIsSeenEarly(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newTestGateway(clock)
	fleet := fleetWithRollout(follower.RolloutActive, 0.15)
	publish(g, fleet, backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})
	g.rollouts.syncOrders(fleet)
	observe := func(version string, late bool, pace time.Duration) {
		g.ObserveAnswer(pipeline.AnswerObservation{
			Server: &backend.Server{Service: "assistant", Version: version}, Route: "r", Model: "large", Stream: true, Late: late, Pace: pace,
		})
	}
	for range 40 {
		observe("v1", false, 25*time.Millisecond)
		observe("v1", false, 45*time.Millisecond)
	}
	observe("v1", false, 2*time.Second) // a single pause
	for range 4 {
		observe("v2", false, 110*time.Millisecond)
		observe("v2", true, 0)
	}
	observe("v2", false, 40*time.Millisecond)
	in, _ := g.rollouts.decisionInput("assistant")
	evidence := in.Evidence
	is.Equal(evidence["r"], verdict.Comparison{
		Old: verdict.Counts{Answers: 81, Paced: 81, SlowPaced: 1}, New: verdict.Counts{Answers: 9, Slow: 4, Paced: 5, SlowPaced: 4},
	})
	is.True(verdict.IsRegression(evidence))
	stream := pipeline.AnswerObservation{Server: &backend.Server{Service: "assistant", Version: "v2"}, Route: "r", Model: "large", Stream: true}
	is.Equal(g.LateAfter(stream, 20*time.Millisecond), minSlowLatency)
	is.Equal(g.LateAfter(stream, time.Second), slowFactor*time.Second)
}

// Of the attempts of one call only the first answer is evidence: the others are no
// independent ones.
func TestRepeatsAreNoEvidence(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(clockwork.NewFakeClock())
	fleet := fleetWithRollout(follower.RolloutActive, 0.15)
	publish(g, fleet, backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})
	g.rollouts.syncOrders(fleet)
	for range 4 {
		for attempt := range 3 {
			g.ObserveAnswer(pipeline.AnswerObservation{Server: &backend.Server{Service: "assistant", Version: "v2"}, Route: "r", Failed: true, Repeat: attempt > 0})
		}
	}
	in, _ := g.rollouts.decisionInput("assistant")
	is.Equal(in.Evidence, verdict.Evidence{"r": {New: verdict.Counts{Answers: 4, Failed: 4}}})
}

// Answers of a plain service were compared with a fixed time and with a prediction that had
// learned how slow the new version was. They are compared with the usual ones of the other
// versions on the same route.
func TestSlowAnswersAreComparedWithUsualOnes(t *testing.T) {
	is := is.New(t)
	const work = 15 * time.Millisecond
	g := newTestGateway(clockwork.NewFakeClock())
	fleet := fleetWithRollout(follower.RolloutActive, 0.15)
	publish(g, fleet, backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})
	g.rollouts.syncOrders(fleet)
	answer := func(version, dataCentre, route string, took time.Duration) {
		o := pipeline.AnswerObservation{Server: &backend.Server{Service: "assistant", Version: version, DataCentre: dataCentre}, Route: route}
		late := g.LateAfter(o, took) // the prediction is right
		o.Late, o.Took = took > late, min(took, late)
		g.ObserveAnswer(o)
	}
	for range 10 {
		answer("v1", "gulberg", "book", work+localRoundTrip)
		answer("v1", "johar", "report", 20*work+remoteRoundTrip)
	}
	for range 10 {
		answer("v1", "gulberg", "book", work+localRoundTrip)
		answer("v2", "johar", "book", work+remoteRoundTrip) // farther away, not slower
		answer("v2", "johar", "book", 4*work+remoteRoundTrip)
		answer("v2", "johar", "report", 20*work+remoteRoundTrip)
	}
	in, _ := g.rollouts.decisionInput("assistant")
	is.Equal(in.Evidence, verdict.Evidence{
		"book":   {Old: verdict.Counts{Answers: 20}, New: verdict.Counts{Answers: 20, Slow: 10}},
		"report": {Old: verdict.Counts{Answers: 10}, New: verdict.Counts{Answers: 10}},
	})
	is.True(verdict.IsRegression(in.Evidence))

	// All answers take longer, as in a burst: what is usual follows.
	for range 100 {
		answer("v1", "gulberg", "book", 4*work)
	}
	slow := pipeline.AnswerObservation{Server: &backend.Server{Service: "assistant", Version: "v2", DataCentre: "gulberg"}, Route: "book"}
	is.True(g.LateAfter(slow, 0) > 7*work)
}

// In the second half of a rollout sessions in progress take part in the trial, so that
// there is evidence before the share grows. In rollouts of up to 15 s no request reached
// the new version before.
func TestSessionsTakePartInSecondTrial(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(clockwork.NewFakeClock())
	fleet := fleetWithRollout(follower.RolloutActive, 0.15)
	progress := fleet.Rollouts["assistant"]
	for _, c := range []struct {
		elapsed time.Duration
		share   float64
	}{{11 * time.Second, 0}, {13 * time.Second, 0.15}} {
		progress.Elapsed = c.elapsed
		fleet.Rollouts["assistant"] = progress
		publish(g, fleet, backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})
		g.rollouts.syncOrders(fleet)
		is.True(math.Abs(newVersionShare(g)-c.share) < 0.03)
	}
}

// In a trial as few servers of the new version take part as get the usual load of a server,
// the same ones at all instances. If none of them takes a request, another one of the new
// version does.
func TestTrialIsConcentrated(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	var servers []backend.Server
	for i := range 18 {
		servers = append(servers, backend.Server{ID: fmt.Sprint("s", i), Version: fmt.Sprint("v", 1+i%2), DataCentre: "gulberg", Address: "10.0.0.1:80"})
	}
	trialOf := func(g *Gateway, share float64) []string {
		fleet := fleetWithRollout(follower.RolloutActive, share)
		publish(g, fleet, servers...)
		g.rollouts.syncOrders(fleet)
		return g.rollouts.trialServers("assistant", dispatch.VersionConstraint{Only: "v2"})
	}
	g, other := newTestGateway(clock), newTestGateway(clock)
	trial := trialOf(g, 0.11)
	is.Equal(len(trial), 1)
	is.Equal(trialOf(other, 0.11), trial)
	is.Equal(len(trialOf(g, 0.02)), 1)
	is.Equal(len(trialOf(g, 0.22)), 2)
	is.Equal(len(trialOf(g, 0.4)), 0) // no trial any more
	all := servers
	servers = []backend.Server{all[1], all[3]}
	is.Equal(len(trialOf(g, 0.11)), 0) // no server of the old version is left
	servers = all
	trial = trialOf(g, 0.11)
	is.Equal(len(g.rollouts.trialServers("assistant", dispatch.VersionConstraint{Except: "v2"})), 0)

	clock.Advance(g.Settings.SessionIdleTimeout + sessionMargin)
	var session string
	for i := 0; session == ""; i++ {
		if s := fmt.Sprint(i); g.rollouts.allowedVersions("assistant", s).Only == "v2" {
			session = s
		}
	}
	g.follower.View.Table.Publish(&route.Table{})
	req := pipeline.PlacementRequest{Service: "assistant", Session: session}
	assigned, err := g.Place(req)
	is.NoErr(err)
	is.Equal(assigned.Server.ID, trial[0])
	req.ExcludeServers = trial
	assigned, err = g.Place(req)
	is.NoErr(err)
	is.True(assigned.Server.ID != trial[0])
	is.Equal(assigned.Server.Version, "v2")
	_, err = g.Predict(req)
	is.NoErr(err)
}

// The failures of one sick server were taken for those of its version, since a trial takes
// place on one server, and a good version was reverted. They move the trial to other servers.
func TestSickServerIsNoBadVersion(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(clockwork.NewFakeClock())
	fleet := fleetWithRollout(follower.RolloutActive, 0.11)
	var servers []backend.Server
	for i := range 12 {
		servers = append(servers, backend.Server{ID: fmt.Sprint("s", i), Version: fmt.Sprint("v", 1+i%2)})
	}
	publish(g, fleet, servers...)
	g.rollouts.syncOrders(fleet)
	trial := func() []string {
		return g.rollouts.trialServers("assistant", dispatch.VersionConstraint{Only: "v2"})
	}
	answer := func(server, version string, failed bool) {
		g.ObserveAnswer(pipeline.AnswerObservation{Server: &backend.Server{ID: server, Service: "assistant", Version: version}, Route: "r", Failed: failed})
	}
	distrusted := func() bool { return g.rollouts.local["assistant"].distrusted }
	for range 50 {
		answer("s0", "v1", false)
	}
	first := trial()
	for range 4 {
		answer(first[0], "v2", true)
	}
	second := trial()
	is.Equal(len(second), 1)
	is.True(second[0] != first[0])
	is.True(!distrusted())
	for range 4 {
		answer(second[0], "v2", false)
	}
	is.True(!distrusted())

	// The driver knows the fleet's answers, and moves the trial everywhere.
	g.rollouts.storePeerEvidence(senderRun{"edge-2", 1}, evidenceMessage{
		Service: "assistant", Order: 7, Evidence: verdict.Evidence{"r": {New: verdict.Counts{Answers: 2, Failed: 2}}},
		Servers: map[string]verdict.Counts{first[0]: {Answers: 1, Failed: 1}, "other": {Answers: 1, Failed: 1}},
	})
	in, _ := g.rollouts.decisionInput("assistant")
	is.Equal(in.Servers, map[string]verdict.Counts{first[0]: {Answers: 5, Failed: 5}, second[0]: {Answers: 4}, "other": {Answers: 1, Failed: 1}})
	g.rollouts.local["assistant"].retrial = false
	is.Equal(trial(), first)
	progress := fleet.Rollouts["assistant"]
	progress.Retrial = true
	fleet.Rollouts["assistant"] = progress
	publish(g, fleet, servers...)
	is.Equal(trial(), second)
	publish(g, fleet, backend.Server{ID: "s0", Version: "v1"}, backend.Server{ID: first[0], Version: "v2"})
	is.Equal(trial(), first) // there is no other

	// Failures of other servers are those of the version.
	for range 6 {
		answer(second[0], "v2", true)
	}
	is.True(distrusted())
}

// The requests that the fleet sent to each version are counted once they are sent, from all
// runs of all instances. Neither a restart, an overtaken datagram nor a new driver loses any.
func TestSentRequestsAreCounted(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(clockwork.NewFakeClock())
	fleet := fleetWithRollout(follower.RolloutActive, 0.11)
	publish(g, fleet, backend.Server{ID: "a", Version: "v1"}, backend.Server{ID: "b", Version: "v2"})
	g.rollouts.syncOrders(fleet)
	g.rollouts.recordSent("assistant", "v1")
	g.rollouts.recordSent("assistant", "v2")
	g.rollouts.recordSent("other", "v2")
	store := func(instance string, run int64, old, new int) {
		g.rollouts.storePeerEvidence(senderRun{instance, run}, evidenceMessage{Service: "assistant", Order: 7, Sent: verdict.Traffic{Old: old, New: new}})
	}
	store("edge-2", 1, 10, 3)
	store("edge-2", 1, 8, 2) // overtaken
	store("edge-2", 2, 5, 1) // started again
	store("edge-3", 1, 20, 4)
	in, _ := g.rollouts.decisionInput("assistant")
	is.Equal(in.Sent, verdict.Traffic{Old: 36, New: 9})

	progress := fleet.Rollouts["assistant"]
	progress.SentOld, progress.SentNew, progress.Revision = 90, 20, at(9)
	fleet.Rollouts["assistant"] = progress
	g.rollouts.syncOrders(fleet)
	in, _ = g.rollouts.decisionInput("assistant")
	is.Equal(in.Sent, verdict.Traffic{Old: 90, New: 20}) // what the driver before knew
	is.Equal(*g.rollouts.takeEvidence("assistant"), evidenceMessage{Service: "assistant", Order: 7, Evidence: verdict.Evidence{}, Servers: map[string]verdict.Counts{}, Sent: verdict.Traffic{Old: 1, New: 1}})
}

// closeCountingConn counts how often it is closed.
type closeCountingConn struct {
	net.Conn
	closed int
}

func (c *closeCountingConn) Close() error {
	c.closed++
	return nil
}

// A request that arrives as the idle timeout of its connection ends is either handled, with
// the connection left open, or dropped with it. A timer that had fired but was yet to run
// used to close the connection of a request that was already at its server, and the caller
// got no answer (csatornakep-grown, mix --seed 694301396535, reported by the users).
func TestRequestAtIdleTimeoutIsHandledOrDropped(t *testing.T) {
	for _, c := range []struct {
		name         string
		timerRuns    string // before or after the request stops it
		handled      bool
		closedByThen int
	}{{"the request comes first", "after", true, 0}, {"the timer comes first", "before", false, 1}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			timeouts := newCallerTimeouts(newTestGateway(clockwork.NewFakeClock()))
			conn := &closeCountingConn{}
			timeouts.trackState(conn, http.StateIdle)
			fired := timeouts.timers[conn]
			if c.timerRuns == "before" {
				timeouts.expire(conn, fired)
			}
			handled := false
			handler := timeouts.stopHeaderTimer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				handled = true
				timeouts.expire(conn, fired)
			}))
			func() {
				defer func() { _ = recover() }()
				timeouts.trackState(conn, http.StateActive)
				r := httptest.NewRequest(http.MethodGet, "/", nil)
				handler.ServeHTTP(httptest.NewRecorder(), r.WithContext(timeouts.connContext(r.Context(), conn)))
			}()
			is.Equal(handled, c.handled)
			is.Equal(conn.closed, c.closedByThen)
			timeouts.trackState(conn, http.StateClosed)
			is.Equal(len(timeouts.timers), 0)
		})
	}
}

// A panic in one step of a background task ends neither the process nor the task.
func TestPanicInBackgroundTask(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(clockwork.NewFakeClock())
	steps := 0
	for range 2 {
		g.protect("Test", func() {
			steps++
			panic("a fault in a task")
		})
	}
	is.Equal(steps, 2)
	is.Equal(panics.Get("Test").String(), "2")
}

// At the end of a rollout a call to which servers of the old version refuse connections goes to
// the new one, before the instance has heard that the rollout is complete.
func TestOldVersionMayHaveStopped(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(clockwork.NewFakeClock())
	old := backend.Server{ID: "s1", Version: "v1", DataCentre: "gulberg", Address: "10.0.0.1:80"}
	servers := []backend.Server{old, {ID: "s2", Version: "v2", DataCentre: "gulberg", Address: "10.0.0.2:80"}}
	g.follower.View.Table.Publish(&route.Table{})
	versionOf := func(state follower.RolloutState, share float64, refused bool) string {
		fleet := fleetWithRollout(state, share)
		publish(g, fleet, servers...)
		g.rollouts.syncOrders(fleet)
		for i := 0; ; i++ {
			if s := fmt.Sprint(i); !isInShare(s, share) {
				assigned, err := g.Place(pipeline.PlacementRequest{Service: "assistant", Session: s, Refused: refused})
				is.NoErr(err)
				return assigned.Server.Version
			}
		}
	}
	is.Equal(versionOf(follower.RolloutActive, 0.4, false), "v1")
	is.Equal(versionOf(follower.RolloutActive, 0.4, true), "v2")
	is.Equal(versionOf(follower.RolloutActive, 0.1, true), "v1") // a trial isn't near its end
	is.Equal(versionOf(follower.RolloutReverted, 0, true), "v1")
	servers = []backend.Server{old}
	is.Equal(versionOf(follower.RolloutActive, 0.4, true), "v1")
}
