package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/keeper"
)

// Controller keeps the limiter and the bank up to date from the board, and
// asks keepers for credits for servers in cold start that have demand.
type Controller struct {
	board   *board.Board
	set     Settings
	clock   clockwork.Clock
	peers   Peers
	limiter *Limiter
	keeping *keeper.Terms
	bank    *Granter

	mu       sync.Mutex
	roll     roll
	sequence uint64
	asking   map[string]uint64 // keeper to the sequence of the request on its way
	ringOf   *board.Members
	ring     *keeper.Ring // of ringOf
}

// NewController returns a controller; Run starts it.
func NewController(b *board.Board, peers Peers, clock clockwork.Clock, set Settings) *Controller {
	keeping := keeper.NewTerms(set.Timing)
	return &Controller{
		board: b, set: set, clock: clock, peers: peers,
		limiter: NewLimiter(set), keeping: keeping, bank: NewGranter(keeping, set),
		asking: map[string]uint64{},
	}
}

// Limiter returns the limiter that the request path uses.
func (c *Controller) Limiter() *Limiter { return c.limiter }

// Grant answers a peer's request for credits.
func (c *Controller) Grant(req CreditRequest) CreditResponse {
	return c.bank.Grant(req, c.clock.Now())
}

// Resign ends this instance's terms as keeper, for a planned stop.
func (c *Controller) Resign() { c.keeping.Resign() }

// Run ticks until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := c.clock.NewTicker(c.set.Tick)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	c.Refresh()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			c.Refresh()
			for _, p := range c.NextRequests() {
				calls.Go(func() { c.ask(ctx, p) })
			}
		}
	}
}

// Refresh takes in the board: membership for the keeper's terms, reports for the
// limiter and the bank.
func (c *Controller) Refresh() {
	now := c.clock.Now()
	members, doc := c.members(), c.board.Configuration.Get()
	c.keeping.Update(members, now)
	c.limiter.Update(c.board.Servers.Get(), doc, members, now)
	for _, v := range c.limiter.views(c.keeping.Keeps) {
		c.bank.Update(v, now)
	}
	c.bank.Forget(c.limiter.knows)
}

func (c *Controller) members() *board.Members {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roll.of(c.board)
}

// KeeperRequest is one request for credits, bound for one keeper.
type KeeperRequest struct {
	Keeper  board.Member
	Request CreditRequest
	// RequestedAt is the time from which a grant's validity counts.
	RequestedAt time.Time
}

// NextRequests gives back what this instance has no use for and returns the requests
// to send, one for each keeper that has none on its way.
func (c *Controller) NextRequests() []KeeperRequest {
	members := c.members()
	if members == nil {
		return nil
	}
	now := c.clock.Now()
	needing := c.limiter.needing(members, c.set.MaxAskers)
	if len(needing) == 0 {
		return nil
	}
	self := selfOf(members)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ringOf != members {
		c.ringOf, c.ring = members, keeper.NewRing(members.List, keeper.WithSuspects())
	}
	byKeeper := map[string]*KeeperRequest{}
	var order []string
	for _, name := range needing {
		k, ok := c.ring.Of(name)
		if !ok || c.asking[k.Name] != 0 {
			continue
		}
		p := byKeeper[k.Name]
		if p == nil {
			p = &KeeperRequest{Keeper: k, RequestedAt: now, Request: CreditRequest{Member: members.Self, Generation: self.Generation}}
			byKeeper[k.Name] = p
			order = append(order, k.Name)
		}
		p.Request.Asks = append(p.Request.Asks, c.limiter.ask(name, now))
	}
	plans := make([]KeeperRequest, 0, len(order))
	for _, name := range order {
		c.sequence++
		c.asking[name] = c.sequence
		byKeeper[name].Request.Sequence = c.sequence
		plans = append(plans, *byKeeper[name])
	}
	return plans
}

func selfOf(members *board.Members) board.Member {
	for _, m := range members.List {
		if m.Name == members.Self {
			return m
		}
	}
	return board.Member{Name: members.Self}
}

// HandleResponse takes in the answer to a plan, or its failure. An answer to a plan
// that was given up is ignored.
func (c *Controller) HandleResponse(p KeeperRequest, resp CreditResponse, err error) {
	c.mu.Lock()
	current := c.asking[p.Keeper.Name] == p.Request.Sequence
	if current {
		delete(c.asking, p.Keeper.Name)
	}
	c.mu.Unlock()
	switch {
	case !current:
		counters.Add("CreditAnswerLate", 1)
	case err != nil:
		counters.Add("CreditAnswerFailed", 1)
	default:
		for _, g := range resp.Grants {
			c.limiter.credit(g, p.RequestedAt, c.clock.Now())
		}
	}
}

func (c *Controller) ask(ctx context.Context, p KeeperRequest) {
	if p.Keeper.Name == p.Request.Member {
		c.HandleResponse(p, c.bank.Grant(p.Request, c.clock.Now()), nil)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.set.Timing.CreditValid/2)
	defer cancel()
	resp, err := c.peers.Credit(ctx, p.Keeper, p.Request)
	c.HandleResponse(p, resp, err)
}
