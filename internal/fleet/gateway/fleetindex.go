package gateway

import "github.com/kingcupyard/kingcupyard/internal/fleet/follower"

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
	fleet := g.follower.View.Fleet.Get()
	if i := g.latestIndex.Load(); i != nil && i.fleet == fleet {
		return i
	}
	i := &fleetIndex{fleet: fleet}
	if fleet != nil {
		i.readers = chooseReaders(fleet.Instances)
		i.names = make([]string, 0, len(fleet.Instances)+1)
		for name := range fleet.Instances {
			i.names = append(i.names, name)
		}
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
