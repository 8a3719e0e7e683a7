package gateway

import (
	"time"

	"github.com/kingcupyard/kingcupyard/internal/routing/sizing"
)

// confidenceInterval is the time between reports of the confidence that models report.
const confidenceInterval = 2 * time.Second

// shareConfidence passes the counts of models' confidence on, along the paths of
// shareBacklog.
func (p *peers) shareConfidence(sequence int64) {
	calibration := p.gateway.calibration
	sumPath[sizing.Counts]{
		own:      calibration.Own,
		sum:      calibration.Sum,
		reported: calibration.SetReported,
		message: func(stage sumStage, c sizing.Counts) *message {
			switch stage {
			case groupSum:
				return &message{GroupConfidence: c}
			case fleetSum:
				return &message{TotalConfidence: c}
			}
			return &message{Confidence: c}
		},
	}.share(p, sequence)
}

// handleConfidence applies the parts of a message that concern models' confidence.
func (p *peers) handleConfidence(m *message, now time.Time) {
	calibration := p.gateway.calibration
	if m.Confidence != nil {
		calibration.UpdateSource(m.From, m.Run, m.Sequence, m.Confidence, now)
	}
	if m.GroupConfidence != nil {
		calibration.UpdateSource(groupPrefix+m.From, m.Run, m.Sequence, m.GroupConfidence, now)
	}
	if m.TotalConfidence != nil {
		calibration.UpdateTotal(m.From, m.Run, m.Sequence, m.TotalConfidence, now)
	}
}
