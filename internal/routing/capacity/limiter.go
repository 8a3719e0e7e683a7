package capacity

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Limiter decides whether this instance may start one more request at a
// server. Its look-ups take no lock.
type Limiter struct {
	settings      Settings
	mu            sync.Mutex // guards writes of table and the servers' beliefs
	table         atomic.Pointer[map[string]*server]
	lastServers   *board.Servers
	instanceCount int
}

// server is what the limiter knows of one backend server.
type server struct {
	name     string
	inFlight atomic.Int64
	// demand counts starts and refusals since the last ask for credits.
	demand     atomic.Int64
	startLimit atomic.Pointer[startLimit]
	// suspectedAt is in Unix nanoseconds, zero for none.
	suspectedAt atomic.Int64
	latency     latencyMonitor

	belief           WarmupState
	credit           credit
	inFlightAtReport int
	limits           limits
}

// startLimit are the conditions for starting work; immutable.
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

// limits are what the server bears, warm and cold.
type limits struct {
	concurrency     int
	coldConcurrency int
	ramp            time.Duration
}

// NewLimiter returns a limiter that allows nothing until Update.
func NewLimiter(set Settings) *Limiter {
	l := &Limiter{settings: set}
	l.table.Store(&map[string]*server{})
	return l
}

// Update takes in the latest servers, limits and number of instances.
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

// syncTable replaces the table when servers joined or left. A server that left
// with requests in flight stays until they are done.
func (l *Limiter) syncTable(servers *board.Servers) {
	old := *l.table.Load()
	table := make(map[string]*server, len(servers.List))
	same := len(old) == len(servers.List)
	for i := range servers.List {
		name := servers.List[i].Name
		s := old[name]
		if s == nil {
			same = false
			s = &server{name: name}
			s.startLimit.Store(&startLimit{})
		}
		table[name] = s
	}
	if same {
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

// update computes the belief and the terms for the server.
func (s *server) update(l *Limiter, b *board.Server, lim limits, now time.Time) {
	before := s.belief
	var sign localSignals
	if at := s.suspectedAt.Load(); at != 0 {
		sign.suspectedAt = time.Unix(0, at)
	}
	s.limits = lim
	s.belief = before.next(b, sign, lim.ramp, now, l.settings)
	if s.belief.Report.ReceivedAt != before.Report.ReceivedAt {
		s.inFlightAtReport = int(s.inFlight.Load())
	}
	if s.belief.TurnedColdAt != before.TurnedColdAt {
		s.credit.count = 0
	}
	s.publishLimit(l, now)
}

// publishLimit makes new terms from the belief and the credit. The caller holds
// the limiter's lock.
func (s *server) publishLimit(l *Limiter, now time.Time) {
	next := startLimit{phase: s.belief.Phase}
	if next.phase == Warm {
		next.limit = int64(s.warmLimit(l))
		next.until = s.belief.WarmUntil
	} else if now.Before(s.credit.expiry) {
		next.limit = int64(s.credit.count)
		next.until = s.credit.expiry
	}
	if *s.startLimit.Load() != next {
		s.startLimit.Store(&next)
	}
}

// warmLimit is a fair share of the server's concurrency with slack, or what
// its last report left free.
func (s *server) warmLimit(l *Limiter) int {
	r := &s.belief.Report
	n := float64(max(l.instanceCount, 1))
	fair := float64(s.limits.concurrency) * l.settings.Oversubscription / n
	free := float64(s.limits.concurrency-r.Running-r.Waiting) * l.settings.Oversubscription / n
	limit := max(1, ceil(fair), s.inFlightAtReport+ceil(free))
	return min(limit, s.limits.concurrency)
}

// Permit allows one request at one server.
type Permit struct {
	server   *server
	released atomic.Bool
}

// Acquire allows one more request to the server, or returns false.
func (l *Limiter) Acquire(name string, now time.Time) (*Permit, bool) {
	s := (*l.table.Load())[name]
	if s == nil {
		counters.Add("AcquireUnknownServer", 1)
		return nil, false
	}
	s.demand.Add(1)
	n := s.inFlight.Add(1)
	// The terms are read after the count was raised: whoever lowers the
	// terms and then reads the count sees this request, or it sees them.
	t := s.startLimit.Load()
	if n > t.limit || !now.Before(t.until) {
		s.inFlight.Add(-1)
		counters.Add("Acquire"+refusalReason(t), 1)
		return nil, false
	}
	return &Permit{server: s}, true
}

func refusalReason(t *startLimit) string {
	if t.phase == Warm {
		return "WarmLimit"
	}
	return "ColdLimit"
}

// Confirm reports whether the request may still be sent. Call it right before
// the first byte: the request may have waited since Acquire.
func (p *Permit) Confirm(now time.Time) bool {
	t := p.server.startLimit.Load()
	ok := now.Before(t.until) && (t.phase == Warm || p.server.inFlight.Load() <= t.limit)
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
// refusal counts as demand for the server's credits.
func (l *Limiter) Startable(name string, now time.Time) bool {
	s := (*l.table.Load())[name]
	if s == nil {
		return false
	}
	t := s.startLimit.Load()
	if s.inFlight.Load() < t.limit && now.Before(t.until) {
		return true
	}
	if t.phase != Warm {
		s.demand.Add(1)
	}
	return false
}

// Phase returns what this instance believes of the server.
func (l *Limiter) Phase(name string) Phase {
	if s := (*l.table.Load())[name]; s != nil {
		return s.startLimit.Load().phase
	}
	return Cold
}

// Suspect records a sign that the server may have restarted, such as a broken
// connection. It counts as cold until SuspectFor has passed.
func (l *Limiter) Suspect(name string, now time.Time) {
	s := (*l.table.Load())[name]
	if s == nil {
		return
	}
	counters.Add("Suspected", 1)
	s.suspectedAt.Store(now.UnixNano())
	s.startLimit.Store(&startLimit{})
}

// Observe records the time to first token of an answer. Answers far slower
// than the server's own history make it suspect.
func (l *Limiter) Observe(name string, firstToken time.Duration, now time.Time) {
	s := (*l.table.Load())[name]
	if s == nil || firstToken <= 0 {
		return
	}
	if s.latency.observe(firstToken, l.settings) && s.startLimit.Load().phase == Warm {
		l.Suspect(name, now)
	}
}
