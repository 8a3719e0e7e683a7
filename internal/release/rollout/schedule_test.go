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
	scheduleTicks = 90
	scheduleTick  = time.Second
	instances     = 4
	// inForce is the time after which a change must be in force everywhere;
	// confirmed is the age of a confirmation from which an instance is unready.
	inForce   = 4 * time.Second
	confirmed = 3 * time.Second
	leaseTime = 4 * time.Second
)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

var errStoreOut = errors.New("store out")

// world is one schedule: a store, a lease, engines, instances and callers.
type world struct {
	rnd   *rand.Rand
	clock *clockwork.FakeClock
	ticks int
	good  float64 // pass rate of the new version

	doc       *configuration.Document
	storeOut  time.Time
	fence     int64
	holder    int
	leaseEnds time.Time
	servers   []board.Server
	nodes     [instances]*node
	sessions  []*caller
	denied    map[string]time.Time // when a customer lost a version

	violations []string
	requests   int
	continued  int
	lost       int
}

// node is one instance.
type node struct {
	w           *world
	index       int
	generation  uint64
	board       board.Board
	evidence    *rollout.Evidence
	driver      *rollout.Driver
	pins        *session.Pins
	confirmedAt time.Time
	cutOff      time.Time // partitioned until
	paused      bool
	fence       int64
}

// caller is one session: a token that it echoes, or a name.
type caller struct {
	customer string
	name     string
	token    string
	version  string
	over     bool
}

func newWorld(seed uint64) *world {
	w := &world{
		rnd: rand.New(rand.NewPCG(seed, 2)), clock: clockwork.NewFakeClockAt(epoch),
		holder: -1, denied: map[string]time.Time{}, good: 0.95,
	}
	if w.rnd.IntN(2) == 0 {
		w.good = 0.7
	}
	all := []configuration.Allowance{{Model: "m"}}
	w.doc = &configuration.Document{
		FormatVersion: configuration.FormatVersion, Revision: 1,
		Preset: "Fast", Presets: append(preset.Defaults(), configuration.Preset{Name: "Fast", RolloutPace: 20}),
		DataCentres: []configuration.DataCentre{{Name: "dc"}},
		Services:    []configuration.Service{{Name: "llm", Kind: configuration.ServiceModel, Concurrency: 8, ColdConcurrency: 1}},
		Models: []configuration.Model{{Name: "m", Service: "llm", Default: "v1", Versions: []configuration.Version{
			{Name: "v1", State: configuration.VersionActive}, {Name: "v2", State: configuration.VersionRegistered}}}},
		Customers: []configuration.Customer{
			{Name: "refuse", Allowed: all}, {Name: "move", Allowed: all, OnWithdrawal: configuration.WithdrawalMove},
			{Name: "old", Allowed: []configuration.Allowance{{Model: "m", Versions: []string{"v1"}}}}},
		SessionKeys: []configuration.SessionKey{{ID: "k", Secret: bytes.Repeat([]byte{7}, 32)}},
	}
	for i := range 3 {
		w.servers = append(w.servers, board.Server{Name: fmt.Sprint("s", i), Service: "llm", DataCentre: "dc", State: board.ServerLive,
			Report: board.Report{Concurrency: 100, Loaded: []board.Loaded{{Model: "m", Version: "v1"}}}})
	}
	for i := range w.nodes {
		w.nodes[i] = &node{w: w, index: i}
		w.nodes[i].restart()
	}
	// The fleet is new: no session can have been forgotten.
	w.clock.Advance(session.IdleTimeout)
	return w
}

// restart replaces an instance by one that keeps nothing.
func (n *node) restart() {
	n.generation++
	n.fence = 0
	n.board.Configuration.Publish(n.w.doc)
	n.confirmedAt = n.w.clock.Now()
	n.evidence = rollout.NewEvidence(fmt.Sprint(n.index), n.generation, n.board.Configuration.Get)
	n.driver = rollout.NewDriver(&n.board, n.evidence, nil, n, n, n, rollout.WithClock(n.w.clock))
	n.pins = session.NewPins(n.w.clock)
}

func (n *node) reaches() bool { return !n.w.clock.Now().Before(n.cutOff) }

// Change is the store as the instance sees it: it may pause before the write,
// be out, or lose the answer after the write.
func (n *node) Change(_ context.Context, id, _ string, edit func(*configuration.Document) error) (int64, error) {
	n.maybePause()
	if n.w.isOut() || !n.reaches() {
		return 0, errStoreOut
	}
	err := n.w.commit(id, edit)
	if err == nil && n.w.rnd.IntN(8) == 0 {
		err = errStoreOut // the answer is lost
	}
	return n.w.doc.Revision, err
}

// maybePause stops this instance where it stands while the others go on.
func (n *node) maybePause() {
	if n.paused || n.w.rnd.IntN(5) > 0 {
		return
	}
	n.paused = true
	n.w.run(min(n.w.ticks+1+n.w.rnd.IntN(12), scheduleTicks))
	n.paused = false
}

// Send is an engine that checks no fencing numbers.
func (n *node) Send(_ context.Context, o rollout.Order) error {
	n.maybePause()
	if n.w.rnd.IntN(4) == 0 {
		return errors.New("order lost")
	}
	for i := range n.w.servers {
		s := &n.w.servers[i]
		if s.Name != o.Server {
			continue
		}
		loaded := slices.DeleteFunc(slices.Clone(s.Report.Loaded), func(l board.Loaded) bool { return l.Version == o.Version })
		if o.Kind == rollout.OrderLoad {
			loaded = append(loaded, board.Loaded{Model: o.Model, Version: o.Version})
		}
		s.Report.Loaded = loaded
	}
	return nil
}

func (n *node) Permit(context.Context, string, string) error { return nil }

func (w *world) isOut() bool { return w.clock.Now().Before(w.storeOut) }

// commit is one compare-and-swap of the document.
func (w *world) commit(id string, edit func(*configuration.Document) error) error {
	if slices.ContainsFunc(w.doc.Changes, func(c configuration.Change) bool { return c.ID == id }) {
		return nil
	}
	next := w.doc.Clone()
	if err := edit(next); err != nil {
		return err
	}
	if err := next.Validate(); err != nil {
		return err
	}
	next.Revision++
	next.Changes = append(next.Changes, configuration.Change{ID: id})
	w.checkChange(id, w.doc, next)
	w.doc = next
	return nil
}

// checkChange checks what no change may do, whoever made it.
func (w *world) checkChange(id string, before, after *configuration.Document) {
	for _, v := range before.Models[0].Versions {
		if v.State == configuration.VersionWithdrawn && after.Models[0].Version(v.Name).State != v.State {
			w.violate("%s: %s is no longer withdrawn", id, v.Name)
		}
	}
	b, a := before.RolloutOf("m"), after.RolloutOf("m")
	if b == nil || a.ID != b.ID {
		return
	}
	if a.Fence < b.Fence {
		w.violate("%s: fence from %d to %d", id, b.Fence, a.Fence)
	}
	if a.Stage > b.Stage+1 || a.Stage < b.Stage {
		w.violate("%s: stage from %d to %d", id, b.Stage, a.Stage)
	}
	byDriver := strings.HasPrefix(id, "rollout/")
	if byDriver && b.State == configuration.RolloutHalted && a.State != b.State && a.State != configuration.RolloutWithdrawn {
		w.violate("%s: a driver resumed a halted roll-out", id)
	}
	if byDriver && !strings.HasSuffix(id, "/claim") && !strings.HasPrefix(id, fmt.Sprintf("rollout/%s/%d/", b.ID, b.Fence)) {
		w.violate("%s: written under fence %d", id, b.Fence)
	}
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("tick %d: ", w.ticks)+fmt.Sprintf(format, args...))
}

// run goes on to a tick; a paused instance calls it for the others.
func (w *world) run(until int) {
	for w.ticks < until {
		w.ticks++
		w.clock.Advance(scheduleTick)
		w.fail()
		w.operate()
		w.spread()
		for _, n := range w.nodes {
			n.drive()
		}
		for range 10 {
			w.request()
		}
	}
}

// fail brings about the failures of one tick.
func (w *world) fail() {
	now, n := w.clock.Now(), w.nodes[w.rnd.IntN(instances)]
	switch w.rnd.IntN(30) {
	case 0:
		w.storeOut = now.Add(time.Duration(w.rnd.IntN(15)) * time.Second)
	case 1, 2:
		n.cutOff = now.Add(time.Duration(w.rnd.IntN(15)) * time.Second)
	case 3:
		if !n.paused {
			n.crash()
		}
	case 4: // a server restarts and has lost what it was told to load
		w.servers[w.rnd.IntN(len(w.servers))].Report.Loaded = []board.Loaded{{Model: "m", Version: "v1"}}
	}
}

// crash loses the instance's pins; half of the time its successor has copies.
func (n *node) crash() {
	successor := n.w.nodes[(n.index+1)%instances]
	pins := n.pins.Export(func(string, string) bool { return n.w.rnd.IntN(2) == 0 })
	n.restart()
	if n.w.rnd.IntN(2) == 0 && !successor.paused {
		_ = n.pins.Import(pins)
	}
}

// operate lets operators race: each edits what it last read.
func (w *world) operate() {
	if w.ticks != 2 && w.rnd.IntN(8) > 0 || w.isOut() {
		return
	}
	seen := w.nodes[w.rnd.IntN(instances)].board.Configuration.Get()
	now := w.clock.Now()
	edit := func(doc *configuration.Document) error {
		id := ""
		if r := doc.RolloutOf("m"); r != nil {
			id = r.ID
		}
		switch w.rnd.IntN(12) {
		case 0, 1:
			return rollout.Halt(doc, id, "operator", now)
		case 2, 3, 4, 5:
			return rollout.Resume(doc, id, now)
		case 6:
			return rollout.Withdraw(doc, id, "operator", now)
		case 7:
			doc.Customers[0].Allowed = []configuration.Allowance{{Model: "m", Versions: []string{"v1"}}}
			return nil
		}
		return rollout.Start(doc, rollout.Spec{ID: "r1", Model: "m", To: "v2", Stages: []float64{0.3, 0.7, 1}}, now)
	}
	if seen.Revision != w.doc.Revision {
		return // a conflict
	}
	_ = w.commit(fmt.Sprintf("operator/%d", w.ticks), edit)
	if len(w.doc.Customers[0].Allowed[0].Versions) > 0 && w.denied["refuse v2"].IsZero() {
		w.denied["refuse v2"] = now
	}
}

// spread hands on the document, the load reports and the evidence.
func (w *world) spread() {
	now := w.clock.Now()
	for i := range w.servers {
		w.servers[i].Report.ReceivedAt = now
	}
	for _, n := range w.nodes {
		if n.paused || !n.reaches() {
			continue
		}
		if w.rnd.IntN(3) > 0 {
			n.confirmedAt = now
			n.board.Configuration.Publish(w.doc)
		}
		n.board.Servers.Publish(&board.Servers{List: slices.Clone(w.servers), At: now})
		peer := w.nodes[w.rnd.IntN(instances)]
		if peer != n && !peer.paused && peer.reaches() {
			n.evidence.Merge(peer.evidence.AllCounters())
			peer.evidence.Merge(n.evidence.AllCounters())
		}
	}
}

// drive holds or takes the lease and makes one pass.
func (n *node) drive() {
	w, now := n.w, n.w.clock.Now()
	if n.paused {
		return
	}
	if !w.isOut() && n.reaches() && (w.holder == n.index && n.fence == w.fence || now.After(w.leaseEnds)) {
		if w.holder != n.index || n.fence != w.fence {
			w.fence++
			w.holder, n.fence = n.index, w.fence
		}
		w.leaseEnds = now.Add(leaseTime)
	}
	if n.fence == 0 {
		return
	}
	if w.holder == n.index && now.After(w.leaseEnds) {
		n.fence = 0 // it knows that its lease has lapsed
		return
	}
	err := n.driver.Step(context.Background(), n.fence)
	var fenced *rollout.FencedError
	if errors.As(err, &fenced) || n.fence != w.fence {
		n.fence = 0
	}
}

// request is one request of a new or continued session at a ready instance.
func (w *world) request() {
	n := w.nodes[w.rnd.IntN(instances)]
	if n.paused || w.clock.Now().Sub(n.confirmedAt) > confirmed {
		return
	}
	var c *caller
	if len(w.sessions) > 0 && w.rnd.IntN(2) == 0 {
		c = w.sessions[w.rnd.IntN(len(w.sessions))]
	} else {
		c = &caller{customer: []string{"refuse", "move", "old"}[w.rnd.IntN(3)], name: fmt.Sprint("n", len(w.sessions))}
		w.sessions = append(w.sessions, c)
		if w.rnd.IntN(2) == 0 {
			c.name = ""
		}
	}
	if c.over {
		return
	}
	w.requests++
	doc := n.board.Configuration.Get()
	version, err := n.version(doc, c)
	if err != nil {
		c.over = c.version != "" // a session that was refused starts anew
		return
	}
	w.checkRequest(doc, c, version)
	c.version = version
	for range 10 {
		pass := version == "v1" && w.rnd.Float64() < 0.95 || version == "v2" && w.rnd.Float64() < w.good
		n.evidence.Record(rollout.Observation{Customer: c.customer, Model: "m", Version: version, Rated: true, Pass: pass})
	}
}

// version is the request path: token or name, then the newest document.
func (n *node) version(doc *configuration.Document, c *caller) (string, error) {
	customer := doc.Customer(c.customer)
	if c.name == "" {
		return n.byToken(doc, customer, c)
	}
	keeper := n.w.nodes[int(rollout.HashFraction(c.name)*instances)]
	if keeper.paused || keeper != n && (!keeper.reaches() || !n.reaches()) {
		return "", errors.New("keeper not reached")
	}
	known := keeper.board.Configuration.Get()
	pin, err := keeper.pins.Resolve(known, known.Customer(c.customer), session.Request{Customer: c.customer, Session: c.name, Model: "m"})
	if err != nil {
		n.w.lost++
		return "", err
	}
	return pin.Version, session.VerifyPin(doc, customer, pin)
}

func (n *node) byToken(doc *configuration.Document, customer *configuration.Customer, c *caller) (string, error) {
	sealer, err := session.NewSealer(doc.SessionKeys)
	if err != nil {
		return "", err
	}
	pin := session.Pin{Customer: c.customer, Model: "m", StartedAt: n.w.clock.Now()}
	if c.token == "" {
		pin.Version, err = rollout.ChooseVersion(doc, customer, "m", n.w.rnd.Float64())
	} else if pin, err = sealer.Open(c.customer, c.token); err == nil {
		pin.Version, err = session.Resolve(doc, customer, pin)
	}
	if err != nil {
		return "", err
	}
	c.token, err = sealer.Seal(pin)
	return pin.Version, err
}

func (w *world) checkRequest(doc *configuration.Document, c *caller, version string) {
	now := w.clock.Now()
	if v := w.doc.Models[0].Version(version); v.State == configuration.VersionWithdrawn && now.Sub(v.WithdrawnAt) > inForce {
		w.violate("WithdrawnVersion: %s %s later", version, now.Sub(v.WithdrawnAt))
	}
	denied := w.denied[c.customer+" "+version]
	if !doc.MayRun(c.customer, "m", version) || !denied.IsZero() && now.Sub(denied) > inForce {
		w.violate("AllowedVersion: %s on %s", c.customer, version)
	}
	if c.version == "" {
		return
	}
	w.continued++
	moved := c.customer == "move" && w.doc.Models[0].Version(c.version).State == configuration.VersionWithdrawn
	if c.version != version && !moved {
		w.violate("SessionVersion: %s %q from %s to %s", c.customer, c.name, c.version, version)
	}
}

func TestSchedules(t *testing.T) {
	worlds := make([]*world, scheduleSeeds)
	var g errgroup.Group
	g.SetLimit(3)
	for i := range worlds {
		g.Go(func() error {
			worlds[i] = newWorld(uint64(i))
			worlds[i].run(scheduleTicks)
			return nil
		})
	}
	_ = g.Wait()
	ends := map[configuration.RolloutState]int{}
	requests, continued, lost := 0, 0, 0
	for seed, w := range worlds {
		for _, v := range w.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		requests, continued, lost = requests+w.requests, continued+w.continued, lost+w.lost
		if r := w.doc.RolloutOf("m"); r != nil {
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
