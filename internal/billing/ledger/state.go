package ledger

import "time"

// Retention configures how long a shard remembers bills and claims, and when it
// settles open bills.
type Retention struct {
	// Bills is how long a closed bill is remembered if an instance generated
	// its ID.
	Bills time.Duration
	// Claims is how long claims, closed bills with IDs supplied by callers,
	// settled bills and record numbers are remembered.
	Claims time.Duration
	// MaxClockSkew is the maximum difference between the clocks of two
	// instances.
	MaxClockSkew time.Duration
	// MaxOpenAge is the age at which an open bill is settled although its
	// instance is still a member.
	MaxOpenAge time.Duration
	// OrphanDelay is the minimum age at which an open bill is settled if its
	// instance has disappeared.
	OrphanDelay time.Duration
}

// state is the result of applying a shard's log up to the sequence before
// nextSequence.
type state struct {
	retention    Retention
	nextSequence uint64
	totals       map[totalKey]*Total
	origins      map[Origin]*numberSet
	open         map[string]*Bill
	settled      map[string]*Bill
	closed       *closedSet
	keyed        *closedSet
	// claims holds the recent claims, packed the older ones.
	claims map[string]*claimEntry
	packed *packedClaims
}

func newState(r Retention) *state {
	return &state{
		retention:    r,
		nextSequence: 1,
		totals:       map[totalKey]*Total{},
		origins:      map[Origin]*numberSet{},
		open:         map[string]*Bill{},
		settled:      map[string]*Bill{},
		closed:       newClosedSet(r.Bills / minClosedPages),
		keyed:        newClosedSet(r.Claims / minClosedPages),
		claims:       map[string]*claimEntry{},
		packed:       newPackedClaims(),
	}
}

// decide returns the outcome of a record and whether to write it. It may
// replace the record by the one that is to be written.
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

// apply applies a committed record of a chunk written at the given time.
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

// rememberClosed remembers the ID of a closed bill, in its claim if there is
// one and otherwise in one of the closed sets.
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

// recordNumber remembers a record's number, so that repeats of the record are
// recognised.
func (s *state) recordNumber(r *Record, at time.Time) {
	n := s.origins[r.Origin]
	if n == nil {
		n = &numberSet{Origin: r.Origin}
		s.origins[r.Origin] = n
	}
	n.add(r.Number)
	n.At = at
}

// addToTotal adds a bill to its total, or subtracts it if sign is -1.
func (s *state) addToTotal(b *Bill, sign int) {
	k := b.totalKey()
	t := s.totals[k]
	if t == nil {
		t = new(Total)
		s.totals[k] = t
	}
	t.add(b, sign)
}

// applyChunk applies the next chunk of the log.
func (s *state) applyChunk(c *Chunk) {
	for i := range c.Records {
		s.apply(&c.Records[i], c.At)
	}
	s.nextSequence = c.Sequence + 1
}

// expire removes what is older than the retention periods.
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

// orphanSettlements returns the settlements that are due: of bills whose
// instance has disappeared, and of bills that have been open for longer than
// any request can last.
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
