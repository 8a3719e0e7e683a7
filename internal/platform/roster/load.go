package roster

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// target is one server to poll.
type target struct {
	name    string
	address string
}

// pollAll asks the servers that this instance is chosen for.
func (c *Controller) pollAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(pollConcurrency)
	for _, t := range c.targets() {
		group.Go(func() error {
			c.poll(ctx, t)
			return nil
		})
	}
	_ = group.Wait()
}

// targets returns the servers to poll now.
func (c *Controller) targets() []target {
	members := c.board.Members.Get()
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var targets []target
	for _, s := range c.servers {
		if c.peers == nil || isPoller(c.self, s, members, now) {
			targets = append(targets, target{s.Name, s.Address})
		}
	}
	return targets
}

// isPoller reports whether an instance polls a server: the first that
// rendezvous hashing chooses among the members of the server's data centre,
// and the next ones when reports stay away.
func isPoller(self string, s *board.Server, members *board.Members, now time.Time) bool {
	near := members.InDataCentre(s.DataCentre)
	if len(near) == 0 && members != nil {
		near = members.List
	}
	rank := slices.Index(board.Rank("Load/"+s.Name, board.Names(near), pollers), self)
	if rank <= 0 {
		return rank == 0
	}
	return now.Sub(s.Report.ReceivedAt) > time.Duration(rank)*takeOver
}

// poll asks one server for its load.
func (c *Controller) poll(ctx context.Context, t target) {
	var resp loadResponse
	asked := c.clock.Now()
	if err := c.http.Get(ctx, "http://"+t.address+"/load", &resp); err != nil {
		counts.Add("LoadFailed", 1)
		return
	}
	if resp.Server != t.name {
		c.drop(dropWrongServer)
		return
	}
	if reason := c.take(t.name, resp.report(asked)); reason == taken {
		c.mu.Lock()
		c.fresh[t.name] = struct{}{}
		c.mu.Unlock()
	}
}

// take stores a report unless there is a reason to drop it.
func (c *Controller) take(server string, next board.Report) dropReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[server]
	if s == nil {
		return c.drop(dropUnknown)
	}
	reason := judge(s.Report, next, c.clock.Now())
	if reason != taken && reason != repeated {
		return c.drop(reason)
	}
	if hasGap(s.Report, next) {
		counts.Add("ReportGap", 1)
	}
	updated := *s
	updated.Report = next
	c.servers[server] = &updated
	c.dirty = true
	counts.Add("ReportTaken", 1)
	return taken
}

func (c *Controller) drop(reason dropReason) dropReason {
	counts.Add("ReportDropped"+string(reason), 1)
	return reason
}

// Reports takes in the reports that another instance polled.
func (c *Controller) Reports(_ context.Context, req *peer.ReportsRequest) (*peer.ReportsResponse, error) {
	now := c.clock.Now()
	for _, m := range req.Reports {
		c.take(m.Server, fromMessage(m, now))
	}
	return &peer.ReportsResponse{}, nil
}

// receivers returns the members that get this instance's reports. In a small
// fleet these are all. In a large one they are those of its own data centre
// and one of each other data centre, so that work does not grow with the
// fleet and each data centre still sees a part of every other.
func receivers(self string, members *board.Members) []board.Member {
	own := members.Find(self)
	if own == nil {
		return nil
	}
	elsewhere := map[string][]board.Member{}
	var chosen []board.Member
	for _, m := range members.List {
		switch {
		case m.Name == self || m.State == board.MemberLeaving:
		case len(members.List) <= smallFleet || m.DataCentre == own.DataCentre:
			chosen = append(chosen, m)
		default:
			elsewhere[m.DataCentre] = append(elsewhere[m.DataCentre], m)
		}
	}
	for dataCentre, list := range elsewhere {
		first := board.Rank("Reports/"+self+"/"+dataCentre, board.Names(list), 1)
		chosen = append(chosen, *members.Find(first[0]))
	}
	return chosen
}

func (c *Controller) spreadInterval() time.Duration {
	n := len(receivers(c.self, c.board.Members.Get()))
	return max(minSpreadInterval, time.Duration(n)*spreadPerReceiver)
}

// spread sends the reports polled since the last time.
func (c *Controller) spread(ctx context.Context) {
	batch := c.takeFresh()
	if len(batch) == 0 {
		return
	}
	req := &peer.ReportsRequest{Member: c.self, Reports: batch}
	var group errgroup.Group
	group.SetLimit(sendConcurrency)
	for _, m := range receivers(c.self, c.board.Members.Get()) {
		group.Go(func() error {
			if _, err := c.peers.Reports(ctx, m.PeerAddress, req); err != nil {
				counts.Add("SpreadFailed", 1)
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (c *Controller) takeFresh() []*peer.ServerReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := make([]*peer.ServerReport, 0, len(c.fresh))
	for name := range c.fresh {
		if s := c.servers[name]; s != nil {
			batch = append(batch, toMessage(name, s.Report))
		}
	}
	clear(c.fresh)
	return batch
}
