package rollout_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/preset"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/release/rollout"
	"github.com/kingcupyard/kingcupyard/internal/routing/session"
)

const (
	scheduleTicks        = 90
	scheduleTickDuration = time.Second
	instanceCount        = 4
	// maxApplyDelay is the time after which a change must be in force
	// everywhere. maxConfirmationAge is the age of its confirmation beyond
	// which an instance is not ready.
	maxApplyDelay      = 4 * time.Second
	maxConfirmationAge = 3 * time.Second
	leaseTime          = 4 * time.Second
)

var startTime = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

var errStoreUnavailable = errors.New("store unavailable")

// fleet simulates one random schedule of failures: a store, a lease, engines,
// instances and their clients.
type fleet struct {
	rnd                *rand.Rand
	clock              *clockwork.FakeClock
	ticks              int
	newVersionPassRate float64

	doc           *configuration.Document
	storeOutUntil time.Time
	fence         int64
	holder        int
	leaseEnds     time.Time
	servers       []board.Server
	instances     [instanceCount]*instance
	sessions      []*sessionClient
	deniedAt      map[string]time.Time // by "customer version", when the customer lost the version

	violations      []string
	requests        int
	continued       int
	refusedByKeeper int
}

// instance is one simulated instance. It is its own Editor, OrderSender and
// WeightStore.
type instance struct {
	fleet       *fleet
	index       int
	generation  uint64
	board       board.Board
	evidence    *rollout.Evidence
	driver      *rollout.Driver
	pins        *session.Pins
	confirmedAt time.Time
	cutOffUntil time.Time // end of the network partition
	paused      bool
	fence       int64
}

// sessionClient is the client of one session. It identifies the session by a
// token that it returns, or by a name.
type sessionClient struct {
	customer string
	name     string
	token    string
	version  string
	ended    bool
}

func newFleet(seed uint64) *fleet {
	f := &fleet{
		rnd: rand.New(rand.NewPCG(seed, 2)), clock: clockwork.NewFakeClockAt(startTime),
		holder: -1, deniedAt: map[string]time.Time{}, newVersionPassRate: 0.95,
	}
	if f.rnd.IntN(2) == 0 {
		f.newVersionPassRate = 0.7
	}
	all := []configuration.ModelAccess{{Model: "m"}}
	f.doc = &configuration.Document{
		FormatVersion: configuration.FormatVersion, Revision: 1,
		Preset: "Fast", Presets: append(preset.Defaults(), configuration.Preset{Name: "Fast", RolloutPace: 20}),
		DataCentres: []configuration.DataCentre{{Name: "dc"}},
		Services:    []configuration.Service{{Name: "llm", Kind: configuration.ServiceModel, Concurrency: 8, ColdConcurrency: 1}},
		Models: []configuration.Model{{Name: "m", Service: "llm", Default: "v1", Versions: []configuration.Version{
			{Name: "v1", State: configuration.VersionActive}, {Name: "v2", State: configuration.VersionRegistered}}}},
		Customers: []configuration.Customer{
			{Name: "refuse", Allowed: all}, {Name: "move", Allowed: all, OnWithdrawal: configuration.WithdrawalMove},
			{Name: "old", Allowed: []configuration.ModelAccess{{Model: "m", Versions: []string{"v1"}}}}},
		SessionKeys: []configuration.SessionKey{{ID: "k", Secret: bytes.Repeat([]byte{7}, 32)}},
	}
	for i := range 3 {
		f.servers = append(f.servers, board.Server{Name: fmt.Sprint("s", i), Service: "llm", DataCentre: "dc", State: board.ServerLive,
			Report: board.LoadReport{Concurrency: 100, Loaded: []board.LoadedVersion{{Model: "m", Version: "v1"}}}})
	}
	for i := range f.instances {
		f.instances[i] = &instance{fleet: f, index: i}
		f.instances[i].restart()
	}
	// After session.IdleTimeout the pins treat an unknown name as a new session, not
	// as one whose pin may have been lost in the restart.
	f.clock.Advance(session.IdleTimeout)
	return f
}

// restart replaces the instance by one without any state.
func (n *instance) restart() {
	n.generation++
	n.fence = 0
	n.board.Configuration.Publish(n.fleet.doc)
	n.confirmedAt = n.fleet.clock.Now()
	n.evidence = rollout.NewEvidence(fmt.Sprint(n.index), n.generation, n.board.Configuration.Get)
	n.driver = rollout.NewDriver(&n.board, n.evidence, nil, n, n, n, rollout.WithClock(n.fleet.clock))
	n.pins = session.NewPins(n.fleet.clock)
}

func (n *instance) isConnected() bool { return !n.fleet.clock.Now().Before(n.cutOffUntil) }

// Change commits to the store as the instance reaches it. It may pause before
// the write, fail because the store is unavailable, or lose the answer after
// the write.
func (n *instance) Change(_ context.Context, id, _ string, edit func(*configuration.Document) error) (int64, error) {
	n.maybePause()
	if n.fleet.isStoreOut() || !n.isConnected() {
		return 0, errStoreUnavailable
	}
	err := n.fleet.commit(id, edit)
	if err == nil && n.fleet.rnd.IntN(8) == 0 {
		err = errStoreUnavailable // the answer is lost
	}
	return n.fleet.doc.Revision, err
}

// maybePause sometimes suspends this instance at this point while the others
// continue.
func (n *instance) maybePause() {
	if n.paused || n.fleet.rnd.IntN(5) > 0 {
		return
	}
	n.paused = true
	n.fleet.run(min(n.fleet.ticks+1+n.fleet.rnd.IntN(12), scheduleTicks))
	n.paused = false
}

// Send acts as an engine that checks no fencing tokens.
func (n *instance) Send(_ context.Context, o rollout.Order) error {
	n.maybePause()
	if n.fleet.rnd.IntN(4) == 0 {
		return errors.New("order lost")
	}
	for i := range n.fleet.servers {
		s := &n.fleet.servers[i]
		if s.Name != o.Server {
			continue
		}
		loaded := slices.DeleteFunc(slices.Clone(s.Report.Loaded), func(l board.LoadedVersion) bool { return l.Version == o.Version })
		if o.Kind == rollout.OrderLoad {
			loaded = append(loaded, board.LoadedVersion{Model: o.Model, Version: o.Version})
		}
		s.Report.Loaded = loaded
	}
	return nil
}

func (n *instance) Permit(context.Context, string, string) error { return nil }

func (f *fleet) isStoreOut() bool { return f.clock.Now().Before(f.storeOutUntil) }

// commit applies one compare-and-swap to the document.
func (f *fleet) commit(id string, edit func(*configuration.Document) error) error {
	if slices.ContainsFunc(f.doc.Changes, func(c configuration.Change) bool { return c.ID == id }) {
		return nil
	}
	next := f.doc.Clone()
	if err := edit(next); err != nil {
		return err
	}
	if err := next.Validate(); err != nil {
		return err
	}
	next.Revision++
	next.Changes = append(next.Changes, configuration.Change{ID: id})
	f.checkChange(id, f.doc, next)
	f.doc = next
	return nil
}

// checkChange checks the rules that every change must keep, regardless of who
// made it.
func (f *fleet) checkChange(id string, before, after *configuration.Document) {
	for _, v := range before.Models[0].Versions {
		if v.State == configuration.VersionWithdrawn && after.Models[0].Version(v.Name).State != v.State {
			f.addViolation("%s: %s is no longer withdrawn", id, v.Name)
		}
	}
	b, a := before.LatestRollout("m"), after.LatestRollout("m")
	if b == nil || a.ID != b.ID {
		return
	}
	if a.Fence < b.Fence {
		f.addViolation("%s: fence from %d to %d", id, b.Fence, a.Fence)
	}
	if a.Stage > b.Stage+1 || a.Stage < b.Stage {
		f.addViolation("%s: stage from %d to %d", id, b.Stage, a.Stage)
	}
	byDriver := strings.HasPrefix(id, "rollout/")
	if byDriver && b.State == configuration.RolloutHalted && a.State != b.State && a.State != configuration.RolloutWithdrawn {
		f.addViolation("%s: a driver resumed a halted roll-out", id)
	}
	if byDriver && !strings.HasSuffix(id, "/claim") && !strings.HasPrefix(id, fmt.Sprintf("rollout/%s/%d/", b.ID, b.Fence)) {
		f.addViolation("%s: written under fence %d", id, b.Fence)
	}
}

func (f *fleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("tick %d: ", f.ticks)+fmt.Sprintf(format, args...))
}

// run advances the fleet to a tick. A paused instance calls it to let the
// others continue.
func (f *fleet) run(until int) {
	for f.ticks < until {
		f.ticks++
		f.clock.Advance(scheduleTickDuration)
		f.injectFailures()
		f.runOperator()
		f.distribute()
		for _, n := range f.instances {
			n.runDriver()
		}
		for range 10 {
			f.sendRequest()
		}
	}
}

// injectFailures injects the failures of one tick.
func (f *fleet) injectFailures() {
	now, n := f.clock.Now(), f.instances[f.rnd.IntN(instanceCount)]
	switch f.rnd.IntN(30) {
	case 0:
		f.storeOutUntil = now.Add(time.Duration(f.rnd.IntN(15)) * time.Second)
	case 1, 2:
		n.cutOffUntil = now.Add(time.Duration(f.rnd.IntN(15)) * time.Second)
	case 3:
		if !n.paused {
			n.crash()
		}
	case 4: // a server restarts without the version it was ordered to load
		f.servers[f.rnd.IntN(len(f.servers))].Report.Loaded = []board.LoadedVersion{{Model: "m", Version: "v1"}}
	}
}

// crash restarts the instance without its pins. In half of the cases its
// successor has copies of them.
func (n *instance) crash() {
	successor := n.fleet.instances[(n.index+1)%instanceCount]
	pins := n.pins.Export(func(string, string) bool { return n.fleet.rnd.IntN(2) == 0 })
	n.restart()
	if n.fleet.rnd.IntN(2) == 0 && !successor.paused {
		_ = n.pins.Import(pins)
	}
}

// runOperator makes one operator edit based on the document that some instance
// has, which may be out of date.
func (f *fleet) runOperator() {
	if f.ticks != 2 && f.rnd.IntN(8) > 0 || f.isStoreOut() {
		return
	}
	seen := f.instances[f.rnd.IntN(instanceCount)].board.Configuration.Get()
	now := f.clock.Now()
	edit := func(doc *configuration.Document) error {
		id := ""
		if r := doc.LatestRollout("m"); r != nil {
			id = r.ID
		}
		switch f.rnd.IntN(12) {
		case 0, 1:
			return rollout.Halt(doc, id, "operator", now)
		case 2, 3, 4, 5:
			return rollout.Resume(doc, id, now)
		case 6:
			return rollout.Withdraw(doc, id, "operator", now)
		case 7:
			doc.Customers[0].Allowed = []configuration.ModelAccess{{Model: "m", Versions: []string{"v1"}}}
			return nil
		}
		return rollout.Start(doc, rollout.Spec{ID: "r1", Model: "m", To: "v2", Stages: []float64{0.3, 0.7, 1}}, now)
	}
	if seen.Revision != f.doc.Revision {
		return // a conflicting change was committed
	}
	_ = f.commit(fmt.Sprintf("operator/%d", f.ticks), edit)
	if len(f.doc.Customers[0].Allowed[0].Versions) > 0 && f.deniedAt["refuse v2"].IsZero() {
		f.deniedAt["refuse v2"] = now
	}
}

// distribute passes on the document, the load reports and the evidence.
func (f *fleet) distribute() {
	now := f.clock.Now()
	for i := range f.servers {
		f.servers[i].Report.ReceivedAt = now
	}
	for _, n := range f.instances {
		if n.paused || !n.isConnected() {
			continue
		}
		if f.rnd.IntN(3) > 0 {
			n.confirmedAt = now
			n.board.Configuration.Publish(f.doc)
		}
		n.board.Servers.Publish(&board.Servers{List: slices.Clone(f.servers), At: now})
		peer := f.instances[f.rnd.IntN(instanceCount)]
		if peer != n && !peer.paused && peer.isConnected() {
			n.evidence.Merge(peer.evidence.AllCounters())
			peer.evidence.Merge(n.evidence.AllCounters())
		}
	}
}

// runDriver acquires or renews the lease and makes one pass of the driver.
func (n *instance) runDriver() {
	f, now := n.fleet, n.fleet.clock.Now()
	if n.paused {
		return
	}
	if !f.isStoreOut() && n.isConnected() && (f.holder == n.index && n.fence == f.fence || now.After(f.leaseEnds)) {
		if f.holder != n.index || n.fence != f.fence {
			f.fence++
			f.holder, n.fence = n.index, f.fence
		}
		f.leaseEnds = now.Add(leaseTime)
	}
	if n.fence == 0 {
		return
	}
	if f.holder == n.index && now.After(f.leaseEnds) {
		n.fence = 0 // the driver knows that its lease has expired
		return
	}
	err := n.driver.Step(context.Background(), n.fence)
	var fenced *rollout.FencedError
	if errors.As(err, &fenced) || n.fence != f.fence {
		n.fence = 0
	}
}

// sendRequest sends one request of a new or existing session to a ready
// instance.
func (f *fleet) sendRequest() {
	n := f.instances[f.rnd.IntN(instanceCount)]
	if n.paused || f.clock.Now().Sub(n.confirmedAt) > maxConfirmationAge {
		return
	}
	var c *sessionClient
	if len(f.sessions) > 0 && f.rnd.IntN(2) == 0 {
		c = f.sessions[f.rnd.IntN(len(f.sessions))]
	} else {
		c = &sessionClient{customer: []string{"refuse", "move", "old"}[f.rnd.IntN(3)], name: fmt.Sprint("n", len(f.sessions))}
		f.sessions = append(f.sessions, c)
		if f.rnd.IntN(2) == 0 {
			c.name = ""
		}
	}
	if c.ended {
		return
	}
	f.requests++
	doc := n.board.Configuration.Get()
	version, err := n.resolveVersion(doc, c)
	if err != nil {
		c.ended = c.version != "" // a refused client starts a new session
		return
	}
	f.checkRequest(doc, c, version)
	c.version = version
	for range 10 {
		pass := version == "v1" && f.rnd.Float64() < 0.95 || version == "v2" && f.rnd.Float64() < f.newVersionPassRate
		n.evidence.Record(rollout.Observation{Customer: c.customer, Model: "m", Version: version, Rated: true, Pass: pass})
	}
}

// resolveVersion selects the version on the request path: by token or name,
// then checked against the instance's document.
func (n *instance) resolveVersion(doc *configuration.Document, c *sessionClient) (string, error) {
	customer := doc.Customer(c.customer)
	if c.name == "" {
		return n.resolveToken(doc, customer, c)
	}
	keeper := n.fleet.instances[int(rollout.HashFraction(c.name)*instanceCount)]
	if keeper.paused || keeper != n && (!keeper.isConnected() || !n.isConnected()) {
		return "", errors.New("keeper unreachable")
	}
	known := keeper.board.Configuration.Get()
	pin, err := keeper.pins.Resolve(known, known.Customer(c.customer), session.Request{Customer: c.customer, Session: c.name, Model: "m"})
	if err != nil {
		n.fleet.refusedByKeeper++
		return "", err
	}
	return pin.Version, session.VerifyPin(doc, customer, pin)
}

func (n *instance) resolveToken(doc *configuration.Document, customer *configuration.Customer, c *sessionClient) (string, error) {
	sealer, err := session.NewSealer(doc.SessionKeys)
	if err != nil {
		return "", err
	}
	pin := session.Pin{Customer: c.customer, Model: "m", StartedAt: n.fleet.clock.Now()}
	if c.token == "" {
		pin.Version, err = rollout.ChooseVersion(doc, customer, "m", n.fleet.rnd.Float64())
	} else if pin, err = sealer.Open(c.customer, c.token); err == nil {
		pin.Version, err = session.Resolve(doc, customer, pin)
	}
	if err != nil {
		return "", err
	}
	c.token, err = sealer.Seal(pin)
	return pin.Version, err
}

func (f *fleet) checkRequest(doc *configuration.Document, c *sessionClient, version string) {
	now := f.clock.Now()
	if v := f.doc.Models[0].Version(version); v.State == configuration.VersionWithdrawn && now.Sub(v.WithdrawnAt) > maxApplyDelay {
		f.addViolation("WithdrawnVersion: %s %s later", version, now.Sub(v.WithdrawnAt))
	}
	denied := f.deniedAt[c.customer+" "+version]
	if !doc.MayRun(c.customer, "m", version) || !denied.IsZero() && now.Sub(denied) > maxApplyDelay {
		f.addViolation("AllowedVersion: %s on %s", c.customer, version)
	}
	if c.version == "" {
		return
	}
	f.continued++
	moved := c.customer == "move" && f.doc.Models[0].Version(c.version).State == configuration.VersionWithdrawn
	if c.version != version && !moved {
		f.addViolation("SessionVersion: %s %q from %s to %s", c.customer, c.name, c.version, version)
	}
}

// TestSchedules runs random schedules of failures, pauses and operator edits,
// and checks that no change or request breaks the rules of checkChange and
// checkRequest. It also checks that the schedules cover enough outcomes.
func TestSchedules(t *testing.T) {
	fleets := make([]*fleet, scheduleSeeds)
	var g errgroup.Group
	g.SetLimit(3)
	for i := range fleets {
		g.Go(func() error {
			fleets[i] = newFleet(uint64(i))
			fleets[i].run(scheduleTicks)
			return nil
		})
	}
	_ = g.Wait()
	ends := map[configuration.RolloutState]int{}
	requests, continued, lost := 0, 0, 0
	for seed, f := range fleets {
		for _, v := range f.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		requests, continued, lost = requests+f.requests, continued+f.continued, lost+f.refusedByKeeper
		if r := f.doc.LatestRollout("m"); r != nil {
			ends[r.State]++
		}
	}
	t.Logf("requests=%d continued=%d refused-by-keeper=%d ends=%v", requests, continued, lost, ends)
	for _, state := range []configuration.RolloutState{configuration.RolloutComplete, configuration.RolloutWithdrawn, configuration.RolloutHalted} {
		if ends[state] < scheduleSeeds/50 {
			t.Errorf("only %d schedules end %s", ends[state], state)
		}
	}
	if continued < 100*scheduleSeeds {
		t.Errorf("only %d requests continue a session", continued)
	}
}
