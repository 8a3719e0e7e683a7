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

// Controller maintains one instance's view of the membership. It publishes the
// board's Members and PeerStatuses sections and answers heartbeats. It is safe for
// concurrent use.
type Controller struct {
	board *board.Board
	peers Peers
	clock clockwork.Clock
	log   *zap.Logger

	mu           sync.Mutex
	rng          *rand.Rand
	view         *view
	lastRound    time.Time
	peerStatuses map[string]board.PeerStatus
}

// Option configures a Controller built by New.
type Option func(*Controller)

// WithClock sets the clock. The default is the system clock.
func WithClock(clock clockwork.Clock) Option { return func(c *Controller) { c.clock = clock } }

// WithRand sets the random source. The default is randomly seeded.
func WithRand(rng *rand.Rand) Option { return func(c *Controller) { c.rng = rng } }

// WithLog sets the logger. The default discards all messages.
func WithLog(log *zap.Logger) Option { return func(c *Controller) { c.log = log } }

// New returns the controller of the instance described by self and publishes the
// first membership. A Generation of 0 is replaced by the current time, so that a
// restart increases it.
func New(self board.Member, b *board.Board, peers Peers, opts ...Option) *Controller {
	c := &Controller{
		board:        b,
		peers:        peers,
		clock:        clockwork.NewRealClock(),
		log:          zap.NewNop(),
		peerStatuses: map[string]board.PeerStatus{},
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

// Generation returns the generation of this run of the instance.
func (c *Controller) Generation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.self.Generation
}

// IsSuperseded reports whether a later run with the same name has been seen.
func (c *Controller) IsSuperseded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.superseded
}

// Run maintains the membership until ctx is done and returns the error of ctx.
func (c *Controller) Run(ctx context.Context) error {
	listChanged, unsubscribe := c.board.InstanceList.Subscribe()
	defer unsubscribe()
	next := c.clock.After(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-listChanged:
			c.applyInstanceList()
		case <-next:
			next = c.clock.After(c.interval())
			c.runRound(ctx)
		}
	}
}

// interval returns the time to the next round, with a jitter of 10% in either
// direction so that instances that started together do not stay synchronised.
func (c *Controller) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return heartbeatInterval*9/10 + time.Duration(c.rng.Int64N(int64(heartbeatInterval/5)))
}

// applyInstanceList applies the platform's current instance list to the view.
func (c *Controller) applyInstanceList() {
	instanceList := c.board.InstanceList.Get()
	if instanceList == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.applyList(instanceList.List, c.clock.Now())
	c.publish()
}

// runRound sends one round of heartbeats and waits for the answers.
func (c *Controller) runRound(ctx context.Context) {
	c.applyInstanceList()
	c.heartbeatAll(ctx, c.startRound())
	c.endRound()
}

// endRound completes a round. Members whose suspicion timed out are marked failed.
func (c *Controller) endRound() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.expire(c.clock.Now())
	c.publish()
}

// startRound starts a round. It detects whether this process was paused and
// returns the members to send heartbeats to.
func (c *Controller) startRound() []board.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if now.Sub(c.lastRound) >= pauseThreshold {
		c.log.Warn("Paused", zap.Duration("For", now.Sub(c.lastRound)))
		c.view.handlePause(now)
	}
	c.lastRound = now
	return c.view.targets(c.rng)
}

// heartbeatAll exchanges heartbeats with the targets concurrently.
func (c *Controller) heartbeatAll(ctx context.Context, targets []board.Member) {
	var wg sync.WaitGroup
	for _, m := range targets {
		wg.Go(func() { c.heartbeat(ctx, m) })
	}
	wg.Wait()
}

// publish publishes the members on the board if they have changed. The caller
// holds c.mu, except in New.
func (c *Controller) publish() {
	if members, changed := c.view.list(); changed {
		c.board.Members.Publish(members)
	}
}

// Leave marks this instance as leaving and sends heartbeats that say so to at most
// maxLeaveTargets random members. Graceful shutdown calls it.
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
	c.heartbeatAll(ctx, others[:min(maxLeaveTargets, len(others))])
}
