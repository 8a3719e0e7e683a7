package gateway

import (
	"expvar"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/routing/speed"
)

// speedsMessage carries what servers have stated of their speed, along the paths of the
// backlog: to all instances in a small fleet, otherwise as the sender's own sums to its
// reader, as those of its group between readers, and as those of the fleet to the members.
type speedsMessage struct {
	Own   speed.Report `json:",omitzero"`
	Group speed.Report `json:",omitzero"`
	Fleet speed.Report `json:",omitzero"`
}

// shareSpeeds sends what is new of the servers' speeds.
func (p *peers) shareSpeeds(sequence int64) {
	g := p.gateway
	now, speeds := g.Clock.Now(), g.dispatcher.Speeds()
	instances := g.fleet().Instances
	own := func() *message {
		return speedsOf(sequence, speedsMessage{Own: speeds.Report(speed.Own, now)})
	}
	if len(instances) <= smallFleetSize {
		if m := own(); m != nil {
			p.broadcast(m)
		}
		return
	}
	reader, found := g.feeds.reader()
	if !found {
		return
	}
	if reader.Name != g.Settings.Instance {
		if m := own(); m != nil {
			p.send(reader.PeerAddress, m)
		}
		return
	}
	if m := speedsOf(sequence, speedsMessage{Group: speeds.Report(speed.Group, now)}); m != nil {
		for _, other := range g.index().readers {
			if other.Name != g.Settings.Instance {
				p.send(other.PeerAddress, m)
			}
		}
	}
	if m := speedsOf(sequence, speedsMessage{Fleet: speeds.Report(speed.Fleet, now)}); m != nil {
		for _, name := range g.dispatcher.ActivePeers(now) {
			p.send(instances[name].PeerAddress, m) // the names of groups have no address
		}
	}
}

// speedsOf returns a message with the sums, or nil if there are none.
func speedsOf(sequence int64, s speedsMessage) *message {
	if s.Own == nil && s.Group == nil && s.Fleet == nil {
		return nil
	}
	return &message{Sequence: sequence, Speeds: &s}
}

// mergeSpeeds takes in the sums of a message.
func (p *peers) mergeSpeeds(m *message, now time.Time) {
	speeds := p.gateway.dispatcher.Speeds()
	for kind, report := range map[speed.Kind]speed.Report{speed.Own: m.Speeds.Own, speed.Group: m.Speeds.Group, speed.Fleet: m.Speeds.Fleet} {
		if report != nil {
			speeds.Merge(m.From, kind, m.Run, m.Sequence, report, now)
		}
	}
}

// maxSlowestServers bounds the servers in the metric ServerSpeeds.
const maxSlowestServers = 20

// publishSpeeds publishes what is known of the servers' speeds.
func (g *Gateway) publishSpeeds() {
	speedGauges.Set("Known", expvar.Func(func() any {
		known, _ := g.dispatcher.Speeds().Slowest(0, g.Clock.Now())
		return known
	}))
	speedGauges.Set("Slowest", expvar.Func(func() any {
		_, slowest := g.dispatcher.Speeds().Slowest(maxSlowestServers, g.Clock.Now())
		return slowest
	}))
}

// speedGauges holds the number of servers that have stated a pace, and the slowest ones.
var speedGauges = expvar.NewMap("ServerSpeeds")
