package ledger

import "time"

// Retention are how long a shard remembers.
type Retention struct {
	// Bills is how long the closed bill of an ID made by an instance is known.
	Bills time.Duration
	// Claims is how long claims, closed bills of IDs named by callers, settled
	// bills and record numbers are kept.
	Claims time.Duration
	// MaxClockSkew is the greatest difference of the instances' clocks.
	MaxClockSkew time.Duration
	// MaxOpenAge is when a bill that is still open is settled.
	MaxOpenAge time.Duration
	// OrphanDelay is when an open bill is settled whose instance is gone.
	OrphanDelay time.Duration
}

// state is a shard's log folded up to the sequence before next.
type state struct {
	retention    Retention
	nextSequence uint64
	totals       map[totalKey]*Total
	origins      map[Origin]*numberSet
	open         map[string]*Bill
	settled      map[string]*Bill
	closed       *closedSet
	keyed        *closedSet
	// claims are the recent claims, packed the older ones.
	claims map[string]*claimEntry
	packed *packedClaims
}

func newState(w Retention) *state {
	return &state{
		retention:    w,
		nextSequence: 1,
		totals:       map[totalKey]*Total{},
		origins:      map[Origin]*numberSet{},
		open:         map[string]*Bill{},
		settled:      map[string]*Bill{},
		closed:       newClosedSet(w.Bills / minClosedPages),
		keyed:        newClosedSet(w.Claims / minClosedPages),
		claims:       map[string]*claimEntry{},
		packed:       newPackedClaims(),
	}
}

// decide says what becomes of a record. The record is written only if the
// second result is set; it may have been changed to what is to be written.
func (s *state) decide(r *Record, now time.Time) (Outcome, bool) {
	switch r.Kind {
	case KindOpen:
		return s.decideOpen(r, now)
	case KindClose:
		return s.decideClose(r, now)
	case KindClaim:
		return s.decideClaim(r, now)
	case KindFinish:
		return s.decideFinish(r, now)
	}
	return Outcome{State: Expired}, false
}

func (s *state) decideOpen(r *Record, now time.Time) (Outcome, bool) {
	if now.Sub(r.At) > s.retention.Bills-s.retention.MaxClockSkew {
		return Outcome{State: Expired}, false
	}
	key := r.key()
	known := s.open[key] != nil || s.settled[key] != nil || s.isClosed(key)
	return Outcome{State: Committed}, !known
}

func (s *state) decideClose(r *Record, now time.Time) (Outcome, bool) {
	if n := s.origins[r.Origin]; n != nil && n.contains(r.Number) {
		return Outcome{State: Committed}, false
	}
	if now.Sub(r.At) > s.retention.Claims-s.retention.MaxClockSkew || now.Sub(r.Bill.OpenedAt) > s.retention.Claims-s.retention.MaxClockSkew {
		return Outcome{State: Expired}, false
	}
	if s.isClosed(r.key()) {
		r.Kind, r.Bill = KindSkip, nil
		return Outcome{State: Duplicate}, true
	}
	return Outcome{State: Committed}, true
}

// apply folds a committed record into the state.
func (s *state) apply(r *Record, at time.Time) {
	key := r.key()
	switch r.Kind {
	case KindOpen:
		s.open[key] = r.Bill
	case KindClose:
		s.recordNumber(r, at)
		if old := s.settled[key]; old != nil {
			s.addToTotal(old, -1)
			delete(s.settled, key)
		}
		delete(s.open, key)
		s.addToTotal(r.Bill, 1)
		s.rememberClosed(r.Bill, key)
	case KindSkip:
		s.recordNumber(r, at)
	case KindSettle:
		delete(s.open, key)
		s.settled[key] = r.Bill
		s.addToTotal(r.Bill, 1)
	case KindClaim:
		s.applyClaim(r)
	case KindFinish:
		s.applyFinish(r)
	}
}

func (s *state) isClosed(key string) bool {
	d := digestOf(key)
	if c := s.claims[key]; c != nil && c.Billed {
		return true
	}
	return s.closed.contains(d) || s.keyed.contains(d) || s.packed.isBilled(d)
}

// rememberClosed keeps the ID of a closed bill, in its claim if it has one.
func (s *state) rememberClosed(b *Bill, key string) {
	switch c := s.claims[key]; {
	case c != nil:
		c.Billed = true
	case s.packed.markBilled(digestOf(key)):
	case b.Keyed:
		s.keyed.add(digestOf(key))
	default:
		s.closed.add(digestOf(key))
	}
}

func (s *state) recordNumber(r *Record, at time.Time) {
	n := s.origins[r.Origin]
	if n == nil {
		n = &numberSet{Origin: r.Origin}
		s.origins[r.Origin] = n
	}
	n.add(r.Number)
	n.At = at
}

func (s *state) addToTotal(b *Bill, sign int) {
	k := b.totalKey()
	t := s.totals[k]
	if t == nil {
		t = new(Total)
		s.totals[k] = t
	}
	t.add(b, sign)
}

// applyChunk folds the next chunk of the log.
func (s *state) applyChunk(c *Chunk) {
	for i := range c.Records {
		s.apply(&c.Records[i], c.At)
	}
	s.nextSequence = c.Sequence + 1
}

// expire forgets what is older than the windows.
func (s *state) expire(now time.Time) {
	keep := s.retention.Claims + s.retention.MaxClockSkew
	for o, n := range s.origins {
		if now.Sub(n.At) > keep {
			delete(s.origins, o)
		}
	}
	for key, b := range s.settled {
		if now.Sub(b.ClosedAt) > keep {
			delete(s.settled, key)
		}
	}
	s.packed.expire(bucketOf(now.Add(-keep)))
	s.closed.expire(now.Add(-s.retention.Bills - s.retention.MaxClockSkew))
	s.keyed.expire(now.Add(-keep))
}

// orphanSettlements returns the settlements that are due: bills whose instance is gone,
// and bills open for longer than any request lasts.
func (s *state) orphanSettlements(now time.Time, alive func(instance string) bool) []Record {
	var out []Record
	for _, b := range s.open {
		age := now.Sub(b.OpenedAt)
		if age < s.retention.OrphanDelay || age < s.retention.MaxOpenAge && alive(b.Instance) {
			continue
		}
		settled := *b
		settled.State, settled.ClosedAt = BillSettled, now
		out = append(out, Record{Kind: KindSettle, At: now, Bill: &settled})
	}
	return out
}
