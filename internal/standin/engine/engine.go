package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/standin/host"
	"github.com/kingcupyard/kingcupyard/internal/standin/observation"
)

// Engine is one model engine.
type Engine struct {
	settings Settings
	clock    clockwork.Clock
	log      *observation.Log
	host     *host.Host
	faults   host.Faults[Faults]

	mu          sync.Mutex
	running     []*task
	waiting     []*task
	arrivals    int
	generation  uint64
	startedAt   time.Time
	warmAt      time.Time
	downUntil   time.Time
	unannounced time.Time
	fence       int64
	loadedAt    map[Loaded]time.Time
	firstTokens []time.Duration
	cache       *prefixCache
	report      Report
}

// task is one request in the engine.
type task struct {
	ctx      context.Context
	cancel   context.CancelFunc
	ready    chan struct{}
	attempt  string
	request  string
	customer string
	tag      string
	priority int
	runs     Loaded
}

// Option changes how an engine is built.
type Option func(*Engine)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(e *Engine) { e.clock = clock } }

// WithLog sets the log that observations go to.
func WithLog(log *observation.Log) Option { return func(e *Engine) { e.log = log } }

// New returns an engine that is not listening yet.
func New(settings Settings, opts ...Option) *Engine {
	e := &Engine{
		settings: settings.withDefaults(),
		clock:    clockwork.NewRealClock(),
		log:      observation.New(0),
		host:     host.New(),
		loadedAt: map[Loaded]time.Time{},
	}
	for _, opt := range opts {
		opt(e)
	}
	e.cache = newPrefixCache(e.settings.CacheBlocks)
	e.faults.OnChange = e.applyFaults
	e.host.Handle("POST /v1/chat/completions", e.serveChat)
	e.host.Handle("GET /load", e.serveLoad)
	e.host.Handle("GET /cache-events", e.serveCacheEvents)
	e.host.Handle("POST /orders", e.serveOrder)
	e.host.Control("/faults", &e.faults)
	e.host.Control("GET /observations", e.log)
	return e
}

// Start listens on address and returns the address bound. The engine is in
// cold start from now on, if its settings say so.
func (e *Engine) Start(address string) (string, error) {
	e.mu.Lock()
	now := e.clock.Now()
	for _, l := range e.settings.Loaded {
		e.loadedAt[l] = now
	}
	e.restart(now, now)
	if e.settings.StartsWarm {
		e.startedAt, e.warmAt = now.Add(-warmUptime), now
	}
	e.report = e.measure(now)
	e.mu.Unlock()
	bound, err := e.host.Start(address)
	if err == nil {
		go e.keepReport()
	}
	return bound, err
}

// warmUptime is how long an engine that starts warm reports to have run.
const warmUptime = time.Hour

// Close breaks every connection and stops the engine.
func (e *Engine) Close() { e.host.Close() }

// Observations returns the log of what the engine saw.
func (e *Engine) Observations() *observation.Log { return e.log }

// Faults returns the faults in force.
func (e *Engine) Faults() Faults { return e.faults.Get() }

// SetFaults changes the faults in force.
func (e *Engine) SetFaults(change func(*Faults)) { e.faults.Update(change) }

func (e *Engine) applyFaults(f *Faults) {
	e.host.SetHang(f.Hang)
	if f.Silence {
		e.host.Silence()
		f.Silence = false
	}
	if f.TurnCold {
		f.TurnCold = false
		e.turnCold()
	}
}

// turnCold makes a warm server cold: its caches are gone, and what runs goes
// on slowly.
func (e *Engine) turnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if !e.isCold(now) {
		e.unannounced = now
	}
	e.cache = newPrefixCache(e.settings.CacheBlocks)
	e.restart(now, now)
}

// restart begins a new generation in cold start at the given time.
func (e *Engine) restart(now, at time.Time) {
	e.generation++
	e.startedAt = at
	e.warmAt = at.Add(e.settings.ColdDuration)
	e.log.Add(e.event(observation.Event{At: now, Kind: observation.KindTurnedCold, Generation: e.generation, Unannounced: e.unannounced}))
}

func (e *Engine) isCold(now time.Time) bool { return now.Before(e.warmAt) }

// event fills in what identifies the engine.
func (e *Engine) event(ev observation.Event) observation.Event {
	ev.Server, ev.Service, ev.DataCentre = e.settings.Name, e.settings.Service, e.settings.DataCentre
	return ev
}

func (e *Engine) taskEvent(t *task, kind observation.Kind) observation.Event {
	return e.event(observation.Event{
		At: e.clock.Now(), Kind: kind, AttemptID: t.attempt, RequestID: t.request,
		Customer: t.customer, Tag: t.tag, Model: t.runs.Model, Version: t.runs.Version,
	})
}

// admit takes a task in, or reports the status with which it is refused.
func (e *Engine) admit(t *task) (status int) {
	refuse := e.faults.Get().Refuse
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.arrivals++
	if refuse || now.Before(e.downUntil) || len(e.waiting) >= e.settings.QueueLimit {
		e.log.Add(e.taskEvent(t, observation.KindRefused))
		return http.StatusServiceUnavailable
	}
	present := len(e.running) + len(e.waiting)
	if e.isCold(now) && present >= e.settings.ColdConcurrency {
		e.fallOver(t, now, present+1)
		return http.StatusBadGateway
	}
	ev := e.taskEvent(t, observation.KindStarted)
	ev.Running, ev.Cold, ev.Limit, ev.Generation = present+1, e.isCold(now), e.settings.Concurrency, e.generation
	if ev.Cold {
		ev.Limit = e.settings.ColdConcurrency
	}
	e.log.Add(ev)
	e.enqueue(t)
	return 0
}

// fallOver breaks everything that runs; the server is back after a while, in
// cold start again.
func (e *Engine) fallOver(t *task, now time.Time, present int) {
	ev := e.taskEvent(t, observation.KindColdExcess)
	ev.Running, ev.Limit, ev.Cold, ev.Generation = present, e.settings.ColdConcurrency, true, e.generation
	ev.Unannounced = e.unannounced
	e.log.Add(ev)
	for _, other := range slices.Concat(e.running, e.waiting) {
		other.cancel()
	}
	e.downUntil = now.Add(e.settings.FallOverDuration)
	e.cache = newPrefixCache(e.settings.CacheBlocks)
	e.restart(now, e.downUntil)
}

// enqueue runs the task at once or lets it wait, highest priority first.
func (e *Engine) enqueue(t *task) {
	if len(e.running) < e.settings.Concurrency {
		e.running = append(e.running, t)
		close(t.ready)
		return
	}
	i, _ := slices.BinarySearchFunc(e.waiting, t, func(a, b *task) int {
		if a.priority >= b.priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, i, t)
}

// release takes a task out and lets the next one run.
func (e *Engine) release(t *task) {
	e.mu.Lock()
	defer e.mu.Unlock()
	same := func(o *task) bool { return o == t }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	if len(e.waiting) > 0 && len(e.running) < e.settings.Concurrency {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, next)
		close(next.ready)
	}
}

// scale stretches a duration by cold start and faults.
func (e *Engine) scale(d time.Duration) time.Duration {
	factor := 1.0
	if slow := e.faults.Get().SlowFactor; slow > 0 {
		factor = slow
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isCold(e.clock.Now()) {
		factor *= e.settings.ColdFactor
	}
	return time.Duration(float64(d) * factor)
}

// interval returns the time to the next token at the present batch.
func (e *Engine) interval() time.Duration {
	e.mu.Lock()
	batch := max(len(e.running), 1)
	e.mu.Unlock()
	return e.scale(time.Duration(float64(e.settings.TokenInterval) * (1 + e.settings.BatchSlope*float64(batch-1))))
}

// sleep waits; it reports false when the task was given up meanwhile.
func (e *Engine) sleep(t *task, d time.Duration) bool {
	select {
	case <-e.clock.After(d):
		return t.ctx.Err() == nil
	case <-t.ctx.Done():
		return false
	}
}
