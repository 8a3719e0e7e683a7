package capacity

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Limiter decides whether this instance may start one more request at a server.
// Its look-ups take no lock.
type Limiter struct {
	settings      Settings
	mu            sync.Mutex // guards writes of table and the servers' warm-up states
	table         atomic.Pointer[map[string]*server]
	lastServers   *board.Servers
	instanceCount int
}

// server is what the limiter knows of one backend server.
type server struct {
	name     string
	inFlight atomic.Int64
	// demand counts starts and refusals since the last request for credits.
	demand     atomic.Int64
	startLimit atomic.Pointer[startLimit]
	// suspectedAt is the time of the last suspicion in Unix nanoseconds, zero
	// for none.
	suspectedAt atomic.Int64
	latency     latencyMonitor

	warmup           WarmupState
	credit           credit
	inFlightAtReport int
	limits           limits
}

// startLimit is the condition under which work may start at a server. It is
// immutable.
type startLimit struct {
	phase Phase
	limit int64
	until time.Time
}

// credit is what the keeper granted to this instance.
type credit struct {
	count  int
	expiry time.Time
	epoch  uint64
}

// limits are the concurrency of a server, warm and cold, and the length of its
// ramp.
type limits struct {
	concurrency     int
	coldConcurrency int
	ramp            time.Duration
}

// NewLimiter returns a Limiter that allows nothing until Update is called.
func NewLimiter(settings Settings) *Limiter {
	l := &Limiter{settings: settings}
	l.table.Store(&map[string]*server{})
	return l
}

// Update applies the latest servers, limits and number of instances. It does
// nothing without servers or a document.
func (l *Limiter) Update(servers *board.Servers, doc *configuration.Document, members *board.Members, now time.Time) {
	if servers == nil || doc == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instanceCount = countSending(members)
	if servers != l.lastServers {
		l.lastServers = servers
		l.syncTable(servers)
	}
	table := *l.table.Load()
	for i := range servers.List {
		s := &servers.List[i]
		table[s.Name].update(l, s, limitsOf(s, doc), now)
	}
}

// syncTable replaces the table if servers joined or left. A server that left
// with requests in flight stays until they have ended.
func (l *Limiter) syncTable(servers *board.Servers) {
	old := *l.table.Load()
	table := make(map[string]*server, len(servers.List))
	unchanged := len(old) == len(servers.List)
	for i := range servers.List {
		name := servers.List[i].Name
		s := old[name]
		if s == nil {
			unchanged = false
			s = &server{name: name}
			s.startLimit.Store(&startLimit{})
		}
		table[name] = s
	}
	if unchanged {
		return
	}
	for name, s := range maps.All(old) {
		if table[name] == nil {
			s.startLimit.Store(&startLimit{})
			if s.inFlight.Load() > 0 {
				table[name] = s
			}
		}
	}
	l.table.Store(&table)
}

// update computes the server's warm-up state and start limit from its newest
// report.
func (s *server) update(l *Limiter, snapshot *board.Server, lim limits, now time.Time) {
	before := s.warmup
	var local localSignals
	if at := s.suspectedAt.Load(); at != 0 {
		local.suspectedAt = time.Unix(0, at)
	}
	s.limits = lim
	s.warmup = before.next(snapshot, local, lim.ramp, now, l.settings)
	if s.warmup.Report.ReceivedAt != before.Report.ReceivedAt {
		s.inFlightAtReport = int(s.inFlight.Load())
	}
	if s.warmup.TurnedColdAt != before.TurnedColdAt {
		s.credit.count = 0
	}
	s.publishLimit(l, now)
}

// publishLimit derives the start limit from the warm-up state and the credit.
// The caller holds the limiter's lock.
func (s *server) publishLimit(l *Limiter, now time.Time) {
	next := startLimit{phase: s.warmup.Phase}
	if next.phase == Warm {
		next.limit = int64(s.warmLimit(l))
		next.until = s.warmup.WarmUntil
	} else if now.Before(s.credit.expiry) {
		next.limit = int64(s.credit.count)
		next.until = s.credit.expiry
	}
	if *s.startLimit.Load() != next {
		s.startLimit.Store(&next)
	}
}

// warmLimit is the larger of a fair share of the server's concurrency, times
// Oversubscription, and this instance's share of what the last report left
// free, on top of its requests at that time. It is at least 1 and at most the
// server's concurrency.
func (s *server) warmLimit(l *Limiter) int {
	r := &s.warmup.Report
	n := float64(max(l.instanceCount, 1))
	fair := float64(s.limits.concurrency) * l.settings.Oversubscription / n
	free := float64(s.limits.concurrency-r.Running-r.Waiting) * l.settings.Oversubscription / n
	limit := max(1, ceil(fair), s.inFlightAtReport+ceil(free))
	return min(limit, s.limits.concurrency)
}

// Permit allows one request at one server, until Release.
type Permit struct {
	server   *server
	released atomic.Bool
}

// Acquire returns a permit for one more request to the server, or false if the
// limit is reached or the server is unknown.
func (l *Limiter) Acquire(name string, now time.Time) (*Permit, bool) {
	s := (*l.table.Load())[name]
	if s == nil {
		counters.Add("AcquireUnknownServer", 1)
		return nil, false
	}
	s.demand.Add(1)
	n := s.inFlight.Add(1)
	// The limit is read after the count was raised. A goroutine that lowers
	// the limit and then reads the count therefore either sees this request,
	// or this request sees the lowered limit.
	current := s.startLimit.Load()
	if n > current.limit || !now.Before(current.until) {
		s.inFlight.Add(-1)
		counters.Add("Acquire"+refusalReason(current), 1)
		return nil, false
	}
	return &Permit{server: s}, true
}

// refusalReason returns the part of the counter's name that tells the refused
// starts at warm and cold servers apart.
func refusalReason(current *startLimit) string {
	if current.phase == Warm {
		return "WarmLimit"
	}
	return "ColdLimit"
}

// Confirm reports whether the request may still be sent. Call it right before
// the first byte is sent: the request may have waited since Acquire.
func (p *Permit) Confirm(now time.Time) bool {
	current := p.server.startLimit.Load()
	ok := now.Before(current.until) && (current.phase == Warm || p.server.inFlight.Load() <= current.limit)
	if !ok {
		counters.Add("ConfirmRefused", 1)
	}
	return ok
}

// Release ends the request. Further calls do nothing.
func (p *Permit) Release() {
	if p.released.CompareAndSwap(false, true) {
		p.server.inFlight.Add(-1)
	}
}

// InFlight returns the number of this instance's requests at the server.
func (l *Limiter) InFlight(name string) int {
	if s := (*l.table.Load())[name]; s != nil {
		return int(s.inFlight.Load())
	}
	return 0
}

// Startable reports whether one more request may start at the server now. A
// refusal at a server that is not warm counts as demand for its credits.
func (l *Limiter) Startable(name string, now time.Time) bool {
	s := (*l.table.Load())[name]
	if s == nil {
		return false
	}
	current := s.startLimit.Load()
	if s.inFlight.Load() < current.limit && now.Before(current.until) {
		return true
	}
	if current.phase != Warm {
		s.demand.Add(1)
	}
	return false
}

// Phase returns the phase in which this instance believes the server to be,
// Cold if the server is unknown.
func (l *Limiter) Phase(name string) Phase {
	if s := (*l.table.Load())[name]; s != nil {
		return s.startLimit.Load().phase
	}
	return Cold
}

// Suspect records a sign that the server may have restarted, such as a broken
// connection. The server counts as cold until SuspicionTimeout has passed.
func (l *Limiter) Suspect(name string, now time.Time) {
	s := (*l.table.Load())[name]
	if s == nil {
		return
	}
	counters.Add("Suspected", 1)
	s.suspectedAt.Store(now.UnixNano())
	s.startLimit.Store(&startLimit{})
}

// Observe records the time to first token of an answer. Answers that are much
// slower than the server's own baseline make the server suspect.
func (l *Limiter) Observe(name string, firstToken time.Duration, now time.Time) {
	s := (*l.table.Load())[name]
	if s == nil || firstToken <= 0 {
		return
	}
	if s.latency.observe(firstToken, l.settings) && s.startLimit.Load().phase == Warm {
		l.Suspect(name, now)
	}
}
