package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// Peers sends records to other instances.
type Peers interface {
	SendRecords(ctx context.Context, to board.Member, req Request) (Response, error)
	// SendCopies returns how many of the records the peer holds.
	SendCopies(ctx context.Context, to board.Member, req CopyRequest) (held int, err error)
}

// Ledger is an instance's way to the ledger: it sends records to the keepers
// of their shards until they are committed.
type Ledger struct {
	self        Origin
	members     *board.Section[board.Members]
	peers       Peers
	keeper      *Keeper
	clock       clockwork.Clock
	limits      Limits
	senders     [ShardCount]*sender
	copier      *copier
	keeperTable keeperTable
	stopped     atomic.Bool

	rngLock sync.Mutex
	rng     *rand.Rand
}

// Limits bound how long the ledger makes a request wait.
type Limits struct {
	// SendTimeout bounds one request to a keeper.
	SendTimeout time.Duration
	// ClaimTimeout bounds a claim; it is then given up.
	ClaimTimeout time.Duration
	// CopyDelay is when a bill that is not committed is copied to peers.
	CopyDelay time.Duration
	// Linger is how long an opening record waits for company.
	Linger time.Duration
	// MaxAnswerBytes bounds the answer that is kept for repeats of a claim.
	MaxAnswerBytes int
}

// DefaultLimits returns the limits that instances use.
func DefaultLimits() Limits {
	return Limits{
		SendTimeout:    2 * time.Second,
		ClaimTimeout:   2 * time.Second,
		CopyDelay:      500 * time.Millisecond,
		Linger:         250 * time.Millisecond,
		MaxAnswerBytes: 4 << 10,
	}
}

// Option changes a Ledger.
type Option func(*Ledger)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(l *Ledger) { l.clock = c } }

// WithRand sets the random source of back-off and nonces.
func WithRand(r *rand.Rand) Option { return func(l *Ledger) { l.rng = r } }

// WithLimits sets the limits.
func WithLimits(limits Limits) Option { return func(l *Ledger) { l.limits = limits } }

// New returns the ledger of the instance self, whose own keeper is asked
// without a message.
func New(self Origin, members *board.Section[board.Members], peers Peers, keeper *Keeper, opts ...Option) *Ledger {
	l := &Ledger{
		self: self, members: members, peers: peers, keeper: keeper,
		clock:  clockwork.NewRealClock(),
		rng:    rand.New(rand.NewPCG(self.Generation, 2)),
		limits: DefaultLimits(),
	}
	for _, opt := range opts {
		opt(l)
	}
	for i := range l.senders {
		l.senders[i] = &sender{ledger: l, shard: i, opens: map[string]*entry{}}
	}
	l.copier = newCopier(l)
	return l
}

// Open records that a request began, beside the request. A lost opening record
// costs nothing unless this instance is lost too.
func (l *Ledger) Open(b Bill) {
	b.State, b.Instance = BillOpen, l.self.Instance
	if b.OpenedAt.IsZero() {
		b.OpenedAt = l.clock.Now()
	}
	l.sender(b.Customer, b.ID).open(Record{Kind: KindOpen, Origin: l.self, At: b.OpenedAt, Bill: &b})
}

// CloseResult says where a closed bill is kept.
type CloseResult struct {
	// Committed says that it is in the store.
	Committed bool
	// Duplicate says that the ID had been billed before; it is billed once.
	Duplicate bool
	// Holders are the peers that hold copies while the store is out.
	Holders []string
}

// Close closes a bill. It returns once the bill is in the store or, when the
// store is out, once two peers hold copies. An *UnbilledError says that ctx
// ended before either; the bill is still sent until it is committed.
func (l *Ledger) Close(ctx context.Context, b Bill) (CloseResult, error) {
	now := l.clock.Now()
	b.State, b.Instance, b.ClosedAt = BillClosed, l.self.Instance, now
	b.Keyed = b.Keyed || !isGeneratedID(b.ID)
	if b.OpenedAt.IsZero() {
		b.OpenedAt = now
	}
	s := l.sender(b.Customer, b.ID)
	e := s.close(Record{Kind: KindClose, Origin: l.self, At: now, Bill: &b})
	if !s.isUnreachable() {
		select {
		case o := <-e.done:
			return closeResult(b, o)
		case <-ctx.Done():
			return CloseResult{}, &UnbilledError{ID: b.ID, Err: ctx.Err()}
		case <-l.clock.After(l.limits.CopyDelay):
		}
	}
	held := l.copier.copyEntry(e)
	select {
	case o := <-e.done:
		return closeResult(b, o)
	case holders := <-held:
		return CloseResult{Holders: holders}, nil
	case <-ctx.Done():
		return CloseResult{}, &UnbilledError{ID: b.ID, Err: ctx.Err()}
	}
}

// isGeneratedID reports whether an ID has the form that instances make, which
// cannot arrive twice.
func isGeneratedID(id string) bool {
	parsed, err := uuid.Parse(id)
	return err == nil && parsed.Version() == generatedIDVersion
}

// generatedIDVersion is the version of the UUIDs that instances make.
const generatedIDVersion = 7

func closeResult(b Bill, o Outcome) (CloseResult, error) {
	if o.State == Expired {
		return CloseResult{}, &UnbilledError{ID: b.ID, Expired: true}
	}
	return CloseResult{Committed: true, Duplicate: o.State == Duplicate}, nil
}

// UnbilledError reports a bill that is kept in this instance's memory only,
// or, if Expired, one that came later than the ledger remembers.
type UnbilledError struct {
	ID      string
	Expired bool
	Err     error
}

func (e *UnbilledError) Error() string {
	if e.Expired {
		return fmt.Sprintf("bill %s is older than the ledger remembers", e.ID)
	}
	return fmt.Sprintf("bill %s is neither committed nor copied: %v", e.ID, e.Err)
}

func (e *UnbilledError) Unwrap() error { return e.Err }

// ClaimState is the result of a claim.
type ClaimState string

// The results of a claim.
const (
	// ClaimGranted allows the one run.
	ClaimGranted ClaimState = "Granted"
	// ClaimDuplicate says that the ID was claimed before.
	ClaimDuplicate ClaimState = "Duplicate"
	// ClaimMismatch says that it was claimed before with another body.
	ClaimMismatch ClaimState = "Mismatch"
)

// ClaimResult answers a claim.
type ClaimResult struct {
	State ClaimState
	// Ticket is to be handed to Finish, when granted.
	Ticket Ticket
	// Existing is set on ClaimDuplicate.
	Existing ExistingClaim
}

// Ticket is the right to one run.
type Ticket struct{ claim Claim }

// ClaimError reports a claim that was not decided. The request must be
// refused; nothing ran.
type ClaimError struct {
	ID    string
	State OutcomeState
	Err   error
}

func (e *ClaimError) Error() string {
	return fmt.Sprintf("claim of %s is not decided: %s", e.ID, e.State)
}

func (e *ClaimError) Unwrap() error { return e.Err }

// Claim reserves the one run of a non-idempotent request. Granted means that
// the claim is in the store. After an error the claim is given up, so that the
// caller may come again with the same ID.
func (l *Ledger) Claim(ctx context.Context, id, customer string, bodyHash uint64) (ClaimResult, error) {
	c := Claim{ID: id, Customer: customer, BodyHash: bodyHash, Nonce: l.nonce()}
	s := l.sender(customer, id)
	e := s.claim(Record{Kind: KindClaim, Origin: l.self, At: l.clock.Now(), Claim: &c})
	if e == nil {
		claims.Add("StoreOut", 1)
		return ClaimResult{}, &ClaimError{ID: id, State: Unavailable}
	}
	var o Outcome
	var err error
	select {
	case o = <-e.done:
	case <-ctx.Done():
		o.State, err = Unavailable, ctx.Err()
	case <-l.clock.After(l.limits.ClaimTimeout):
		o.State = Unavailable
	}
	claims.Add(string(o.State), 1)
	switch o.State {
	case Committed:
		return ClaimResult{State: ClaimGranted, Ticket: Ticket{c}}, nil
	case Duplicate:
		return ClaimResult{State: ClaimDuplicate, Existing: *o.Existing}, nil
	case Mismatch:
		return ClaimResult{State: ClaimMismatch}, nil
	}
	if s.abandon(e) {
		l.Finish(Ticket{c}, call.NotRun, nil)
	}
	return ClaimResult{}, &ClaimError{ID: id, State: o.State, Err: err}
}

// Finish records how the run under a ticket ended, beside the request. NotRun
// frees the ID for another claim.
func (l *Ledger) Finish(t Ticket, outcome call.RunState, answer []byte) {
	if t.claim.Nonce == "" {
		return
	}
	if len(answer) > l.limits.MaxAnswerBytes {
		claims.Add("AnswerTooLarge", 1)
		answer = nil
	}
	f := Finish{ID: t.claim.ID, Customer: t.claim.Customer, Nonce: t.claim.Nonce, Outcome: outcome, Answer: answer}
	l.sender(f.Customer, f.ID).enqueue(&entry{
		record: Record{Kind: KindFinish, Origin: l.self, At: l.clock.Now(), Finish: &f},
		done:   make(chan Outcome, 1),
	})
}

// Pending returns how many records are not committed yet, and how many of
// those are bills without copies.
func (l *Ledger) Pending() (records, unsafe int) {
	for _, s := range l.senders {
		r, u := s.pending()
		records, unsafe = records+r, unsafe+u
	}
	return records, unsafe
}

const flushPollInterval = 20 * time.Millisecond

// Flush waits until every record is committed, or every bill has copies at
// peers and the store is out. A planned stop calls it after the last request.
func (l *Ledger) Flush(ctx context.Context) error {
	for {
		records, unsafe := l.Pending()
		if records == 0 {
			return nil
		}
		out := false
		for _, s := range l.senders {
			if s.isUnreachable() {
				out = true
				l.copier.copyAll(s.uncopied())
			}
		}
		if out && unsafe == 0 && l.copier.isIdle() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d records are not committed, %d of them without copies: %w", records, unsafe, ctx.Err())
		case <-l.clock.After(flushPollInterval):
		}
	}
}

// Stop sends nothing any more. Call Flush first.
func (l *Ledger) Stop() { l.stopped.Store(true) }

func (l *Ledger) sender(customer, id string) *sender { return l.senders[ShardOf(customer, id)] }

func (l *Ledger) nonce() string {
	l.rngLock.Lock()
	defer l.rngLock.Unlock()
	return fmt.Sprintf("%s/%d/%016x", l.self.Instance, l.self.Generation, l.rng.Uint64())
}

// jitter returns a time between half and one and a half of d.
func (l *Ledger) jitter(d time.Duration) time.Duration {
	l.rngLock.Lock()
	defer l.rngLock.Unlock()
	return d/2 + time.Duration(l.rng.Int64N(int64(d)))
}
