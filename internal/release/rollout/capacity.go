package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

const (
	// maxReportAge is the age beyond which a load report no longer proves that
	// a server is warm.
	maxReportAge = 15 * time.Second
	// maxUnreadyShare is the fraction of the servers that may be cold or
	// restarting.
	maxUnreadyShare = 0.1
	// headroomFactor is the concurrency required for each request in progress.
	headroomFactor = 1.2
	// minLoadedShare is the fraction of the wanted servers below which the
	// stage is taken back to preparing.
	minLoadedShare = 0.5
)

// Capacity describes the servers of a model that a rollout can use.
type Capacity struct {
	// Servers counts the servers that run the old or the new version.
	Servers int
	// Loaded counts those that run the new version. Warm counts those of them
	// that a fresh load report shows as warm.
	Loaded int
	Warm   int
	// Concurrency is the total concurrency of the warm servers. Load is the
	// number of requests running or waiting on all servers.
	Concurrency int
	Load        int
}

// capacityOf adds up the servers that may receive requests of the rollout's
// model.
func capacityOf(servers *board.Servers, doc *configuration.Document, r *configuration.Rollout, now time.Time) Capacity {
	var c Capacity
	for _, s := range poolOf(servers, doc, r.Model) {
		isNew := s.HasLoaded(r.Model, r.To)
		if !isNew && !s.HasLoaded(r.Model, r.From) {
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

// poolOf returns the live servers of the model's service in data centres that
// are not taken out.
func poolOf(servers *board.Servers, doc *configuration.Document, model string) []*board.Server {
	m := doc.Model(model)
	if servers == nil || m == nil {
		return nil
	}
	var pool []*board.Server
	for i := range servers.List {
		s := &servers.List[i]
		if s.Service == m.Service && s.State == board.ServerLive && !doc.IsOutOfService(s.DataCentre) {
			pool = append(pool, s)
		}
	}
	return pool
}

// wantedServers returns how many servers should run the new version at the
// given share of sessions.
func (c Capacity) wantedServers(share float64) int {
	return int(math.Ceil(share * float64(c.Servers)))
}

// supports reports whether enough warm servers of the new version exist, with
// enough concurrency, for the given share of sessions.
func (c Capacity) supports(share float64) bool {
	minWarm := max(int(math.Ceil(share*(1-maxUnreadyShare)*float64(c.Servers))), 1)
	return c.Warm >= minWarm && float64(c.Concurrency) >= headroomFactor*share*float64(c.Load)
}

// isInsufficient reports whether too few servers run the new version for its
// current share.
func (c Capacity) isInsufficient(share float64) bool {
	return float64(c.Loaded) < minLoadedShare*float64(max(c.wantedServers(share), 1))
}

func (c Capacity) String() string {
	return fmt.Sprintf("%d of %d servers run the new version, %d warm with concurrency %d, %d requests in progress",
		c.Loaded, c.Servers, c.Warm, c.Concurrency, c.Load)
}
