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

// targets returns the servers to poll now: those of which this instance is the
// first poller, and those whose reports have stayed away for so long that it is
// its turn.
func (c *Controller) targets() []target {
	takeOver := c.takeOver()
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.assign()
	var targets []target
	for _, a := range c.assigned {
		s := c.servers[a.server]
		if a.rank == 0 || now.Sub(s.Report.ReceivedAt) > time.Duration(a.rank)*takeOver {
			targets = append(targets, target{s.Name, s.Address})
		}
	}
	return targets
}

// assignment makes this instance the poller of a server, the first at rank 0.
type assignment struct {
	server string
	rank   int
}

// assign works out the assignments anew when the members or the list have
// changed. The caller holds the lock.
func (c *Controller) assign() {
	version := [2]int64{int64(c.board.Members.Version()), c.held.stamp}
	if version == c.assignedFor {
		return
	}
	c.assignedFor = version
	c.assigned = c.assigned[:0]
	members := c.board.Members.Get()
	near := map[string][]string{}
	for _, s := range c.servers {
		if _, ok := near[s.DataCentre]; !ok {
			near[s.DataCentre] = pollersOf(s.DataCentre, members)
		}
		rank := slices.Index(board.Rank("Load/"+s.Name, near[s.DataCentre], pollers), c.self)
		if c.peers == nil {
			rank = 0
		}
		if rank >= 0 {
			c.assigned = append(c.assigned, assignment{s.Name, rank})
		}
	}
}

// pollersOf returns who may poll the servers of a data centre: its members, or
// all if it has none.
func pollersOf(dataCentre string, members *board.Members) []string {
	if near := members.InDataCentre(dataCentre); len(near) > 0 || members == nil {
		return board.Names(near)
	}
	return board.Names(members.List)
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
func (c *Controller) take(server string, next board.LoadReport) dropReason {
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
// fleet these are all. In a large one they are those of its own data centre,
// one of each other data centre of its region, and one of each other region, so
// that work does not grow with the fleet and each place still sees a part of
// every other.
func receivers(self string, members *board.Members) []board.Member {
	own := members.Find(self)
	if own == nil {
		return nil
	}
	elsewhere := map[string][]string{}
	var chosen []board.Member
	for _, m := range members.List {
		switch {
		case m.Name == self || m.State == board.MemberLeaving:
		case len(members.List) <= smallFleet || m.DataCentre == own.DataCentre:
			chosen = append(chosen, m)
		case m.Region == own.Region:
			elsewhere[m.DataCentre] = append(elsewhere[m.DataCentre], m.Name)
		default:
			elsewhere[m.Region] = append(elsewhere[m.Region], m.Name)
		}
	}
	for place, names := range elsewhere {
		first := board.Rank("Reports/"+self+"/"+place, names, 1)
		chosen = append(chosen, *members.Find(first[0]))
	}
	return chosen
}

// spreadInterval is how long an instance waits between two batches of reports.
func (c *Controller) spreadInterval() time.Duration {
	members := c.board.Members.Get()
	if c.isSmall() {
		return smallSpreadInterval
	}
	return max(smallSpreadInterval, time.Duration(len(receivers(c.self, members)))*spreadPerReceiver)
}

// takeOver is how long reports must stay away before the next poller polls.
func (c *Controller) takeOver() time.Duration { return 2*c.spreadInterval() + minTakeOver }

// loadInterval is how long an instance waits between two polls of a server.
func (c *Controller) loadInterval() time.Duration {
	if c.isSmall() {
		return smallPollInterval
	}
	return pollInterval
}

// isSmall reports whether the fleet is small enough for short intervals.
func (c *Controller) isSmall() bool {
	members := c.board.Members.Get()
	return members == nil || len(members.List) <= smallFleet
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
