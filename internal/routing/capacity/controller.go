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
	board    *board.Board
	settings Settings
	clock    clockwork.Clock
	peers    Peers
	limiter  *Limiter
	terms    *keeper.Terms
	granter  *Granter

	mu          sync.Mutex
	membership  membership
	sequence    uint64
	pending     map[string]uint64 // keeper to the sequence of the request on its way
	ringMembers *board.Members
	ring        *keeper.Ring // of ringOf
}

// NewController returns a controller; Run starts it.
func NewController(b *board.Board, peers Peers, clock clockwork.Clock, set Settings) *Controller {
	keeping := keeper.NewTerms(set.Timing)
	return &Controller{
		board: b, settings: set, clock: clock, peers: peers,
		limiter: NewLimiter(set), terms: keeping, granter: NewGranter(keeping, set),
		pending: map[string]uint64{},
	}
}

// Limiter returns the limiter that the request path uses.
func (c *Controller) Limiter() *Limiter { return c.limiter }

// Grant answers a peer's request for credits.
func (c *Controller) Grant(req CreditRequest) CreditResponse {
	return c.granter.Grant(req, c.clock.Now())
}

// Resign ends this instance's terms as keeper, for a planned stop.
func (c *Controller) Resign() { c.terms.Resign() }

// Run ticks until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := c.clock.NewTicker(c.settings.Tick)
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
				calls.Go(func() { c.sendRequest(ctx, p) })
			}
		}
	}
}

// Refresh takes in the board: membership for the keeper's terms, reports for the
// limiter and the bank.
func (c *Controller) Refresh() {
	now := c.clock.Now()
	members, doc := c.currentMembers(), c.board.Configuration.Get()
	c.terms.Update(members, now)
	c.limiter.Update(c.board.Servers.Get(), doc, members, now)
	for _, v := range c.limiter.serverStates(c.terms.Keeps) {
		c.granter.Update(v, now)
	}
	c.granter.Forget(c.limiter.known)
}

func (c *Controller) currentMembers() *board.Members {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership.current(c.board)
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
	members := c.currentMembers()
	if members == nil {
		return nil
	}
	now := c.clock.Now()
	needing := c.limiter.serversNeedingCredit(members, c.settings.MaxAskers)
	if len(needing) == 0 {
		return nil
	}
	self := selfMember(members)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ringMembers != members {
		c.ringMembers, c.ring = members, keeper.NewRing(members.List, keeper.WithSuspects())
	}
	byKeeper := map[string]*KeeperRequest{}
	var order []string
	for _, name := range needing {
		k, ok := c.ring.Of(name)
		if !ok || c.pending[k.Name] != 0 {
			continue
		}
		p := byKeeper[k.Name]
		if p == nil {
			p = &KeeperRequest{Keeper: k, RequestedAt: now, Request: CreditRequest{Member: members.Self, Generation: self.Generation}}
			byKeeper[k.Name] = p
			order = append(order, k.Name)
		}
		p.Request.Asks = append(p.Request.Asks, c.limiter.buildAsk(name, now))
	}
	plans := make([]KeeperRequest, 0, len(order))
	for _, name := range order {
		c.sequence++
		c.pending[name] = c.sequence
		byKeeper[name].Request.Sequence = c.sequence
		plans = append(plans, *byKeeper[name])
	}
	return plans
}

func selfMember(members *board.Members) board.Member {
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
	current := c.pending[p.Keeper.Name] == p.Request.Sequence
	if current {
		delete(c.pending, p.Keeper.Name)
	}
	c.mu.Unlock()
	switch {
	case !current:
		counters.Add("CreditAnswerLate", 1)
	case err != nil:
		counters.Add("CreditAnswerFailed", 1)
	default:
		for _, g := range resp.Grants {
			c.limiter.applyGrant(g, p.RequestedAt, c.clock.Now())
		}
	}
}

func (c *Controller) sendRequest(ctx context.Context, p KeeperRequest) {
	if p.Keeper.Name == p.Request.Member {
		c.HandleResponse(p, c.granter.Grant(p.Request, c.clock.Now()), nil)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timing.CreditValid/2)
	defer cancel()
	resp, err := c.peers.Credit(ctx, p.Keeper, p.Request)
	c.HandleResponse(p, resp, err)
}
