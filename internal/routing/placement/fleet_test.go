package placement_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// simulation is a discrete-event simulation: it runs events in order of simulated time.
type simulation struct {
	now       time.Time
	events    events
	scheduled int
}

// event is a scheduled call. order breaks ties between events at the same time.
type event struct {
	at    int64 // Unix nanoseconds
	order int
	run   func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation() *simulation { return &simulation{now: epoch} }

// after schedules f to run after d.
func (t *simulation) after(d time.Duration, f func()) {
	t.scheduled++
	heap.Push(&t.events, &event{t.now.Add(d).UnixNano(), t.scheduled, f})
}

// every runs f now and then at intervals of d.
func (t *simulation) every(d time.Duration, f func()) {
	f()
	t.after(d, func() { t.every(d, f) })
}

func (t *simulation) run(d time.Duration) {
	end := t.now.Add(d)
	for len(t.events) > 0 && t.events[0].at < end.UnixNano() {
		e := heap.Pop(&t.events).(*event)
		t.now = time.Unix(0, e.at).UTC()
		e.run()
	}
	t.now = end
}

// skewedClock is the clock of a machine in the simulation, off by skew.
type skewedClock struct {
	clockwork.Clock
	sim  *simulation
	skew time.Duration
}

func (c skewedClock) Now() time.Time { return c.sim.now.Add(c.skew) }

// engine is a fake backend server. Its time to first token grows with its load. In cold
// start it is slow and has a low concurrency.
type engine struct {
	board.Server
	sim       *simulation
	skew      time.Duration
	coldUntil time.Time
	coldSince time.Time
	running   int
	waiting   []func()
	sequence  uint64
	started   time.Time
	run       uint64
	broken    bool
}

// Concurrency of a fake backend server.
const (
	warmConcurrency = 16
	coldConcurrency = 2
)

func (e *engine) cold() bool { return e.sim.now.Before(e.coldUntil) }

func (e *engine) capacity() int {
	if e.cold() {
		return coldConcurrency
	}
	return warmConcurrency
}

// turnCold puts the server into cold start for d, with or without a restart.
func (e *engine) turnCold(d time.Duration, restart bool) {
	if !e.cold() {
		e.coldSince = e.sim.now
	}
	e.coldUntil = e.sim.now.Add(d)
	if restart {
		e.run++
		e.started = e.sim.now
		e.running, e.waiting, e.sequence = 0, nil, 0
	}
}

// report returns the server's report about itself.
func (e *engine) report() board.LoadReport {
	e.sequence++
	at := e.sim.now.Add(e.skew)
	return board.LoadReport{
		ReportedAt: at, Sequence: e.sequence, Generation: e.run, StartedAt: e.started.Add(e.skew), Cold: e.cold(),
		Running: e.running, Waiting: len(e.waiting), Concurrency: warmConcurrency, ColdConcurrency: coldConcurrency,
		TimeToFirstToken: e.firstToken(), Loaded: []board.LoadedVersion{{Model: "m", Version: "v1"}},
	}
}

// firstToken returns the time to first token of a request that starts immediately.
func (e *engine) firstToken() time.Duration {
	base := 80 * time.Millisecond * time.Duration(warmConcurrency+e.running) / warmConcurrency
	if e.cold() {
		return 3 * base
	}
	return base
}

// fleetDocument returns a configuration with the fake servers' service and model.
func fleetDocument(ramp float64, dataCentres ...string) *configuration.Document {
	d := &configuration.Document{
		Preset:  "Ordinary",
		Presets: []configuration.Preset{{Name: "Ordinary", ShedAt: 0.9, RampSeconds: ramp}},
		Models: []configuration.Model{{Name: "m", Service: "llm", Versions: []configuration.Version{
			{Name: "v1", State: configuration.VersionActive},
		}}},
		Services: []configuration.Service{{
			Name: "llm", Kind: configuration.ServiceModel, Concurrency: warmConcurrency, ColdConcurrency: coldConcurrency,
		}},
	}
	for _, name := range dataCentres {
		d.DataCentres = append(d.DataCentres, configuration.DataCentre{Name: name, Region: "r"})
	}
	return d
}

// between returns a random duration in [low, high).
func between(rnd *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rnd.Int64N(int64(high-low)))
}
