package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

const (
	// reportAge is the age from which on a load report no longer shows a server
	// to be warm.
	reportAge = 15 * time.Second
	// spareShare is the part of the servers that may be cold or restarting.
	spareShare = 0.1
	// headroom is the concurrency wanted for each request in progress.
	headroom = 1.2
	// lostShare is the part of the wanted servers below which a stage is taken
	// back.
	lostShare = 0.5
)

// Capacity is what the servers of a model bear of a roll-out.
type Capacity struct {
	// Servers counts those that run either version.
	Servers int
	// Loaded counts those that run the new version, Warm those of them that a
	// fresh report shows to be warm.
	Loaded int
	Warm   int
	// Concurrency is of the warm ones; Load is the work in progress on all.
	Concurrency int
	Load        int
}

// capacityOf adds up the servers that may get work of the roll-out's model.
func capacityOf(servers *board.Servers, doc *configuration.Document, r *configuration.Rollout, now time.Time) Capacity {
	var c Capacity
	for _, s := range poolOf(servers, doc, r.Model) {
		isNew := s.Runs(r.Model, r.To)
		if !isNew && !s.Runs(r.Model, r.From) {
			continue
		}
		c.Servers++
		c.Load += s.Report.Running + s.Report.Waiting
		if !isNew {
			continue
		}
		c.Loaded++
		if !s.Report.Cold && now.Sub(s.Report.ReceivedAt) <= reportAge {
			c.Warm++
			c.Concurrency += s.Report.Concurrency
		}
	}
	return c
}

// poolOf lists the live servers of the model's service in data centres that are
// in.
func poolOf(servers *board.Servers, doc *configuration.Document, model string) []*board.Server {
	m := doc.Model(model)
	if servers == nil || m == nil {
		return nil
	}
	var pool []*board.Server
	for i := range servers.List {
		s := &servers.List[i]
		if s.Service == m.Service && s.State == board.ServerLive && !doc.IsOut(s.DataCentre) {
			pool = append(pool, s)
		}
	}
	return pool
}

// wanted returns how many servers should run the new version at a share.
func (c Capacity) wanted(share float64) int {
	return int(math.Ceil(share * float64(c.Servers)))
}

// bears reports whether warm servers of the new version bear the share.
func (c Capacity) bears(share float64) bool {
	least := max(int(math.Ceil(share*(1-spareShare)*float64(c.Servers))), 1)
	return c.Warm >= least && float64(c.Concurrency) >= headroom*share*float64(c.Load)
}

// isLost reports whether too few servers of the new version are left for the
// share that they have.
func (c Capacity) isLost(share float64) bool {
	return float64(c.Loaded) < lostShare*float64(max(c.wanted(share), 1))
}

func (c Capacity) String() string {
	return fmt.Sprintf("%d of %d servers run the new version, %d warm with concurrency %d, %d requests in progress",
		c.Loaded, c.Servers, c.Warm, c.Concurrency, c.Load)
}
