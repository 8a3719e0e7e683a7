package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// Action is what the evidence says about a roll-out.
type Action string

// The verdicts.
const (
	ActionHold     Action = "Hold"     // go on as it is
	ActionAdvance  Action = "Advance"  // widen to the next stage, or complete
	ActionHalt     Action = "Halt"     // no new sessions on the new version
	ActionWithdraw Action = "Withdraw" // no new work on the new version
	ActionPrepare  Action = "Prepare"  // back to no share until servers are warm
)

const (
	// MinStageDuration is the least time a stage lasts at pace 1.
	MinStageDuration = 2 * time.Minute
	// MinRatings is the number of rated answers of the new version that a stage
	// needs before the next.
	MinRatings = 150
	// withdrawAlpha is the chance that an equal version is withdrawn.
	withdrawAlpha = 1e-5
	// holdThreshold is the part of a metric's limit, on the logarithmic scale, from
	// which on its evidence holds the stage.
	holdThreshold = 0.5
)

// DecisionInput is all that a decision on a roll-out depends on.
type DecisionInput struct {
	Rollout *configuration.Rollout
	Old     Summary
	New     Summary
	// Pace is the preset's; 0 holds the stage.
	Pace float64
	Now  time.Time
}

// newCase gathers the evidence on a roll-out.
func newCase(e *Evidence, recent windows, r *configuration.Rollout, pace float64, now time.Time) DecisionInput {
	c := DecisionInput{
		Rollout: r,
		Old:     e.VersionSummary(r.Model, r.From),
		New:     e.VersionSummary(r.Model, r.To),
		Pace:    pace,
		Now:     now,
	}
	c.New.Recent = recent.forModel(r.Model).recent(now, TrialID(r), c.New.Counts)
	return c
}

// Decision is a verdict with the evidence it rests on.
type Decision struct {
	Action Action
	Reason string
}

// Decide weighs the evidence for and against the new version.
func Decide(c DecisionInput) Decision {
	worst, excess := worstMetric(c)
	switch {
	case worst.severe && worst.evidence >= math.Log(1/withdrawAlpha):
		return Decision{ActionWithdraw, worst.reason(withdrawAlpha)}
	case excess >= 0 && c.Rollout.State == configuration.RolloutRunning:
		return Decision{ActionHalt, worst.reason(worst.alpha)}
	case c.Rollout.State != configuration.RolloutRunning:
		return Decision{ActionHold, "the roll-out is " + string(c.Rollout.State)}
	}
	return decideStage(c, worst, excess)
}

// maxPrintedEvidence bounds the evidence that is printed, on the logarithmic scale.
const maxPrintedEvidence = 30

// metricEvidence is a metric with the evidence against the new version.
type metricEvidence struct {
	metric
	evidence float64
}

func (w *metricEvidence) reason(alpha float64) string {
	return fmt.Sprintf("%s; evidence %.0f:1 against the new version, limit %.0f:1", w.String(), math.Exp(min(w.evidence, maxPrintedEvidence)), 1/alpha)
}

// worstMetric returns the metric that exceeds its limit by the most, and by how
// much; a severe one that suffices for a withdrawal goes first.
func worstMetric(c DecisionInput) (metricEvidence, float64) {
	var worst metricEvidence
	excess := math.Inf(-1)
	for _, m := range metrics(c.Rollout, &c.Old, &c.New) {
		w := metricEvidence{m, logBayesFactor(m.old, m.new, m.floor)}
		if m.severe && w.evidence >= math.Log(1/withdrawAlpha) {
			return w, w.evidence
		}
		if e := w.evidence - math.Log(1/m.alpha); e > excess {
			worst, excess = w, e
		}
	}
	return worst, excess
}

// decideStage decides on the next stage where nothing speaks for a halt.
func decideStage(c DecisionInput, worst metricEvidence, excess float64) Decision {
	if c.Pace <= 0 {
		return Decision{ActionHold, "the preset in force holds roll-outs"}
	}
	least := time.Duration(float64(MinStageDuration) / c.Pace)
	if age := c.Now.Sub(c.Rollout.StageAt); age < least {
		return Decision{ActionHold, fmt.Sprintf("the stage lasts %s of %s", age.Truncate(time.Second), least)}
	}
	if c.New.Rated < MinRatings {
		return Decision{ActionHold, fmt.Sprintf("%d of %d ratings of the new version", c.New.Rated, MinRatings)}
	}
	if excess > -holdThreshold*math.Log(1/worst.alpha) {
		return Decision{ActionHold, "the evidence leans against the new version: " + worst.String()}
	}
	return Decision{ActionAdvance, fmt.Sprintf("%d requests, %d of %d ratings passed", c.New.Requests, c.New.Passed, c.New.Rated)}
}
