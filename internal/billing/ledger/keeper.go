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

// Keeper writes the shards that this instance keeps. It takes records of any
// shard, since the log itself keeps two keepers apart; who is asked is decided
// by the senders.
type Keeper struct {
	store    Store
	self     Origin
	members  *board.Section[board.Members]
	clock    clockwork.Clock
	rng      *rand.Rand
	rngLock  sync.Mutex
	interval time.Duration
	// storeTimeout bounds one group's work on the store.
	storeTimeout   time.Duration
	retention      Retention
	rollupInterval time.Duration
	rollupBytes    int
	shards         [ShardCount]*shard
	keeperTable    keeperTable
	draining       chan struct{}
	drainOnce      sync.Once
}

// KeeperOption changes a Keeper.
type KeeperOption func(*Keeper)

// WithKeeperClock sets the clock.
func WithKeeperClock(c clockwork.Clock) KeeperOption { return func(k *Keeper) { k.clock = c } }

// WithKeeperRand sets the random source of the back-off.
func WithKeeperRand(r *rand.Rand) KeeperOption { return func(k *Keeper) { k.rng = r } }

// WithCommitInterval sets the least time between two commits of one shard.
func WithCommitInterval(d time.Duration) KeeperOption { return func(k *Keeper) { k.interval = d } }

// WithRetention sets how long the ledger remembers.
func WithRetention(w Retention) KeeperOption { return func(k *Keeper) { k.retention = w } }

// WithRollup sets how often chunks are rolled up, and after how many bytes.
func WithRollup(every time.Duration, bytes int) KeeperOption {
	return func(k *Keeper) { k.rollupInterval, k.rollupBytes = every, bytes }
}

// Defaults of the keeper.
const (
	// DefaultCommitInterval times Shards bounds the store's writes: 12 shards each
	// 70 ms are 171 writes a second.
	DefaultCommitInterval = 70 * time.Millisecond
	defaultStoreTimeout   = 4 * time.Second
	defaultRollupInterval = 30 * time.Second
	defaultRollupBytes    = 4 << 20
	// idleTimeout is when a shard that nobody asks for is dropped from memory.
	idleTimeout = 5 * time.Minute
	// housekeepingInterval is how often a shard is looked after.
	housekeepingInterval = 5 * time.Second
)

// DefaultRetention returns the windows that instances use.
func DefaultRetention() Retention {
	return Retention{
		Bills:        15 * time.Minute,
		Claims:       24 * time.Hour,
		MaxClockSkew: time.Minute,
		MaxOpenAge:   12 * time.Minute,
		OrphanDelay:  2 * time.Minute,
	}
}

// NewKeeper returns a keeper over the store. It reads the members' section to
// know which shards it keeps and which instances are gone.
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

// Handle answers the records of a request, as the keeper of its shard. A keeper
// that drains answers none, so that the sender turns to the successor.
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

func allUnavailable(n int) []Outcome {
	out := make([]Outcome, n)
	for i := range out {
		out[i].State = Unavailable
	}
	return out
}

// Drain refuses new records and waits until those under way are answered. The
// senders go on with the successor.
func (k *Keeper) Drain(ctx context.Context) error {
	k.drainOnce.Do(func() { close(k.draining) })
	for _, s := range k.shards {
		if err := s.drain(ctx); err != nil {
			return fmt.Errorf("drain shard %d: %w", s.number, err)
		}
	}
	return nil
}

// Run looks after the shards until ctx ends: it settles orphaned bills, rolls
// chunks up and drops shards that moved elsewhere.
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

// Housekeep looks after each shard once.
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

// storeContext returns the context of one group's work on the store.
func (k *Keeper) storeContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	timer := k.clock.AfterFunc(k.storeTimeout, cancel)
	return ctx, func() { timer.Stop(); cancel() }
}

// backoff returns a jittered pause before another try.
func (k *Keeper) backoff(try int) time.Duration {
	k.rngLock.Lock()
	defer k.rngLock.Unlock()
	full := 50 * time.Millisecond << min(try, 4)
	return full/2 + time.Duration(k.rng.Int64N(int64(full)))
}
