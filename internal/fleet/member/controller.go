package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
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
	sightings map[string]board.Sighting
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
		sightings: map[string]board.Sighting{},
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
	listing, unsubscribe := c.board.Listing.Subscribe()
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
	listing := c.board.Listing.Get()
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
		c.log.Warn("paused", zap.Duration("For", now.Sub(c.lastRound)))
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

// heartbeat exchanges one heartbeat with a member.
func (c *Controller) heartbeat(ctx context.Context, m board.Member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := c.clock.Now()
	req := c.request(m.Name)
	resp, err := c.peers.Heartbeat(ctx, m.PeerAddress, req)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	from, ok := fromMessage(resp.GetFrom())
	if err != nil || !ok {
		counts.Add("HeartbeatFailed", 1)
		c.view.missed(m.Name, now)
		return
	}
	c.view.lastAnswer = now
	if from.Name != m.Name {
		// Another instance has this address now.
		counts.Add("WrongName", 1)
		c.view.missed(m.Name, now)
	}
	c.view.heard(from, now)
	c.takeUpdates(resp.Updates, now)
	c.sight(from, told{resp.Revision, resp.ConfirmedAgeMilliseconds, resp.ListingStamp, resp.ListingAgeMilliseconds}, sent, now)
	c.publish()
}

func (c *Controller) request(to string) *peer.HeartbeatRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision, age := c.confirmed()
	stamp, listed := c.listing()
	return &peer.HeartbeatRequest{
		From: toMessage(c.view.self), Revision: revision,
		ConfirmedAgeMilliseconds: age, Updates: c.view.news(to, c.rng),
		ListingStamp: stamp, ListingAgeMilliseconds: listed,
	}
}

// unconfirmed is the age sent before the store has confirmed anything.
const unconfirmed = -1

// confirmed returns the revision in force here and how long ago the store
// confirmed it, in milliseconds.
func (c *Controller) confirmed() (revision, age int64) {
	if doc := c.board.Configuration.Get(); doc != nil {
		revision = doc.Revision
	}
	confirmation := c.board.Confirmation.Get()
	if confirmation == nil || confirmation.StoreAt.IsZero() || confirmation.Revision != revision {
		return revision, unconfirmed
	}
	return revision, c.clock.Since(confirmation.StoreAt).Milliseconds()
}

// Heartbeat answers a peer.
func (c *Controller) Heartbeat(_ context.Context, req *peer.HeartbeatRequest) (*peer.HeartbeatResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	from, ok := fromMessage(req.From)
	if ok {
		c.view.heard(from, now)
		c.sight(from, told{req.Revision, unconfirmed, req.ListingStamp, unconfirmed}, time.Time{}, now)
	}
	c.takeUpdates(req.Updates, now)
	revision, age := c.confirmed()
	stamp, listed := c.listing()
	resp := &peer.HeartbeatResponse{
		From: toMessage(c.view.self), Revision: revision,
		ConfirmedAgeMilliseconds: age, Updates: c.view.news(from.Name, c.rng),
		ListingStamp: stamp, ListingAgeMilliseconds: listed,
	}
	c.publish()
	return resp, nil
}

// listing returns the stamp of the instance list held here and how long ago it
// was the platform's, in milliseconds.
func (c *Controller) listing() (stamp, age int64) {
	listing := c.board.Listing.Get()
	if listing == nil {
		return 0, unconfirmed
	}
	return listing.Stamp, c.clock.Since(listing.At).Milliseconds()
}

func (c *Controller) takeUpdates(updates []*peer.Member, now time.Time) {
	for _, u := range updates {
		if s, ok := fromMessage(u); ok {
			c.view.told(s, now)
		} else {
			counts.Add("UpdateUnreadable", 1)
		}
	}
}

// told is what a peer said of its documents.
type told struct {
	revision     int64
	age          int64
	listingStamp int64
	listingAge   int64
}

// sight records what a peer said of its documents; sent is zero for a request
// of the peer's own.
func (c *Controller) sight(from statement, t told, sent, now time.Time) {
	s := board.Sighting{
		Name: from.Name, PeerAddress: from.PeerAddress, Revision: t.revision,
		ListingStamp: t.listingStamp, At: sent, HeardAt: now,
	}
	old := c.sightings[from.Name]
	if sent.IsZero() {
		s.At, s.ConfirmedAt = old.At, old.ConfirmedAt
		s.Revision = max(s.Revision, old.Revision)
	} else {
		s.ConfirmedAt = before(sent, t.age)
		s.ListedAt = before(sent, t.listingAge)
	}
	c.sightings[from.Name] = s
	latest := &board.Sightings{LastAnswer: c.view.lastAnswer}
	for name, s := range c.sightings {
		if now.Sub(s.HeardAt) > sightingAge {
			delete(c.sightings, name)
			continue
		}
		latest.List = append(latest.List, s)
	}
	c.board.Sightings.Publish(latest)
}

// before returns the time an age before, zero for an age that is not known.
func before(t time.Time, ageMilliseconds int64) time.Time {
	if ageMilliseconds < 0 {
		return time.Time{}
	}
	return t.Add(-time.Duration(ageMilliseconds) * time.Millisecond)
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
