package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// Action is what the evidence calls for.
type Action string

// The actions.
const (
	ActionHold     Action = "Hold"     // stay at the current stage
	ActionAdvance  Action = "Advance"  // move to the next stage, or complete the rollout
	ActionHalt     Action = "Halt"     // start no new sessions on the new version
	ActionWithdraw Action = "Withdraw" // send no new requests to the new version
	ActionPrepare  Action = "Prepare"  // take the share back until servers are warm
)

const (
	// MinStageDuration is the minimum duration of a stage at pace 1.
	MinStageDuration = 2 * time.Minute
	// MinRatings is the number of rated answers of the new version that a stage
	// needs before the next one starts.
	MinRatings = 150
	// withdrawAlpha is the probability that a version of equal quality is
	// withdrawn.
	withdrawAlpha = 1e-5
	// holdThreshold is the fraction of a metric's limit, on the logarithmic
	// scale, from which its evidence prevents the next stage.
	holdThreshold = 0.5
)

// DecisionInput holds everything that a decision on a rollout depends on.
type DecisionInput struct {
	Rollout *configuration.Rollout
	Old     Summary
	New     Summary
	// Pace is the preset's rollout pace. At 0 or below no further stage starts.
	Pace float64
	Now  time.Time
}

// newDecisionInput gathers the evidence on a rollout.
func newDecisionInput(e *Evidence, recent windows, r *configuration.Rollout, pace float64, now time.Time) DecisionInput {
	in := DecisionInput{
		Rollout: r,
		Old:     e.VersionSummary(r.Model, r.From),
		New:     e.VersionSummary(r.Model, r.To),
		Pace:    pace,
		Now:     now,
	}
	in.New.Recent = recent.forModel(r.Model).recent(now, TrialID(r), in.New.Counts)
	return in
}

// Decision is an action with the evidence it is based on.
type Decision struct {
	Action Action
	Reason string
}

// Decide evaluates the evidence on the new version. Strong evidence on a severe
// metric withdraws the version. Evidence above any metric's limit halts a
// running rollout.
func Decide(in DecisionInput) Decision {
	worst, excess := worstMetric(in)
	switch {
	case worst.severe && worst.evidence >= math.Log(1/withdrawAlpha):
		return Decision{ActionWithdraw, worst.reason(withdrawAlpha)}
	case excess >= 0 && in.Rollout.State == configuration.RolloutRunning:
		return Decision{ActionHalt, worst.reason(worst.alpha)}
	case in.Rollout.State != configuration.RolloutRunning:
		return Decision{ActionHold, "the rollout is " + string(in.Rollout.State)}
	}
	return decideStage(in, worst, excess)
}

// maxPrintedEvidence limits the logarithm of the odds that are printed.
const maxPrintedEvidence = 30

// metricEvidence is a metric and the evidence against the new version in it, as
// the logarithm of a Bayes factor.
type metricEvidence struct {
	metric
	evidence float64
}

func (w *metricEvidence) reason(alpha float64) string {
	return fmt.Sprintf("%s; evidence %.0f:1 against the new version, limit %.0f:1", w.String(), math.Exp(min(w.evidence, maxPrintedEvidence)), 1/alpha)
}

// worstMetric returns the metric whose evidence exceeds its limit by the most,
// and by how much. A severe metric that suffices for a withdrawal takes
// precedence, and its evidence is returned in place of the excess.
func worstMetric(in DecisionInput) (metricEvidence, float64) {
	var worst metricEvidence
	excess := math.Inf(-1)
	for _, m := range metrics(in.Rollout, &in.Old, &in.New) {
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

// decideStage decides whether the next stage starts, given that no metric calls
// for a halt.
func decideStage(in DecisionInput, worst metricEvidence, excess float64) Decision {
	if in.Pace <= 0 {
		return Decision{ActionHold, "the preset in force pauses rollouts"}
	}
	minAge := time.Duration(float64(MinStageDuration) / in.Pace)
	if age := in.Now.Sub(in.Rollout.StageAt); age < minAge {
		return Decision{ActionHold, fmt.Sprintf("the stage lasts %s of %s", age.Truncate(time.Second), minAge)}
	}
	if in.New.Rated < MinRatings {
		return Decision{ActionHold, fmt.Sprintf("%d of %d ratings of the new version", in.New.Rated, MinRatings)}
	}
	if excess > -holdThreshold*math.Log(1/worst.alpha) {
		return Decision{ActionHold, "the evidence is inconclusive but against the new version: " + worst.String()}
	}
	return Decision{ActionAdvance, fmt.Sprintf("%d requests, %d of %d ratings passed", in.New.Requests, in.New.Passed, in.New.Rated)}
}
