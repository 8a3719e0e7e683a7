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

// speedSums are sums of a kind that have lately changed.
type speedSums struct {
	kind   speed.Kind
	report speed.Report
}

// shareSpeeds sends what is new of the servers' speeds.
func (p *peers) shareSpeeds(sequence int64) {
	speeds := p.gateway.dispatcher.Speeds()
	sums := func(k speed.Kind, now time.Time) speedSums { return speedSums{k, speeds.Report(k, now)} }
	sumPath[speedSums]{
		own:      func(now time.Time) speedSums { return sums(speed.Own, now) },
		sum:      func(_ []string, s speedSums, now time.Time) speedSums { return sums(s.kind+1, now) },
		reported: func(speedSums) {},
		message: func(_ sumStage, s speedSums) *message {
			switch {
			case s.report == nil:
				return nil
			case s.kind == speed.Group:
				return &message{Speeds: &speedsMessage{Group: s.report}}
			case s.kind == speed.Fleet:
				return &message{Speeds: &speedsMessage{Fleet: s.report}}
			}
			return &message{Speeds: &speedsMessage{Own: s.report}}
		},
	}.share(p, sequence)
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
