package admission

import (
	"context"
	"math"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// Parameters of the slots that an instance takes of a service's capacity.
const (
	// maxOversubscription is the largest multiple of an equal share. It exceeds
	// 1 because instances receive unequal traffic.
	maxOversubscription = 2.0
	// minOversubscription is the smallest multiple, used under overload.
	minOversubscription = 0.8
	// oversubscriptionStep is the change per update.
	oversubscriptionStep = 0.05
	// highUtilisation and lowUtilisation are the ratios of reported load to
	// concurrency above which oversubscription falls and below which it rises.
	highUtilisation = 1.0
	lowUtilisation  = 0.9
	// updateInterval is the time between two updates.
	updateInterval = 250 * time.Millisecond
	// reportTTL is the age beyond which a server's report is ignored.
	reportTTL = 5 * time.Second
)

// Capacity is the capacity and the load of one service.
type Capacity struct {
	// Concurrency is the sum of the servers' concurrency limits.
	Concurrency int
	// Load is the number of requests that the servers report as running or
	// waiting.
	Load int
}

// capacityByService sums the capacity of each service over its live servers. It
// skips servers in a closed data centre and servers whose report is too old.
func capacityByService(servers *board.Servers, doc *configuration.Document, now time.Time) map[string]Capacity {
	capacities := make(map[string]Capacity, len(doc.Services))
	for i := range servers.List {
		s := &servers.List[i]
		svc := doc.Service(s.Service)
		if svc == nil || s.State != board.ServerLive || doc.IsOutOfService(s.DataCentre) || now.Sub(s.Report.ReceivedAt) > reportTTL {
			continue
		}
		concurrency := svc.Concurrency
		if s.Report.Concurrency > 0 {
			concurrency = min(concurrency, s.Report.Concurrency)
		}
		if s.Report.Cold {
			concurrency = min(concurrency, svc.ColdConcurrency)
		}
		c := capacities[s.Service]
		c.Concurrency += concurrency
		c.Load += max(s.Report.Running, 0) + max(s.Report.Waiting, 0)
		capacities[s.Service] = c
	}
	return capacities
}

// Update applies the current capacity of the services, the number of instances
// that share it, the active preset and the customers' weights. It does nothing
// if servers or doc is nil.
func (a *Admitter) Update(servers *board.Servers, doc *configuration.Document, members *board.Members) {
	if servers == nil || doc == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	capacities := capacityByService(servers, doc, now)
	weights := make(map[string]float64, len(doc.Customers))
	for _, c := range doc.Customers {
		weights[c.Name] = c.Weight
	}
	for _, svc := range doc.Services {
		q := a.queues[svc.Name]
		if q == nil {
			q = newQueue(a)
			a.queues[svc.Name] = q
		}
		q.weights, q.shedAt = weights, 1
		if p := doc.ActivePreset(); p != nil && p.ShedAt > 0 {
			q.shedAt = p.ShedAt
		}
		q.resize(capacities[svc.Name], aliveInstances(members), now)
	}
}

// resize sets the number of slots to this instance's share of the capacity. The
// share is a feedback loop: it falls while the servers report more load than
// capacity, and rises while they report less.
func (q *queue) resize(c Capacity, instances int, now time.Time) {
	utilisation := float64(c.Load) / float64(max(c.Concurrency, 1))
	switch {
	case q.oversubscription == 0:
		q.oversubscription = maxOversubscription
	case utilisation > highUtilisation:
		q.oversubscription = max(minOversubscription, q.oversubscription-oversubscriptionStep)
	case utilisation < lowUtilisation:
		q.oversubscription = min(maxOversubscription, q.oversubscription+oversubscriptionStep)
	}
	q.slots = int(math.Ceil(float64(c.Concurrency) * q.oversubscription / float64(instances)))
	if q.slots == 0 {
		q.refuseAll(call.ReasonNoServer)
		return
	}
	q.dispatch(now)
}

func aliveInstances(members *board.Members) int {
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

// Run updates the Admitter from the board until the context ends.
func (a *Admitter) Run(ctx context.Context, b *board.Board) error {
	ticker := a.clock.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		a.Update(b.Servers.Get(), b.Configuration.Get(), b.Members.Get())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}
