package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Keeper commits records to the shards that this instance is responsible for.
// It accepts records of any shard: senders choose the keeper to ask, and the
// log itself fences keepers that write the same shard.
type Keeper struct {
	store    Store
	self     Origin
	members  *board.Section[board.Members]
	clock    clockwork.Clock
	rng      *rand.Rand
	rngLock  sync.Mutex
	interval time.Duration
	// storeTimeout limits the time that one batch spends on the store.
	storeTimeout   time.Duration
	retention      Retention
	rollupInterval time.Duration
	rollupBytes    int
	shards         [ShardCount]*shard
	keeperTable    keeperTable
	draining       chan struct{}
	drainOnce      sync.Once
}

// KeeperOption configures a Keeper.
type KeeperOption func(*Keeper)

// WithKeeperClock sets the clock.
func WithKeeperClock(c clockwork.Clock) KeeperOption { return func(k *Keeper) { k.clock = c } }

// WithKeeperRand sets the random source of the backoff.
func WithKeeperRand(r *rand.Rand) KeeperOption { return func(k *Keeper) { k.rng = r } }

// WithCommitInterval sets the minimum time between two commits of one shard.
func WithCommitInterval(d time.Duration) KeeperOption { return func(k *Keeper) { k.interval = d } }

// WithRetention sets how long the ledger remembers bills and claims.
func WithRetention(r Retention) KeeperOption { return func(k *Keeper) { k.retention = r } }

// WithRollup sets the interval between roll-ups and the size of the chunks, in
// bytes, that triggers one earlier.
func WithRollup(interval time.Duration, bytes int) KeeperOption {
	return func(k *Keeper) { k.rollupInterval, k.rollupBytes = interval, bytes }
}

// Defaults of the keeper.
const (
	// DefaultCommitInterval limits the rate of store writes: 12 shards with one
	// commit every 70 ms make at most 171 writes per second.
	DefaultCommitInterval = 70 * time.Millisecond
	defaultStoreTimeout   = 4 * time.Second
	defaultRollupInterval = 30 * time.Second
	defaultRollupBytes    = 4 << 20
	// idleTimeout is the time after which a shard that receives no requests is
	// unloaded.
	idleTimeout = 5 * time.Minute
	// housekeepingInterval is the time between two housekeeping passes over the
	// shards.
	housekeepingInterval = 5 * time.Second
)

// DefaultRetention returns the retention that instances use.
func DefaultRetention() Retention {
	return Retention{
		Bills:        15 * time.Minute,
		Claims:       24 * time.Hour,
		MaxClockSkew: time.Minute,
		MaxOpenAge:   12 * time.Minute,
		OrphanDelay:  2 * time.Minute,
	}
}

// NewKeeper returns a keeper that writes to the given store. The members
// section determines which shards this instance keeps and which instances have
// left.
func NewKeeper(store Store, self Origin, members *board.Section[board.Members], opts ...KeeperOption) *Keeper {
	k := &Keeper{
		store:          store,
		self:           self,
		members:        members,
		clock:          clockwork.NewRealClock(),
		rng:            rand.New(rand.NewPCG(self.Generation, 1)),
		interval:       DefaultCommitInterval,
		storeTimeout:   defaultStoreTimeout,
		retention:      DefaultRetention(),
		rollupInterval: defaultRollupInterval,
		rollupBytes:    defaultRollupBytes,
		draining:       make(chan struct{}),
	}
	for _, opt := range opts {
		opt(k)
	}
	for i := range k.shards {
		k.shards[i] = newShard(i, k)
	}
	return k
}

// Handle commits the records of a request and returns their outcomes. A
// draining keeper returns an empty response, so that the sender turns to the
// next keeper.
func (k *Keeper) Handle(ctx context.Context, req Request) Response {
	select {
	case <-k.draining:
		return Response{}
	default:
	}
	if req.Shard < 0 || req.Shard >= ShardCount {
		return Response{Outcomes: allUnavailable(len(req.Records))}
	}
	return Response{Outcomes: k.shards[req.Shard].submit(ctx, req.Records)}
}

// allUnavailable returns n outcomes in the state Unavailable.
func allUnavailable(n int) []Outcome {
	out := make([]Outcome, n)
	for i := range out {
		out[i].State = Unavailable
	}
	return out
}

// Drain rejects new records and waits until those already accepted are
// answered. Senders continue with the next keeper.
func (k *Keeper) Drain(ctx context.Context) error {
	k.drainOnce.Do(func() { close(k.draining) })
	for _, s := range k.shards {
		if err := s.drain(ctx); err != nil {
			return fmt.Errorf("drain shard %d: %w", s.number, err)
		}
	}
	return nil
}

// Run calls Housekeep periodically until ctx ends or the keeper drains.
func (k *Keeper) Run(ctx context.Context) {
	ticker := k.clock.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.draining:
			return
		case <-ticker.Chan():
			k.Housekeep(ctx)
		}
	}
}

// Housekeep settles orphaned bills, rolls up chunks and unloads shards that
// have moved to other keepers.
func (k *Keeper) Housekeep(ctx context.Context) {
	members := k.members.Get()
	if members == nil {
		return
	}
	for _, s := range k.shards {
		keeper, ok := k.keeperTable.keeperOf(s.number, k.members, k.clock.Now())
		s.housekeep(ctx, ok && keeper.Name == k.self.Instance, members)
	}
}

// storeContext returns a context for one batch of store operations. It is
// cancelled after storeTimeout.
func (k *Keeper) storeContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	timer := k.clock.AfterFunc(k.storeTimeout, cancel)
	return ctx, func() { timer.Stop(); cancel() }
}

// backoff returns the pause before the given attempt: 50 ms doubled with every
// attempt, at most 800 ms, with a jitter of half of that up or down.
func (k *Keeper) backoff(attempt int) time.Duration {
	k.rngLock.Lock()
	defer k.rngLock.Unlock()
	full := 50 * time.Millisecond << min(attempt, 4)
	return full/2 + time.Duration(k.rng.Int64N(int64(full)))
}
