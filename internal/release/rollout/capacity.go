package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

const (
	// maxReportAge is the age from which on a load report no longer shows a server
	// to be warm.
	maxReportAge = 15 * time.Second
	// maxUnreadyShare is the part of the servers that may be cold or restarting.
	maxUnreadyShare = 0.1
	// headroomFactor is the concurrency wanted for each request in progress.
	headroomFactor = 1.2
	// minLoadedShare is the part of the wanted servers below which a stage is taken
	// back.
	minLoadedShare = 0.5
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
		if !s.Report.Cold && now.Sub(s.Report.ReceivedAt) <= maxReportAge {
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

// wantedServers returns how many servers should run the new version at a share.
func (c Capacity) wantedServers(share float64) int {
	return int(math.Ceil(share * float64(c.Servers)))
}

// supports reports whether warm servers of the new version bear the share.
func (c Capacity) supports(share float64) bool {
	least := max(int(math.Ceil(share*(1-maxUnreadyShare)*float64(c.Servers))), 1)
	return c.Warm >= least && float64(c.Concurrency) >= headroomFactor*share*float64(c.Load)
}

// isInsufficient reports whether too few servers of the new version are left for the
// share that they have.
func (c Capacity) isInsufficient(share float64) bool {
	return float64(c.Loaded) < minLoadedShare*float64(max(c.wantedServers(share), 1))
}

func (c Capacity) String() string {
	return fmt.Sprintf("%d of %d servers run the new version, %d warm with concurrency %d, %d requests in progress",
		c.Loaded, c.Servers, c.Warm, c.Concurrency, c.Load)
}
