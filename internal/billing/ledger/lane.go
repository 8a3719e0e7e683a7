package ledger

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// laneBatch is the most records of one request to a keeper.
	laneBatch = 500
	// laneFlights is how many requests to one keeper are under way at once, so
	// that a record need not wait for another one's commit.
	laneFlights = 32
	// laneGather is how long a record that a caller waits for gathers company.
	laneGather = 3 * time.Millisecond
	// laneOpens is how many opening records may wait; further ones are dropped.
	laneOpens = 10_000
	// outAfter is how many requests in a row must fail before the shard counts
	// as out of reach.
	outAfter   = 2
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// entry is one record on its way to a keeper.
type entry struct {
	record Record
	done   chan Outcome
	queued time.Time
	// sent says that it may have reached a keeper.
	sent      bool
	abandoned bool
	// holders hold copies; copying says that more are being sought.
	holders []string
	copying bool
	// settled is called, if set, once there is an outcome.
	settled func()
}

// lane sends the records of one shard to its keeper, again and again until
// each has an outcome.
type lane struct {
	ledger *Ledger
	shard  int

	mu      sync.Mutex
	number  uint64
	queue   []*entry
	opens   map[string]*entry
	waiting map[*entry]bool // under way
	flights int
	// dropped says that the queue may hold abandoned entries.
	dropped bool
	fails   int
	next    time.Time
	backoff time.Duration
	timer   clockwork.Timer
}

func (ln *lane) open(r Record) {
	ln.mu.Lock()
	if len(ln.opens) >= laneOpens {
		ln.mu.Unlock()
		sends.Add("OpenDropped", 1)
		return
	}
	e := &entry{record: r, done: make(chan Outcome, 1)}
	ln.opens[r.key()] = e
	ln.mu.Unlock()
	ln.send(e)
}

// close numbers and sends a closing record. An opening record that is still
// here is not needed any more.
func (ln *lane) close(r Record) *entry {
	ln.mu.Lock()
	ln.number++
	r.Number = ln.number
	if e := ln.opens[r.key()]; e != nil {
		ln.drop(e)
		delete(ln.opens, r.key())
	}
	ln.mu.Unlock()
	e := &entry{record: r, done: make(chan Outcome, 1)}
	ln.send(e)
	return e
}

// claim sends a claim, or returns nil while the shard is out of reach and it
// is not yet time to try again.
func (ln *lane) claim(r Record) *entry {
	ln.mu.Lock()
	refuse := ln.fails >= outAfter && ln.ledger.clock.Now().Before(ln.next)
	ln.mu.Unlock()
	if refuse {
		return nil
	}
	e := &entry{record: r, done: make(chan Outcome, 1)}
	ln.send(e)
	return e
}

// abandon takes a claim out; it reports whether it may have reached a keeper.
func (ln *lane) abandon(e *entry) bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.drop(e)
	return e.sent
}

// drop marks an entry that needs no outcome any more.
func (ln *lane) drop(e *entry) {
	e.abandoned = true
	ln.dropped = true
}

func (ln *lane) send(e *entry) {
	ln.mu.Lock()
	e.queued = ln.ledger.clock.Now()
	ln.queue = append(ln.queue, e)
	ln.mu.Unlock()
	ln.pump()
}

// pump starts a request if there is something to send and it is time.
func (ln *lane) pump() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.compact()
	flights := laneFlights
	if ln.fails > 0 {
		flights = 1
	}
	if len(ln.queue) == 0 || ln.flights >= flights || ln.ledger.stopped.Load() {
		return
	}
	now := ln.ledger.clock.Now()
	if at := ln.due(); now.Before(at) {
		ln.wake(at.Sub(now))
		return
	}
	n := min(len(ln.queue), laneBatch)
	if ln.fails >= outAfter {
		n = 1 // a probe
	}
	batch := append([]*entry(nil), ln.queue[:n]...)
	ln.queue = append([]*entry(nil), ln.queue[n:]...)
	for _, e := range batch {
		e.sent = true
		ln.fly(e)
	}
	ln.flights++
	go ln.carry(batch)
}

// compact drops abandoned entries from the queue.
func (ln *lane) compact() {
	if !ln.dropped {
		return
	}
	ln.dropped = false
	kept := ln.queue[:0]
	for _, e := range ln.queue {
		if !e.abandoned {
			kept = append(kept, e)
		}
	}
	clear(ln.queue[len(kept):])
	ln.queue = kept
}

// due returns when the next request may start: after the back-off, and at once
// only if something waits that a caller waits for.
func (ln *lane) due() time.Time {
	if ln.fails > 0 {
		return ln.next
	}
	for _, e := range ln.queue {
		if e.record.Kind != KindOpen {
			return e.queued.Add(laneGather)
		}
	}
	return ln.queue[0].queued.Add(ln.ledger.limits.Linger)
}

func (ln *lane) wake(after time.Duration) {
	if ln.timer == nil {
		ln.timer = ln.ledger.clock.AfterFunc(after, ln.pump)
		return
	}
	ln.timer.Reset(after)
}

func (ln *lane) fly(e *entry) {
	if ln.waiting == nil {
		ln.waiting = map[*entry]bool{}
	}
	ln.waiting[e] = true
}

// carry makes one request and deals out its outcomes.
func (ln *lane) carry(batch []*entry) {
	l := ln.ledger
	records := make([]Record, len(batch))
	for i, e := range batch {
		records[i] = e.record
	}
	results, err := l.ask(Request{From: l.self, Shard: ln.shard, Records: records})
	if err != nil || len(results) != len(batch) {
		results = unavailable(len(batch))
	}
	ln.settle(batch, results)
	ln.pump()
}

func (ln *lane) settle(batch []*entry, results []Outcome) {
	ln.mu.Lock()
	ln.flights--
	var again, freed []*entry
	var calls []func()
	for i, e := range batch {
		delete(ln.waiting, e)
		if results[i].State == Unavailable {
			again = append(again, e)
			ln.dropped = ln.dropped || e.abandoned
			continue
		}
		if e.record.Kind == KindOpen && ln.opens[e.record.key()] == e {
			delete(ln.opens, e.record.key())
		}
		if len(e.holders) > 0 || e.copying {
			freed = append(freed, e)
		}
		if e.settled != nil {
			calls = append(calls, e.settled)
		}
		e.done <- results[i]
	}
	ln.queue = append(again, ln.queue...)
	ln.note(len(again) == 0)
	ln.mu.Unlock()
	ln.ledger.copier.settled(freed)
	for _, call := range calls {
		call()
	}
}

// note keeps the back-off.
func (ln *lane) note(ok bool) {
	if ok {
		ln.fails, ln.backoff = 0, 0
		sends.Add("Answered", 1)
		return
	}
	sends.Add("Unavailable", 1)
	ln.fails++
	ln.backoff = min(max(2*ln.backoff, minBackoff), maxBackoff)
	ln.next = ln.ledger.clock.Now().Add(ln.ledger.jitter(ln.backoff))
}

func (ln *lane) isOut() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.fails >= outAfter
}

// each calls f for every entry without an outcome.
func (ln *lane) each(f func(*entry)) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	for e := range ln.waiting {
		f(e)
	}
	for _, e := range ln.queue {
		if !e.abandoned {
			f(e)
		}
	}
}

func (ln *lane) pending() (records, unsafe int) {
	ln.each(func(e *entry) {
		records++
		if e.record.Kind == KindClose && len(e.holders) < wantedHolders {
			unsafe++
		}
	})
	return records, unsafe
}
