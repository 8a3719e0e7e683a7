package roster

import (
	"cmp"
	"context"
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

	mu      sync.Mutex
	rng     *rand.Rand
	judge   listJudge
	servers map[string]*board.Server
	// fresh names the servers whose report this instance polled and has not
	// yet sent to others.
	fresh map[string]struct{}
	dirty bool
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
	wg.Go(func() { c.repeat(ctx, c.fixed(listInterval), c.readList) })
	wg.Go(func() { c.repeat(ctx, c.fixed(pollInterval), c.pollAll) })
	wg.Go(func() { c.repeat(ctx, c.fixed(publishInterval), func(context.Context) { c.publish() }) })
	if c.peers != nil {
		wg.Go(func() { c.repeat(ctx, c.spreadInterval, c.spread) })
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

// readList asks for the instance list and takes it in if it is plausible.
func (c *Controller) readList(ctx context.Context) {
	var resp listResponse
	asked := c.clock.Now()
	if err := c.http.Get(ctx, "http://"+c.listAddress+"/instances", &resp); err != nil {
		counts.Add("ListFailed", 1)
		return
	}
	c.takeList(resp, asked)
}

// takeList takes in a list that was asked for at a time.
func (c *Controller) takeList(resp listResponse, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := asked
	if !c.judge.accept(resp.Sequence, len(resp.Instances), now) {
		counts.Add("ListImplausible", 1)
		c.log.Warn("instance list not taken", zap.Int("Entries", len(resp.Instances)), zap.Uint64("Sequence", resp.Sequence))
		return
	}
	listing := &board.Listing{Sequence: resp.Sequence, At: now}
	seen := map[string]struct{}{}
	for _, l := range resp.Instances {
		if l.Service == OwnService {
			listing.List = append(listing.List, l.member())
			continue
		}
		seen[l.Name] = struct{}{}
		c.takeServer(l.server())
	}
	for name := range c.servers {
		if _, ok := seen[name]; !ok {
			delete(c.servers, name)
			delete(c.fresh, name)
		}
	}
	c.dirty = true
	c.board.Listing.Publish(listing)
}

// takeServer adds or updates a listed server. A server at another address is a
// new one: its old report is dropped. The caller holds the lock.
func (c *Controller) takeServer(s board.Server) {
	old := c.servers[s.Name]
	if old != nil && old.Address == s.Address {
		s.Report = old.Report
	}
	c.servers[s.Name] = &s
}

// publish writes the servers to the board if anything changed.
func (c *Controller) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.dirty {
		return
	}
	c.dirty = false
	list := make([]board.Server, 0, len(c.servers))
	for _, s := range c.servers {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b board.Server) int { return cmp.Compare(a.Name, b.Name) })
	c.board.Servers.Publish(&board.Servers{List: list, At: c.clock.Now()})
}
