package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// TrialID returns the ID of the rollout's current trial. It changes with every
// stage and every resumption, so that each is judged on its own evidence.
func TrialID(r *configuration.Rollout) string { return trialIDAt(r, r.StageAt) }

func trialIDAt(r *configuration.Rollout, at time.Time) string {
	return fmt.Sprintf("%s/%d", r.ID, at.UnixMilli())
}

// baselineTrialID returns the ID of the latest trial in which the old version
// still had a share of new sessions, or "" if there is none. The last stage has
// no outcomes of the old version and is compared with the stage before it.
func baselineTrialID(r *configuration.Rollout) string {
	for i := len(r.History) - 1; i >= 0; i-- {
		if s := r.History[i]; s.Share > 0 && s.Share < 1 {
			return trialIDAt(r, s.At)
		}
	}
	return ""
}

// trialIDsSinceResume returns the IDs of the trials since the latest start or
// resumption. Their combined evidence is judged in addition to that of the
// current stage.
func trialIDsSinceResume(r *configuration.Rollout) []string {
	var list []string
	for i := len(r.History) - 1; i >= 0; i-- {
		switch s := r.History[i]; {
		case s.Share > 0:
			list = append(list, trialIDAt(r, s.At))
		case len(list) > 0:
			return list
		}
	}
	return list
}

// trialIndex holds the trials of one document by model, so that counting an
// outcome needs at most two map lookups.
type trialIndex struct {
	doc    *configuration.Document
	models map[string]*modelTrials
}

type modelTrials struct {
	from, to string
	// current and baseline are the trials for which outcomes of to and from
	// count now. kept lists all trials whose evidence is still used.
	current  string
	baseline string
	kept     []string
}

func newTrialIndex(doc *configuration.Document) *trialIndex {
	x := &trialIndex{doc: doc, models: map[string]*modelTrials{}}
	if doc == nil {
		return x
	}
	for _, m := range doc.Models {
		r := doc.LatestRollout(m.Name)
		if r == nil || !collectsEvidence(r.State) {
			continue
		}
		trials := &modelTrials{from: r.From, to: r.To, current: TrialID(r), baseline: baselineTrialID(r)}
		trials.kept = append(trialIDsSinceResume(r), trials.current)
		if trials.baseline != "" {
			trials.kept = append(trials.kept, trials.baseline)
		}
		x.models[m.Name] = trials
	}
	return x
}

// currentTrialID returns the trial for which outcomes of the version count now,
// or "" if they are not evidence.
func (x *trialIndex) currentTrialID(model, version string) string {
	m := x.models[model]
	switch {
	case m == nil:
		return ""
	case version == m.to:
		return m.current
	case version == m.from:
		return m.baseline
	}
	return ""
}

// isKept reports whether the evidence of the trial is still used.
func (x *trialIndex) isKept(model, trial string) bool {
	m := x.models[model]
	return m != nil && slices.Contains(m.kept, trial)
}

// collectsEvidence reports whether evidence is kept for a rollout in this
// state. A halted rollout still gets outcomes from sessions in progress. A
// complete one is monitored.
func collectsEvidence(s configuration.RolloutState) bool {
	return s == configuration.RolloutRunning || s == configuration.RolloutHalted || s == configuration.RolloutComplete
}

// isMonitored reports whether the rollout is complete and the evidence may
// still withdraw its new version.
func isMonitored(r *configuration.Rollout, now time.Time) bool {
	n := len(r.History)
	return r.State == configuration.RolloutComplete && n > 0 && now.Sub(r.History[n-1].At) < MonitorDuration
}

// isInProgress reports whether a rollout in this state has not ended.
func isInProgress(s configuration.RolloutState) bool {
	return s == configuration.RolloutPreparing || s == configuration.RolloutRunning || s == configuration.RolloutHalted
}
