package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// TrialID names the present stretch of a roll-out: it changes with every stage
// and every resumption, so that each is judged on evidence of its own.
func TrialID(r *configuration.Rollout) string { return trialIDAt(r, r.StageAt) }

func trialIDAt(r *configuration.Rollout, at time.Time) string {
	return fmt.Sprintf("%s/%d", r.ID, at.UnixMilli())
}

// baselineTrialID names the latest stretch in which the old version still had a share
// of new sessions. The last stage has none of its own and is measured against
// the stage before.
func baselineTrialID(r *configuration.Rollout) string {
	for i := len(r.History) - 1; i >= 0; i-- {
		if s := r.History[i]; s.Share > 0 && s.Share < 1 {
			return trialIDAt(r, s.At)
		}
	}
	return ""
}

// trialIDsSinceResume names the stretches since the latest start or resumption, on whose
// evidence together the roll-out is judged beside that of the present stage.
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

// trialIndex holds the trials of one document by model, so that counting an outcome
// needs no more than two look-ups.
type trialIndex struct {
	doc    *configuration.Document
	models map[string]*modelTrials
}

type modelTrials struct {
	from, to string
	// current and baseline are the trials that outcomes of to and from count
	// for now; kept are all whose evidence is still of use.
	current  string
	baseline string
	kept     []string
}

func newIndex(doc *configuration.Document) *trialIndex {
	x := &trialIndex{doc: doc, models: map[string]*modelTrials{}}
	if doc == nil {
		return x
	}
	for _, m := range doc.Models {
		r := doc.RolloutOf(m.Name)
		if r == nil || !collectsEvidence(r.State) {
			continue
		}
		mx := &modelTrials{from: r.From, to: r.To, current: TrialID(r), baseline: baselineTrialID(r)}
		mx.kept = append(trialIDsSinceResume(r), mx.current)
		if mx.baseline != "" {
			mx.kept = append(mx.kept, mx.baseline)
		}
		x.models[m.Name] = mx
	}
	return x
}

// currentTrialID returns the currentTrialID that outcomes of the version count for now, "" if
// they are not evidence.
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

// isKept reports whether evidence of this trial is still of use.
func (x *trialIndex) isKept(model, trial string) bool {
	m := x.models[model]
	return m != nil && slices.Contains(m.kept, trial)
}

// collectsEvidence reports whether evidence is kept in this state. A halted roll-out
// still gets some from the sessions in progress, a complete one is watched.
func collectsEvidence(s configuration.RolloutState) bool {
	return s == configuration.RolloutRunning || s == configuration.RolloutHalted || s == configuration.RolloutComplete
}

// isMonitored reports whether a complete roll-out may still be withdrawn by the
// evidence.
func isMonitored(r *configuration.Rollout, now time.Time) bool {
	n := len(r.History)
	return r.State == configuration.RolloutComplete && n > 0 && now.Sub(r.History[n-1].At) < MonitorDuration
}

// isInProgress reports whether a roll-out in this state may still change.
func isInProgress(s configuration.RolloutState) bool {
	return s == configuration.RolloutPreparing || s == configuration.RolloutRunning || s == configuration.RolloutHalted
}
