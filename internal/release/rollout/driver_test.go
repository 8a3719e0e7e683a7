package rollout

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// fakePlatform is the store, the engines and the weight store of one test.
type fakePlatform struct {
	board   board.Board
	clock   *clockwork.FakeClock
	orders  []Order
	limited bool
	// beforeChange is called once before the next change, as a concurrent
	// writer would act.
	beforeChange func()
}

func (p *fakePlatform) Change(_ context.Context, id, _ string, edit func(*configuration.Document) error) (int64, error) {
	if p.beforeChange != nil {
		before := p.beforeChange
		p.beforeChange = nil
		before()
	}
	doc := p.board.Configuration.Get().Clone()
	if err := edit(doc); err != nil {
		return 0, err
	}
	doc.Revision++
	doc.Changes = append(doc.Changes, configuration.Change{ID: id})
	p.board.Configuration.Publish(doc)
	return doc.Revision, nil
}

func (p *fakePlatform) Send(_ context.Context, o Order) error {
	p.orders = append(p.orders, o)
	return nil
}

func (p *fakePlatform) Permit(context.Context, string, string) error {
	if p.limited {
		return &RateLimitError{RetryAfter: time.Minute}
	}
	return nil
}

// publish publishes six servers in two data centres. The first loaded of them
// run the new version, and the first warm of those are warm.
func (p *fakePlatform) publish(loaded, warm int) {
	var list []board.Server
	for i := range 6 {
		s := board.Server{Name: fmt.Sprintf("s%d", i), Service: "llm", DataCentre: fmt.Sprintf("dc%d", i%2), State: board.ServerLive}
		s.Report = board.LoadReport{ReceivedAt: p.clock.Now(), Concurrency: 8, Loaded: []board.LoadedVersion{{Model: "m", Version: "v1"}}}
		if i < loaded {
			s.Report.Loaded = append(s.Report.Loaded, board.LoadedVersion{Model: "m", Version: "v2"})
			s.Report.Cold = i >= warm
		}
		list = append(list, s)
	}
	p.board.Servers.Publish(&board.Servers{List: list})
}

func (p *fakePlatform) rollout() *configuration.Rollout {
	return p.board.Configuration.Get().LatestRollout("m")
}

func newFakePlatform(t *testing.T) (*fakePlatform, *Driver, *Evidence) {
	p := &fakePlatform{clock: clockwork.NewFakeClockAt(startTime)}
	doc := testDocument()
	doc.DataCentres = []configuration.DataCentre{{Name: "dc0"}, {Name: "dc1"}}
	if err := Start(doc, Spec{ID: "r1", Model: "m", To: "v2", Stages: []float64{0.1, 1}}, startTime); err != nil {
		t.Fatal(err)
	}
	p.board.Configuration.Publish(doc)
	evidence := NewEvidence("a", 1, p.board.Configuration.Get)
	return p, NewDriver(&p.board, evidence, nil, p, p, p, WithClock(p.clock)), evidence
}

// TestDriverWidensOnlyOntoWarmServers guards against a stage that starts or
// widens before enough servers of the new version are warm, or that keeps its
// share after they are gone.
func TestDriverWidensOnlyOntoWarmServers(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p, d, evidence := newFakePlatform(t)
	step := func(loaded, warm int) *configuration.Rollout {
		p.clock.Advance(time.Second)
		p.publish(loaded, warm)
		is.NoErr(d.Step(ctx, 1))
		return p.rollout()
	}
	step(0, 0) // claims the rollout
	is.Equal(p.rollout().Fence, int64(1))
	is.Equal(len(p.orders), 1) // one server supports the first stage
	is.Equal(step(1, 0).State, configuration.RolloutPreparing)
	is.Equal(step(1, 1).State, configuration.RolloutRunning)

	for range MinRatings {
		evidence.Record(Observation{Model: "m", Version: "v2", Rated: true, Pass: true})
	}
	p.clock.Advance(MinStageDuration)
	p.orders = nil
	is.Equal(step(1, 1).Stage, 0) // the next stage needs all six servers
	is.Equal(len(p.orders), 2)    // one load at a time in each data centre
	is.Equal(step(6, 3).Stage, 0)
	is.Equal(step(6, 6).Stage, 1)
	is.Equal(step(2, 2).State, configuration.RolloutPreparing) // too few servers of the new version are left
	is.Equal(step(6, 6).State, configuration.RolloutRunning)
}

// TestDriverRepeatsOrdersUntilTheReportAgrees guards against lost and late
// orders: an order is repeated until the load reports show its effect.
func TestDriverRepeatsOrdersUntilTheReportAgrees(t *testing.T) {
	is := is.New(t)
	p, d, _ := newFakePlatform(t)
	pass := func(after time.Duration, loaded int) int {
		p.orders = nil
		p.clock.Advance(after)
		p.publish(loaded, loaded)
		_ = d.Step(context.Background(), 1)
		return len(p.orders)
	}
	p.limited = true
	is.Equal(pass(time.Second, 0), 0)
	p.limited = false
	is.Equal(pass(time.Second, 0), 0) // loads are paused by the rate limit
	is.Equal(pass(time.Minute, 0), 1)
	is.Equal(pass(time.Second, 0), 0)
	is.Equal(pass(orderRepeatInterval, 0), 1)
	is.Equal(pass(loadTimeout, 0), 1)
	is.Equal(p.orders[0].Server, "s1") // not the server that timed out
	is.Equal(pass(time.Second, 2), 0)

	doc := p.board.Configuration.Get().Clone()
	is.NoErr(Withdraw(doc, "r1", "test", p.clock.Now()))
	p.board.Configuration.Publish(doc)
	is.Equal(pass(time.Second, 2), 0) // requests in progress drain
	is.Equal(pass(drainDuration, 2), 2)
	is.Equal(p.orders[0].Kind, OrderUnload)
	is.Equal(pass(time.Second, 0), 0)
	is.Equal(pass(time.Second, 1), 1) // undoes a late load order of an earlier driver
}

// TestPausedDriverLoses guards against writes of a driver that was paused
// between its decision and its write. Another driver has taken over in the
// meantime, or an operator has halted the rollout.
func TestPausedDriverLoses(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p, d, _ := newFakePlatform(t)
	p.publish(1, 1)
	is.NoErr(d.Step(ctx, 1))
	other := NewDriver(&p.board, d.evidence, nil, p, p, p, WithClock(p.clock))
	p.beforeChange = func() { is.NoErr(other.Step(ctx, 2)) } // takes over while the first driver is paused
	err := d.Step(ctx, 1)
	var fenced *FencedError
	is.True(errors.As(err, &fenced))
	is.Equal(fenced.Newest, int64(2))
	is.Equal(p.rollout().State, configuration.RolloutPreparing)

	p.beforeChange = func() { // an operator halts the rollout between decision and write
		doc := p.board.Configuration.Get().Clone()
		is.NoErr(Halt(doc, "r1", "operator", p.clock.Now()))
		p.board.Configuration.Publish(doc)
	}
	var stale *StaleError
	is.True(errors.As(other.Step(ctx, 2), &stale))
	is.Equal(p.rollout().State, configuration.RolloutHalted)
}

// TestGuardClosesWithoutTheStore guards against new sessions on a bad version
// while no driver can change the document.
func TestGuardClosesWithoutTheStore(t *testing.T) {
	is := is.New(t)
	var b board.Board
	b.Configuration.Publish(runningDocument(0, 0.5, 1))
	evidence := NewEvidence("a", 1, b.Configuration.Get)
	g := NewGuard(&b, evidence, clockwork.NewFakeClockAt(startTime))
	g.Check()
	is.Equal(g.Fraction("m", 0.1), 0.1)
	for range 50 {
		evidence.Record(Observation{Model: "m", Version: "v1", Rated: true, Pass: true})
		evidence.Record(Observation{Model: "m", Version: "v2", Rated: true})
	}
	g.Check()
	is.Equal(g.Fraction("m", 0.1), FractionOldVersion)
	resumed := b.Configuration.Get().Clone()
	is.NoErr(Halt(resumed, "r1", "operator", startTime.Add(time.Minute)))
	is.NoErr(Resume(resumed, "r1", startTime.Add(time.Minute)))
	b.Configuration.Publish(resumed)
	is.Equal(g.Fraction("m", 0.1), 0.1) // a new trial starts unblocked
}

// TestLateFaults guards against good early outcomes masking a late fault. The
// version turns bad after many good outcomes, during a stage or after the
// rollout is complete.
func TestLateFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		state configuration.RolloutState
		old   configuration.VersionState
		after configuration.RolloutState
		def   string
	}{
		{"in a stage", configuration.RolloutRunning, configuration.VersionActive, configuration.RolloutWithdrawn, "v1"},
		{"complete", configuration.RolloutComplete, configuration.VersionActive, configuration.RolloutWithdrawn, "v1"},
		{"nothing to go back to", configuration.RolloutComplete, configuration.VersionWithdrawn, configuration.RolloutComplete, "v2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, d, evidence := newFakePlatform(t)
			doc := runningDocument(0, 0.5, 1)
			doc.DataCentres = []configuration.DataCentre{{Name: "dc0"}, {Name: "dc1"}}
			doc.Rollouts[0].Fence = 1
			doc.Rollouts[0].State = c.state
			doc.Models[0].Versions[0].State = c.old
			if c.state == configuration.RolloutComplete {
				doc.Models[0].Default = "v2"
			}
			p.board.Configuration.Publish(doc)
			p.publish(6, 6)
			rate := func(n, bad int) {
				for i := range n {
					evidence.Record(Observation{Customer: "all", Model: "m", Version: "v1", Rated: true, Pass: i%20 > 0})
					evidence.Record(Observation{Customer: "all", Model: "m", Version: "v2", Rated: true, Pass: i%20 >= bad})
				}
				is.NoErr(d.Step(context.Background(), 1))
				p.clock.Advance(snapshotInterval)
			}
			rate(4000, 1)
			is.Equal(p.rollout().State, c.state)
			for range 3 {
				rate(40, 8)
			}
			is.Equal(p.rollout().State, c.after)
			is.Equal(p.board.Configuration.Get().Model("m").Default, c.def)

			p.clock.Advance(MonitorDuration)
			complete := runningDocument(0, 0.5, 1)
			complete.Rollouts[0].State, complete.Rollouts[0].Fence = configuration.RolloutComplete, 1
			complete.Revision = p.board.Configuration.Get().Revision
			p.board.Configuration.Publish(complete)
			rate(40, 20)
			rate(40, 20)
			is.Equal(p.rollout().State, configuration.RolloutComplete) // no longer monitored
		})
	}
}
