package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Controller keeps the membership of one instance. It writes the board's
// Members and Sightings sections and answers heartbeats.
type Controller struct {
	board *board.Board
	peers Peers
	clock clockwork.Clock
	log   *zap.Logger

	mu        sync.Mutex
	rng       *rand.Rand
	view      *view
	lastRound time.Time
	sightings map[string]board.PeerStatus
}

// Option changes how a controller is built.
type Option func(*Controller)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(c *Controller) { c.clock = clock } }

// WithRand sets the random source.
func WithRand(rng *rand.Rand) Option { return func(c *Controller) { c.rng = rng } }

// WithLog sets the log.
func WithLog(log *zap.Logger) Option { return func(c *Controller) { c.log = log } }

// New returns the controller of the instance described by self. A Generation
// of 0 is replaced by the time of the start, so that a restart raises it.
func New(self board.Member, b *board.Board, peers Peers, opts ...Option) *Controller {
	c := &Controller{
		board:     b,
		peers:     peers,
		clock:     clockwork.NewRealClock(),
		log:       zap.NewNop(),
		sightings: map[string]board.PeerStatus{},
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	now := c.clock.Now()
	if self.Generation == 0 {
		self.Generation = uint64(now.UnixMilli())
	}
	c.view = newView(self, now)
	c.lastRound = now
	c.publish()
	return c
}

// Generation returns the number of this run.
func (c *Controller) Generation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.self.Generation
}

// IsSuperseded reports whether a later run with the same name was heard of.
func (c *Controller) IsSuperseded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.superseded
}

// Run keeps the membership up to date until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	listing, unsubscribe := c.board.InstanceList.Subscribe()
	defer unsubscribe()
	next := c.clock.After(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-listing:
			c.readListing()
		case <-next:
			next = c.clock.After(c.interval())
			c.round(ctx)
		}
	}
}

// interval varies by a tenth, so that instances that started together do not
// stay in step.
func (c *Controller) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return heartbeatInterval*9/10 + time.Duration(c.rng.Int64N(int64(heartbeatInterval/5)))
}

func (c *Controller) readListing() {
	listing := c.board.InstanceList.Get()
	if listing == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.listed(listing.List, c.clock.Now())
	c.publish()
}

// round sends one round of heartbeats and waits for their answers.
func (c *Controller) round(ctx context.Context) {
	c.readListing()
	c.heartbeatAll(ctx, c.begin())
	c.end()
}

// end closes a round: members that stayed suspected fail.
func (c *Controller) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.expire(c.clock.Now())
	c.publish()
}

// begin starts a round: it notices a pause and chooses the targets.
func (c *Controller) begin() []board.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if now.Sub(c.lastRound) >= pausedAfter {
		c.log.Warn("Paused", zap.Duration("For", now.Sub(c.lastRound)))
		c.view.resumed(now)
	}
	c.lastRound = now
	return c.view.targets(c.rng)
}

func (c *Controller) heartbeatAll(ctx context.Context, targets []board.Member) {
	var wg sync.WaitGroup
	for _, m := range targets {
		wg.Go(func() { c.heartbeat(ctx, m) })
	}
	wg.Wait()
}

// publish writes the members to the board if they have changed. The caller
// holds the lock, or is the constructor.
func (c *Controller) publish() {
	if members, changed := c.view.list(); changed {
		c.board.Members.Publish(members)
	}
}

// Leave tells others that this instance stops as planned.
func (c *Controller) Leave(ctx context.Context) {
	c.mu.Lock()
	c.view.self.State = board.MemberLeaving
	c.view.self.incarnation++
	var others []board.Member
	for _, r := range c.view.members {
		if r.State != memberFailed {
			others = append(others, r.Member)
		}
	}
	sortByName(others)
	c.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	c.publish()
	c.mu.Unlock()
	c.heartbeatAll(ctx, others[:min(leaveTargets, len(others))])
}
