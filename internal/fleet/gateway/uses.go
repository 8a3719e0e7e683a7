package gateway

import (
	"strings"
	"time"
)

// useInterval is the time between reports of customers' uses.
const useInterval = time.Second

// shareUses passes the customers' uses on, along the paths of shareBacklog. Each message
// holds the heaviest ones only.
func (p *peers) shareUses(sequence int64) {
	g := p.gateway
	now, shares := g.Clock.Now(), g.rooms.shares
	own := shares.Own(now)
	instances := g.fleet().Instances
	if len(instances) <= smallFleetSize {
		p.broadcast(&message{Sequence: sequence, Uses: own})
		return
	}
	reader, found := g.feeds.reader()
	if !found {
		return
	}
	if reader.Name != g.Settings.Instance {
		p.mu.Lock()
		p.lastUses = own
		p.mu.Unlock()
		p.send(reader.PeerAddress, &message{Sequence: sequence, Uses: own})
		return
	}
	var members, groups []string
	for _, name := range g.dispatcher.ActivePeers(now) {
		if strings.HasPrefix(name, groupPrefix) {
			groups = append(groups, name)
		} else {
			members = append(members, name)
		}
	}
	group := shares.Sum(members, own, now)
	for _, other := range g.index().readers {
		if other.Name != g.Settings.Instance {
			p.send(other.PeerAddress, &message{Sequence: sequence, GroupUses: group})
		}
	}
	total := shares.Sum(groups, group, now)
	for _, name := range members {
		p.send(instances[name].PeerAddress, &message{Sequence: sequence, TotalUses: total})
	}
}

// handleUses applies the parts of a message that concern customers' uses.
func (p *peers) handleUses(m *message, now time.Time) {
	shares := p.gateway.rooms.shares
	if m.Uses != nil {
		shares.UpdateSource(m.From, m.Run, m.Sequence, m.Uses, now)
	}
	if m.GroupUses != nil {
		shares.UpdateSource(groupPrefix+m.From, m.Run, m.Sequence, m.GroupUses, now)
	}
	if m.TotalUses != nil {
		p.mu.Lock()
		rest := m.TotalUses.Subtract(p.lastUses)
		p.mu.Unlock()
		shares.UpdateTotal(m.From, m.Run, m.Sequence, rest, now)
	}
}
