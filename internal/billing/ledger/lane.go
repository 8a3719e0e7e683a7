package ledger

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxSendBatch is the maximum number of records in one request to a keeper.
	maxSendBatch = 500
	// maxConcurrentSends limits the concurrent requests to one keeper. With
	// several in flight, a record need not wait until another one is committed.
	maxConcurrentSends = 32
	// callerLinger is how long a record with a waiting caller is delayed so
	// that others can join its batch.
	callerLinger = 3 * time.Millisecond
	// maxQueuedOpens limits the opening records that wait to be sent. Further
	// ones are dropped.
	maxQueuedOpens = 10_000
	// unreachableAfter is the number of consecutive failed requests after which
	// the shard is considered unreachable.
	unreachableAfter = 2
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
)

// entry is a record that is waiting for its outcome.
type entry struct {
	record   Record
	done     chan Outcome
	queuedAt time.Time
	// sent reports whether the record may have reached a keeper.
	sent      bool
	abandoned bool
	// holders are the peers that hold a copy. copying reports whether a copy
	// request is in progress.
	holders []string
	copying bool
	// onOutcome, if not nil, is called once there is an outcome.
	onOutcome func()
}

// sender sends the records of one shard to its keeper and repeats them until
// each has an outcome.
type sender struct {
	ledger *Ledger
	shard  int

	mu         sync.Mutex
	lastNumber uint64
	queue      []*entry
	opens      map[string]*entry
	// sending holds the entries of the requests in flight.
	sending  map[*entry]bool
	inFlight int
	// hasAbandoned reports whether the queue may contain abandoned entries.
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

// close numbers and sends a closing record. An opening record of the same
// request that has no outcome yet is abandoned, since the closing record
// replaces it.
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

// claim sends a claim. It returns nil if the shard is unreachable and the
// backoff has not elapsed.
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

// abandon removes a claim from the queue and reports whether it may have
// reached a keeper.
func (s *sender) abandon(e *entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markAbandoned(e)
	return e.sent
}

// markAbandoned marks an entry whose outcome is not needed any more.
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

// sendNext sends the next batch if there is one and it is due; otherwise it
// sets the timer.
func (s *sender) sendNext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAbandoned()
	limit := maxConcurrentSends
	if s.failures > 0 {
		limit = 1
	}
	if len(s.queue) == 0 || s.inFlight >= limit || s.ledger.stopped.Load() {
		return
	}
	now := s.ledger.clock.Now()
	if at := s.nextSendTime(); now.Before(at) {
		s.setTimer(at.Sub(now))
		return
	}
	n := min(len(s.queue), maxSendBatch)
	if s.failures >= unreachableAfter {
		n = 1 // probe with a single record
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

// dropAbandoned removes abandoned entries from the queue.
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

// nextSendTime returns when the next batch is due: after the backoff if the
// last request failed, after callerLinger if a caller is waiting for one of the
// records, and otherwise after Limits.Linger.
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

// sendBatch sends one request and delivers its outcomes.
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
	var retry, copied []*entry
	var callbacks []func()
	for i, e := range batch {
		delete(s.sending, e)
		if results[i].State == Unavailable {
			retry = append(retry, e)
			s.hasAbandoned = s.hasAbandoned || e.abandoned
			continue
		}
		if e.record.Kind == KindOpen && s.opens[e.record.key()] == e {
			delete(s.opens, e.record.key())
		}
		if len(e.holders) > 0 || e.copying {
			copied = append(copied, e)
		}
		if e.onOutcome != nil {
			callbacks = append(callbacks, e.onOutcome)
		}
		e.done <- results[i]
	}
	s.queue = append(retry, s.queue...)
	s.updateBackoff(len(retry) == 0)
	s.mu.Unlock()
	s.ledger.copier.releaseCopies(copied)
	for _, callback := range callbacks {
		callback()
	}
}

// updateBackoff updates the failure count and the backoff after a request.
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

func (s *sender) pending() (records, uncopiedBills int) {
	s.forEachPending(func(e *entry) {
		records++
		if e.record.Kind == KindClose && len(e.holders) < requiredCopies {
			uncopiedBills++
		}
	})
	return records, uncopiedBills
}
