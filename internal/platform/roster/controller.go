package roster

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Controller keeps the list of backend servers of one instance.
type Controller struct {
	self        string
	listAddress string
	board       *board.Board
	http        Getter
	peers       Peers
	clock       clockwork.Clock
	log         *zap.Logger

	mu    sync.Mutex
	rng   *rand.Rand
	judge listJudge
	held  held
	// listAt is when the list held was last known to be the platform's.
	listAt  time.Time
	servers map[string]*board.Server
	// order is the names of the servers, sorted; nil after a change.
	order []string
	// fresh names the servers whose report this instance polled and has not
	// yet sent to others.
	fresh map[string]struct{}
	dirty bool
	// assigned are the servers that this instance may poll, worked out for
	// one version of the members and one stamp of the list.
	assigned    []assignment
	assignedFor [2]int64
}

// Option changes how a controller is built.
type Option func(*Controller)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(c *Controller) { c.clock = clock } }

// WithRand sets the random source of the jitter.
func WithRand(rng *rand.Rand) Option { return func(c *Controller) { c.rng = rng } }

// WithLog sets the log.
func WithLog(log *zap.Logger) Option { return func(c *Controller) { c.log = log } }

// WithPeers exchanges reports with other instances; without it each instance
// polls every server.
func WithPeers(p Peers) Option { return func(c *Controller) { c.peers = p } }

// New returns the controller of the instance with this name; listAddress is
// the IP and port of the instance list.
func New(self, listAddress string, b *board.Board, http Getter, opts ...Option) *Controller {
	c := &Controller{
		self:        self,
		listAddress: listAddress,
		board:       b,
		http:        http,
		clock:       clockwork.NewRealClock(),
		log:         zap.NewNop(),
		servers:     map[string]*board.Server{},
		fresh:       map[string]struct{}{},
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}

// Run keeps the list up to date until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { c.runList(ctx) })
	wg.Go(func() { c.repeat(ctx, c.loadInterval, c.pollAll) })
	wg.Go(func() { c.repeat(ctx, c.fixed(publishInterval), func(context.Context) { c.publish() }) })
	if c.peers != nil {
		wg.Go(func() { c.repeat(ctx, c.spreadInterval, c.spread) })
		wg.Go(func() { c.runSightings(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

func (c *Controller) fixed(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

// repeat calls f at an interval that varies by a tenth.
func (c *Controller) repeat(ctx context.Context, interval func() time.Duration, f func(context.Context)) {
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(c.jitter(interval())):
		}
	}
}

func (c *Controller) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d*9/10 + time.Duration(c.rng.Int64N(int64(d/5)+1))
}

// publish writes the servers to the board if anything changed.
func (c *Controller) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.dirty {
		return
	}
	c.dirty = false
	if c.order == nil {
		c.order = slices.Sorted(maps.Keys(c.servers))
	}
	list := make([]board.Server, len(c.order))
	for i, name := range c.order {
		list[i] = *c.servers[name]
	}
	c.board.Servers.Publish(&board.Servers{List: list, At: c.clock.Now()})
}
