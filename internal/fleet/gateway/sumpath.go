package gateway

import (
	"strings"
	"time"
)

// sumStage is a stage of a sum's way through the fleet.
type sumStage int

// The stages: what one instance reports, the sum of a reader's group, and that of the fleet.
const (
	ownSum sumStage = iota
	groupSum
	fleetSum
)

// sumPath passes a value that is added up over the fleet on: to all instances in a small
// fleet; otherwise each tells its reader, readers exchange the sums of their groups and return
// the sum of all to their members.
type sumPath[V any] struct {
	// own returns this instance's value, and sum the given value with the reports of the
	// named sources.
	own func(now time.Time) V
	sum func(sources []string, value V, now time.Time) V
	// reported records the own value as sent to the reader, whose sum will contain it.
	reported func(V)
	// message returns a message with the value of a stage, or nil if it isn't worth one.
	message func(stage sumStage, value V) *message
}

// share sends this instance's part of the sum.
func (s sumPath[V]) share(p *peers, sequence int64) {
	g := p.gateway
	now := g.Clock.Now()
	own := s.own(now)
	send := func(address string, stage sumStage, value V) {
		if m := s.message(stage, value); m != nil {
			m.Sequence = sequence
			p.send(address, m)
		}
	}
	instances := g.fleet().Instances
	if len(instances) <= smallFleetSize {
		if m := s.message(ownSum, own); m != nil {
			m.Sequence = sequence
			p.broadcast(m)
		}
		return
	}
	reader, found := g.feeds.reader()
	if !found {
		return
	}
	if reader.Name != g.Settings.Instance {
		s.reported(own)
		send(reader.PeerAddress, ownSum, own)
		return
	}
	members, groups := p.activeSources(now)
	group := s.sum(members, own, now)
	for _, other := range g.index().readers {
		if other.Name != g.Settings.Instance {
			send(other.PeerAddress, groupSum, group)
		}
	}
	total := s.sum(groups, group, now)
	for _, name := range members {
		send(instances[name].PeerAddress, fleetSum, total)
	}
}

// activeSources returns the sources that report to this instance, a reader: the members of
// its group, and the groups of other readers.
func (p *peers) activeSources(now time.Time) (members, groups []string) {
	for _, name := range p.gateway.dispatcher.ActivePeers(now) {
		if strings.HasPrefix(name, groupPrefix) {
			groups = append(groups, name)
		} else {
			members = append(members, name)
		}
	}
	return members, groups
}
