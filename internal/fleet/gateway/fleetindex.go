package gateway

import (
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

// fleetIndex holds what is derived from one view of the fleet. It is immutable: requests
// read it, and large fleets change seldom compared to them.
type fleetIndex struct {
	fleet *follower.Fleet
	// names holds the names of all instances, including this one.
	names []string
	// readers holds the instances that read the store.
	readers []follower.Instance
}

// index returns the index of the current view of the fleet.
func (g *Gateway) index() *fleetIndex {
	if i := g.latestIndex.Load(); i != nil && i.fleet == g.follower.View.Fleet.Get() {
		return i
	}
	// Views are taken in one after the other, in their order.
	g.indexMu.Lock()
	defer g.indexMu.Unlock()
	fleet := g.follower.View.Fleet.Get()
	if i := g.latestIndex.Load(); i != nil && i.fleet == fleet {
		return i
	}
	i := &fleetIndex{fleet: fleet}
	if fleet != nil {
		i.readers = chooseReaders(fleet.Instances)
		i.names = make([]string, 0, len(fleet.Instances)+1)
		announced := make(map[string]int64, len(fleet.Instances))
		for name, instance := range fleet.Instances {
			i.names = append(i.names, name)
			announced[name] = instance.Revision.Number // a copy of the store keeps it
		}
		g.tenure.Observe(announced, g.Clock.Now())
	}
	if fleet == nil || fleet.Instances[g.Settings.Instance].Name == "" {
		i.names = append(i.names, g.Settings.Instance)
	}
	g.latestIndex.Store(i)
	return i
}

// instanceNames returns the names of all instances, including this one. The caller must
// not change them.
func (g *Gateway) instanceNames() []string { return g.index().names }

// members returns the names of the instances among which the limits of servers are divided.
// The caller must not change them.
func (g *Gateway) members(now time.Time) []string {
	g.index()
	return g.tenure.Members(dispatch.ShareWindow, now)
}

// knownFor returns for how long all other instances have known this one, see
// tenure.Tracker.
func (g *Gateway) knownFor(now time.Time) time.Duration {
	age, viewed := g.follower.ViewAge()
	g.index() // of a view that is no older
	return g.tenure.KnownFor(age, viewed, now)
}
