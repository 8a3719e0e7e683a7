package gateway

import (
	"time"

	"github.com/kingcupyard/kingcupyard/internal/routing/share"
)

// useInterval is the time between reports of customers' uses.
const useInterval = time.Second

// shareUses passes the customers' uses on, along the paths of shareBacklog. Each message
// holds the heaviest ones only.
func (p *peers) shareUses(sequence int64) {
	shares := p.gateway.rooms.shares
	sumPath[share.Uses]{
		own: shares.Own,
		sum: shares.Sum,
		reported: func(own share.Uses) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.lastUses = own
		},
		message: func(stage sumStage, u share.Uses) *message {
			switch stage {
			case groupSum:
				return &message{GroupUses: u}
			case fleetSum:
				return &message{TotalUses: u}
			}
			return &message{Uses: u}
		},
	}.share(p, sequence)
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
