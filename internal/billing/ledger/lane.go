package ledger

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxSendBatch is the most records of one request to a keeper.
	maxSendBatch = 500
	// maxConcurrentSends is how many requests to one keeper are under way at once, so
	// that a record need not wait for another one's commit.
	maxConcurrentSends = 32
	// callerLinger is how long a record that a caller waits for gathers company.
	callerLinger = 3 * time.Millisecond
	// maxQueuedOpens is how many opening records may wait; further ones are dropped.
	maxQueuedOpens = 10_000
	// unreachableAfter is how many requests in a row must fail before the shard counts
	// as out of reach.
	unreachableAfter = 2
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
)

// entry is one record on its way to a keeper.
type entry struct {
	record   Record
	done     chan Outcome
	queuedAt time.Time
	// sent says that it may have reached a keeper.
	sent      bool
	abandoned bool
	// holders hold copies; copying says that more are being sought.
	holders []string
	copying bool
	// onOutcome is called, if set, once there is an outcome.
	onOutcome func()
}

// sender sends the records of one shard to its keeper, again and again until
// each has an outcome.
type sender struct {
	ledger *Ledger
	shard  int

	mu         sync.Mutex
	lastNumber uint64
	queue      []*entry
	opens      map[string]*entry
	sending    map[*entry]bool // under way
	inFlight   int
	// hasAbandoned says that the queue may hold abandoned entries.
	hasAbandoned bool
	failures     int
	retryAt      time.Time
	backoff      time.Duration
	timer        clockwork.Timer
}

func (s *sender) open(r Record) {
	s.mu.Lock()
	if len(s.opens) >= maxQueuedOpens {
		s.mu.Unlock()
		sends.Add("OpenDropped", 1)
		return
	}
	e := &entry{record: r, done: make(chan Outcome, 1)}
	s.opens[r.key()] = e
	s.mu.Unlock()
	s.enqueue(e)
}

// close numbers and sends a closing record. An opening record that is still
// here is not needed any more.
func (s *sender) close(r Record) *entry {
	s.mu.Lock()
	s.lastNumber++
	r.Number = s.lastNumber
	if e := s.opens[r.key()]; e != nil {
		s.markAbandoned(e)
		delete(s.opens, r.key())
	}
	s.mu.Unlock()
	e := &entry{record: r, done: make(chan Outcome, 1)}
	s.enqueue(e)
	return e
}

// claim sends a claim, or returns nil while the shard is out of reach and it
// is not yet time to try again.
func (s *sender) claim(r Record) *entry {
	s.mu.Lock()
	refuse := s.failures >= unreachableAfter && s.ledger.clock.Now().Before(s.retryAt)
	s.mu.Unlock()
	if refuse {
		return nil
	}
	e := &entry{record: r, done: make(chan Outcome, 1)}
	s.enqueue(e)
	return e
}

// abandon takes a claim out; it reports whether it may have reached a keeper.
func (s *sender) abandon(e *entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markAbandoned(e)
	return e.sent
}

// markAbandoned marks an entry that needs no outcome any more.
func (s *sender) markAbandoned(e *entry) {
	e.abandoned = true
	s.hasAbandoned = true
}

func (s *sender) enqueue(e *entry) {
	s.mu.Lock()
	e.queuedAt = s.ledger.clock.Now()
	s.queue = append(s.queue, e)
	s.mu.Unlock()
	s.sendNext()
}

// sendNext starts a request if there is something to send and it is time.
func (s *sender) sendNext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAbandoned()
	flights := maxConcurrentSends
	if s.failures > 0 {
		flights = 1
	}
	if len(s.queue) == 0 || s.inFlight >= flights || s.ledger.stopped.Load() {
		return
	}
	now := s.ledger.clock.Now()
	if at := s.nextSendTime(); now.Before(at) {
		s.setTimer(at.Sub(now))
		return
	}
	n := min(len(s.queue), maxSendBatch)
	if s.failures >= unreachableAfter {
		n = 1 // a probe
	}
	batch := append([]*entry(nil), s.queue[:n]...)
	s.queue = append([]*entry(nil), s.queue[n:]...)
	for _, e := range batch {
		e.sent = true
		s.markSending(e)
	}
	s.inFlight++
	go s.sendBatch(batch)
}

// dropAbandoned drops abandoned entries from the queue.
func (s *sender) dropAbandoned() {
	if !s.hasAbandoned {
		return
	}
	s.hasAbandoned = false
	kept := s.queue[:0]
	for _, e := range s.queue {
		if !e.abandoned {
			kept = append(kept, e)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// nextSendTime returns when the next request may start: after the back-off, and at once
// only if something waits that a caller waits for.
func (s *sender) nextSendTime() time.Time {
	if s.failures > 0 {
		return s.retryAt
	}
	for _, e := range s.queue {
		if e.record.Kind != KindOpen {
			return e.queuedAt.Add(callerLinger)
		}
	}
	return s.queue[0].queuedAt.Add(s.ledger.limits.Linger)
}

func (s *sender) setTimer(after time.Duration) {
	if s.timer == nil {
		s.timer = s.ledger.clock.AfterFunc(after, s.sendNext)
		return
	}
	s.timer.Reset(after)
}

func (s *sender) markSending(e *entry) {
	if s.sending == nil {
		s.sending = map[*entry]bool{}
	}
	s.sending[e] = true
}

// sendBatch makes one request and deals out its outcomes.
func (s *sender) sendBatch(batch []*entry) {
	l := s.ledger
	records := make([]Record, len(batch))
	for i, e := range batch {
		records[i] = e.record
	}
	results, err := l.sendToKeeper(Request{From: l.self, Shard: s.shard, Records: records})
	if err != nil || len(results) != len(batch) {
		results = allUnavailable(len(batch))
	}
	s.deliver(batch, results)
	s.sendNext()
}

func (s *sender) deliver(batch []*entry, results []Outcome) {
	s.mu.Lock()
	s.inFlight--
	var again, freed []*entry
	var calls []func()
	for i, e := range batch {
		delete(s.sending, e)
		if results[i].State == Unavailable {
			again = append(again, e)
			s.hasAbandoned = s.hasAbandoned || e.abandoned
			continue
		}
		if e.record.Kind == KindOpen && s.opens[e.record.key()] == e {
			delete(s.opens, e.record.key())
		}
		if len(e.holders) > 0 || e.copying {
			freed = append(freed, e)
		}
		if e.onOutcome != nil {
			calls = append(calls, e.onOutcome)
		}
		e.done <- results[i]
	}
	s.queue = append(again, s.queue...)
	s.updateBackoff(len(again) == 0)
	s.mu.Unlock()
	s.ledger.copier.releaseCopies(freed)
	for _, call := range calls {
		call()
	}
}

// updateBackoff keeps the back-off.
func (s *sender) updateBackoff(ok bool) {
	if ok {
		s.failures, s.backoff = 0, 0
		sends.Add("Answered", 1)
		return
	}
	sends.Add("Unavailable", 1)
	s.failures++
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.retryAt = s.ledger.clock.Now().Add(s.ledger.jitter(s.backoff))
}

func (s *sender) isUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures >= unreachableAfter
}

// forEachPending calls f for every entry without an outcome.
func (s *sender) forEachPending(f func(*entry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := range s.sending {
		f(e)
	}
	for _, e := range s.queue {
		if !e.abandoned {
			f(e)
		}
	}
}

func (s *sender) pending() (records, unsafe int) {
	s.forEachPending(func(e *entry) {
		records++
		if e.record.Kind == KindClose && len(e.holders) < requiredCopies {
			unsafe++
		}
	})
	return records, unsafe
}
