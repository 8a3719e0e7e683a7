package admission

import (
	"context"
	"math"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// Bounds of the slots that an instance takes of a service's capacity.
const (
	// slackMost is the largest multiple of an equal share; instances get
	// unequal traffic.
	slackMost = 2.0
	// slackLeast is the smallest, under overload.
	slackLeast = 0.8
	// slackStep is the change at one update.
	slackStep = 0.05
	// highUse and lowUse are the reported use of the service above and below
	// which the slack falls and rises.
	highUse = 1.0
	lowUse  = 0.9
	// updateEvery is the time between two updates.
	updateEvery = 250 * time.Millisecond
	// reportStale is the age at which a server's report counts no more.
	reportStale = 5 * time.Second
)

// Capacity is the capacity of one service.
type Capacity struct {
	// Concurrency is what its servers bear together.
	Concurrency int
	// Load is what they reported as running and waiting.
	Load int
}

// supplyOf adds up what the live servers of each service bear.
func supplyOf(servers *board.Servers, doc *configuration.Document, now time.Time) map[string]Capacity {
	sum := make(map[string]Capacity, len(doc.Services))
	for i := range servers.List {
		s := &servers.List[i]
		svc := doc.Service(s.Service)
		if svc == nil || s.State != board.ServerLive || doc.IsOut(s.DataCentre) || now.Sub(s.Report.ReceivedAt) > reportStale {
			continue
		}
		bears := svc.Concurrency
		if s.Report.Concurrency > 0 {
			bears = min(bears, s.Report.Concurrency)
		}
		if s.Report.Cold {
			bears = min(bears, svc.ColdConcurrency)
		}
		u := sum[s.Service]
		u.Concurrency += bears
		u.Load += max(s.Report.Running, 0) + max(s.Report.Waiting, 0)
		sum[s.Service] = u
	}
	return sum
}

// Update takes in the capacity of the services, the number of instances that
// share it, and the preset and customers in force.
func (g *Admitter) Update(servers *board.Servers, doc *configuration.Document, members *board.Members) {
	if servers == nil || doc == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	supply := supplyOf(servers, doc, now)
	weights := make(map[string]float64, len(doc.Customers))
	for _, c := range doc.Customers {
		weights[c.Name] = c.Weight
	}
	for _, svc := range doc.Services {
		q := g.queues[svc.Name]
		if q == nil {
			q = newQueue(g)
			g.queues[svc.Name] = q
		}
		q.weights, q.shedAt = weights, 1
		if p := doc.PresetInForce(); p != nil && p.ShedAt > 0 {
			q.shedAt = p.ShedAt
		}
		q.resize(supply[svc.Name], instances(members), now)
	}
}

// resize sets the slots to a share of the supply. Feedback: the share falls
// while the servers report more than they bear, and rises while they do not.
func (q *queue) resize(s Capacity, instances int, now time.Time) {
	use := float64(s.Load) / float64(max(s.Concurrency, 1))
	switch {
	case q.slack == 0:
		q.slack = slackMost
	case use > highUse:
		q.slack = max(slackLeast, q.slack-slackStep)
	case use < lowUse:
		q.slack = min(slackMost, q.slack+slackStep)
	}
	q.slots = int(math.Ceil(float64(s.Concurrency) * q.slack / float64(instances)))
	if q.slots == 0 {
		q.refuseAll(call.ReasonNoServer)
		return
	}
	q.dispatch(now)
}

func instances(members *board.Members) int {
	if members == nil {
		return 1
	}
	n := 0
	for i := range members.List {
		if members.List[i].State == board.MemberAlive {
			n++
		}
	}
	return max(n, 1)
}

// Run keeps the gate up to date from the board until the context ends.
func (g *Admitter) Run(ctx context.Context, b *board.Board) error {
	ticker := g.clock.NewTicker(updateEvery)
	defer ticker.Stop()
	for {
		g.Update(b.Servers.Get(), b.Configuration.Get(), b.Members.Get())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}
