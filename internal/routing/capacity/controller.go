package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/keeper"
)

// Controller keeps the limiter and the granter up to date from the board, and
// asks keepers for credits for servers that are not warm and have demand.
type Controller struct {
	board    *board.Board
	settings Settings
	clock    clockwork.Clock
	peers    Peers
	limiter  *Limiter
	terms    *keeper.Terms
	granter  *Granter

	mu              sync.Mutex
	membership      membership
	sequence        uint64
	pending         map[string]uint64 // by keeper, the sequence number of the request in flight
	selectorMembers *board.Members
	selector        *keeper.Selector // built from selectorMembers
}

// NewController returns a Controller. Run starts it.
func NewController(b *board.Board, peers Peers, clock clockwork.Clock, settings Settings) *Controller {
	terms := keeper.NewTerms(settings.Timing)
	return &Controller{
		board: b, settings: settings, clock: clock, peers: peers,
		limiter: NewLimiter(settings), terms: terms, granter: NewGranter(terms, settings),
		pending: map[string]uint64{},
	}
}

// Limiter returns the limiter that the request path uses.
func (c *Controller) Limiter() *Limiter { return c.limiter }

// Grant answers a peer's request for credits.
func (c *Controller) Grant(req CreditRequest) CreditResponse {
	return c.granter.Grant(req, c.clock.Now())
}

// Resign ends this instance's terms as keeper before a graceful shutdown.
func (c *Controller) Resign() { c.terms.Resign() }

// Run refreshes the controller and requests credits at every tick until ctx is
// done.
func (c *Controller) Run(ctx context.Context) error {
	ticker := c.clock.NewTicker(c.settings.CreditRequestInterval)
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
			for _, request := range c.NextRequests() {
				calls.Go(func() { c.sendRequest(ctx, request) })
			}
		}
	}
}

// Refresh applies the state of the board: the members to the keeper's terms,
// the servers' reports to the limiter and the granter.
func (c *Controller) Refresh() {
	now := c.clock.Now()
	members, document := c.currentMembers(), c.board.Configuration.Get()
	c.terms.Update(members, now)
	c.limiter.Update(c.board.Servers.Get(), document, members, now)
	for _, state := range c.limiter.serverStates(c.terms.IsKeeper) {
		c.granter.Update(state, now)
	}
	c.granter.Forget(c.limiter.known)
}

func (c *Controller) currentMembers() *board.Members {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership.current(c.board)
}

// KeeperRequest is a request for credits addressed to one keeper.
type KeeperRequest struct {
	Keeper  board.Member
	Request CreditRequest
	// RequestedAt is the time from which the validity of the grants counts.
	RequestedAt time.Time
}

// NextRequests gives up the credits that this instance does not need and
// returns the requests to send, one to each keeper that has none in flight.
func (c *Controller) NextRequests() []KeeperRequest {
	members := c.currentMembers()
	if members == nil {
		return nil
	}
	now := c.clock.Now()
	needed := c.limiter.serversNeedingCredit(members, c.settings.MaxCreditRequesters)
	if len(needed) == 0 {
		return nil
	}
	self := selfMember(members)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.selectorMembers != members {
		c.selectorMembers, c.selector = members, keeper.NewSelector(members.List, keeper.WithSuspects())
	}
	byKeeper := map[string]*KeeperRequest{}
	var order []string
	for _, name := range needed {
		keeperMember, ok := c.selector.Lookup(name)
		if !ok || c.pending[keeperMember.Name] != 0 {
			continue
		}
		request := byKeeper[keeperMember.Name]
		if request == nil {
			request = &KeeperRequest{Keeper: keeperMember, RequestedAt: now, Request: CreditRequest{Member: members.Self, Generation: self.Generation}}
			byKeeper[keeperMember.Name] = request
			order = append(order, keeperMember.Name)
		}
		request.Request.Asks = append(request.Request.Asks, c.limiter.buildAsk(name, now))
	}
	requests := make([]KeeperRequest, 0, len(order))
	for _, name := range order {
		c.sequence++
		c.pending[name] = c.sequence
		byKeeper[name].Request.Sequence = c.sequence
		requests = append(requests, *byKeeper[name])
	}
	return requests
}

func selfMember(members *board.Members) board.Member {
	for _, m := range members.List {
		if m.Name == members.Self {
			return m
		}
	}
	return board.Member{Name: members.Self}
}

// HandleResponse applies the response to a request, or its failure. A response
// to a request that is no longer in flight is ignored.
func (c *Controller) HandleResponse(request KeeperRequest, resp CreditResponse, err error) {
	c.mu.Lock()
	current := c.pending[request.Keeper.Name] == request.Request.Sequence
	if current {
		delete(c.pending, request.Keeper.Name)
	}
	c.mu.Unlock()
	switch {
	case !current:
		counters.Add("CreditAnswerLate", 1)
	case err != nil:
		counters.Add("CreditAnswerFailed", 1)
	default:
		for _, grant := range resp.Grants {
			c.limiter.applyGrant(grant, request.RequestedAt, c.clock.Now())
		}
	}
}

func (c *Controller) sendRequest(ctx context.Context, request KeeperRequest) {
	if request.Keeper.Name == request.Request.Member {
		c.HandleResponse(request, c.granter.Grant(request.Request, c.clock.Now()), nil)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timing.CreditTTL/2)
	defer cancel()
	resp, err := c.peers.Credit(ctx, request.Keeper, request.Request)
	c.HandleResponse(request, resp, err)
}
