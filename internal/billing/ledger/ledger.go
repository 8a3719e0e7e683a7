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

// Peers sends requests to other instances.
type Peers interface {
	// SendRecords sends records to the keeper of their shard.
	SendRecords(ctx context.Context, to board.Member, req Request) (Response, error)
	// SendCopies sends copies to a peer and returns how many of the records it
	// holds.
	SendCopies(ctx context.Context, to board.Member, req CopyRequest) (held int, err error)
}

// Ledger is an instance's client of the ledger. It sends records to the keepers
// of their shards and repeats them until they are committed.
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

// Limits configures the timeouts, delays and sizes of a Ledger.
type Limits struct {
	// SendTimeout is the timeout of one request to a keeper.
	SendTimeout time.Duration
	// ClaimTimeout is the time after which an undecided claim is given up.
	ClaimTimeout time.Duration
	// CopyDelay is the time after which a bill that is not committed is copied
	// to peers.
	CopyDelay time.Duration
	// Linger is how long an opening record is delayed so that others can join
	// its batch.
	Linger time.Duration
	// MaxAnswerBytes limits the size of the answers that are stored for
	// repeated requests. Larger ones are not stored.
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

// Option configures a Ledger.
type Option func(*Ledger)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(l *Ledger) { l.clock = c } }

// WithRand sets the random source of the backoff and the nonces.
func WithRand(r *rand.Rand) Option { return func(l *Ledger) { l.rng = r } }

// WithLimits sets the limits.
func WithLimits(limits Limits) Option { return func(l *Ledger) { l.limits = limits } }

// New returns the ledger client of the instance self. Requests to the
// instance's own keeper are passed on without a message.
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

// Open records that a request has started. It does not block. Losing an opening
// record has no effect unless this instance also disappears before it closes
// the bill; the request is then not billed.
func (l *Ledger) Open(b Bill) {
	b.State, b.Instance = BillOpen, l.self.Instance
	if b.OpenedAt.IsZero() {
		b.OpenedAt = l.clock.Now()
	}
	l.senderFor(b.Customer, b.ID).open(Record{Kind: KindOpen, Origin: l.self, At: b.OpenedAt, Bill: &b})
}

// CloseResult reports where a closed bill is stored.
type CloseResult struct {
	// Committed reports whether the bill is in the store.
	Committed bool
	// Duplicate reports whether the ID had already been billed, in which case
	// this bill is discarded.
	Duplicate bool
	// Holders are the peers that hold a copy, if the bill is not committed yet.
	Holders []string
}

// Close closes a bill. It returns once the bill is in the store or, if the
// store is unavailable, once two peers hold a copy. An *UnbilledError that is
// not Expired means that ctx ended before either; the ledger continues to send
// the bill until it is committed.
func (l *Ledger) Close(ctx context.Context, b Bill) (CloseResult, error) {
	now := l.clock.Now()
	b.State, b.Instance, b.ClosedAt = BillClosed, l.self.Instance, now
	b.Keyed = b.Keyed || !isGeneratedID(b.ID)
	if b.OpenedAt.IsZero() {
		b.OpenedAt = now
	}
	s := l.senderFor(b.Customer, b.ID)
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

// isGeneratedID reports whether an ID has the form of those that instances
// generate. Such an ID cannot arrive a second time.
func isGeneratedID(id string) bool {
	parsed, err := uuid.Parse(id)
	return err == nil && parsed.Version() == generatedIDVersion
}

// generatedIDVersion is the version of the UUIDs that instances generate.
const generatedIDVersion = 7

func closeResult(b Bill, o Outcome) (CloseResult, error) {
	if o.State == Expired {
		return CloseResult{}, &UnbilledError{ID: b.ID, Expired: true}
	}
	return CloseResult{Committed: true, Duplicate: o.State == Duplicate}, nil
}

// UnbilledError reports a bill that exists only in this instance's memory or,
// if Expired is set, one that arrived after the retention period and was
// rejected.
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
	// ClaimGranted allows the request to be executed.
	ClaimGranted ClaimState = "Granted"
	// ClaimDuplicate means that the ID has already been claimed.
	ClaimDuplicate ClaimState = "Duplicate"
	// ClaimMismatch means that the ID has already been claimed with a different
	// body.
	ClaimMismatch ClaimState = "Mismatch"
)

// ClaimResult is the decision on a claim.
type ClaimResult struct {
	State ClaimState
	// Ticket is set on ClaimGranted and must be passed to Finish.
	Ticket Ticket
	// Existing is set on ClaimDuplicate and describes the first request.
	Existing ExistingClaim
}

// Ticket is the permission to execute a claimed request once.
type Ticket struct{ claim Claim }

// ClaimError reports a claim that could not be decided. The caller must refuse
// the request, which has not been executed.
type ClaimError struct {
	ID    string
	State OutcomeState
	Err   error
}

func (e *ClaimError) Error() string {
	return fmt.Sprintf("claim of %s is not decided: %s", e.ID, e.State)
}

func (e *ClaimError) Unwrap() error { return e.Err }

// Claim reserves the single execution of a non-idempotent request. ClaimGranted
// means that the claim is in the store. After an error the claim is given up,
// so the caller may retry with the same ID.
func (l *Ledger) Claim(ctx context.Context, id, customer string, bodyHash uint64) (ClaimResult, error) {
	c := Claim{ID: id, Customer: customer, BodyHash: bodyHash, Nonce: l.nonce()}
	s := l.senderFor(customer, id)
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

// Finish records the result of an execution that a ticket allowed. It does not
// block. The outcome NotRun frees the ID for another claim.
func (l *Ledger) Finish(t Ticket, outcome call.RunState, answer []byte) {
	if t.claim.Nonce == "" {
		return
	}
	if len(answer) > l.limits.MaxAnswerBytes {
		claims.Add("AnswerTooLarge", 1)
		answer = nil
	}
	f := Finish{ID: t.claim.ID, Customer: t.claim.Customer, Nonce: t.claim.Nonce, Outcome: outcome, Answer: answer}
	l.senderFor(f.Customer, f.ID).enqueue(&entry{
		record: Record{Kind: KindFinish, Origin: l.self, At: l.clock.Now(), Finish: &f},
		done:   make(chan Outcome, 1),
	})
}

// Pending returns the number of records that are not committed yet and how many
// of them are closed bills with too few copies.
func (l *Ledger) Pending() (records, uncopiedBills int) {
	for _, s := range l.senders {
		r, u := s.pending()
		records, uncopiedBills = records+r, uncopiedBills+u
	}
	return records, uncopiedBills
}

const flushPollInterval = 20 * time.Millisecond

// Flush waits until every record is committed or, if the store is unavailable,
// until every closed bill has enough copies. A graceful shutdown calls it after
// the last request.
func (l *Ledger) Flush(ctx context.Context) error {
	for {
		records, uncopiedBills := l.Pending()
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
		if out && uncopiedBills == 0 && l.copier.isIdle() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d records are not committed, %d of them without copies: %w", records, uncopiedBills, ctx.Err())
		case <-l.clock.After(flushPollInterval):
		}
	}
}

// Stop stops sending records. Call Flush first.
func (l *Ledger) Stop() { l.stopped.Store(true) }

func (l *Ledger) senderFor(customer, id string) *sender { return l.senders[ShardOf(customer, id)] }

func (l *Ledger) nonce() string {
	l.rngLock.Lock()
	defer l.rngLock.Unlock()
	return fmt.Sprintf("%s/%d/%016x", l.self.Instance, l.self.Generation, l.rng.Uint64())
}

// jitter returns a random duration between d/2 and 3d/2.
func (l *Ledger) jitter(d time.Duration) time.Duration {
	l.rngLock.Lock()
	defer l.rngLock.Unlock()
	return d/2 + time.Duration(l.rng.Int64N(int64(d)))
}
