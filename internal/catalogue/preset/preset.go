// Package preset defines the default presets and describes the effects of a
// switch from one preset to another.
package preset

import (
	"fmt"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// The names of the default presets.
const (
	Ordinary    = "Ordinary"
	Peak        = "Peak"
	Maintenance = "Maintenance"
)

// Defaults returns the default presets. Ordinary is the one to start with.
func Defaults() []configuration.Preset {
	return []configuration.Preset{
		{Name: Ordinary, QualityTarget: 0.95, Judge: true, DelayPrice: 0.5, ShedAt: 0.9, RampSeconds: 30, RolloutPace: 1, ExploreShare: 0.05},
		{Name: Peak, QualityTarget: 0.9, Judge: false, DelayPrice: 4, ShedAt: 0.8, RampSeconds: 60, RolloutPace: 0, ExploreShare: 0},
		{Name: Maintenance, QualityTarget: 0.95, Judge: true, DelayPrice: 0.5, ShedAt: 0.75, RampSeconds: 90, RolloutPace: 0.5, ExploreShare: 0.02},
	}
}

// Explain returns one line for each field that differs between two presets,
// with the effect on the traffic. It returns no lines if the presets do not
// differ.
func Explain(from, to configuration.Preset) []string {
	var lines []string
	add := func(changed bool, format string, args ...any) {
		if changed {
			lines = append(lines, fmt.Sprintf(format, args...))
		}
	}
	add(from.QualityTarget != to.QualityTarget,
		"QualityTarget=%v->%v: answers must reach %v of the most expensive model's pass rate", from.QualityTarget, to.QualityTarget, to.QualityTarget)
	add(from.Judge != to.Judge, "Judge=%v->%v: %s", from.Judge, to.Judge, judgeEffect(to))
	add(from.DelayPrice != to.DelayPrice,
		"DelayPrice=%v->%v: one second of delay counts as a cost of %v price units", from.DelayPrice, to.DelayPrice, to.DelayPrice)
	add(from.ShedAt != to.ShedAt,
		"ShedAt=%v->%v: new sessions are refused above %v%% utilisation; sessions in progress continue", from.ShedAt, to.ShedAt, 100*to.ShedAt)
	add(from.RampSeconds != to.RampSeconds,
		"RampSeconds=%v->%v: a cold server receives its full load after %v s at the earliest", from.RampSeconds, to.RampSeconds, to.RampSeconds)
	add(from.RolloutPace != to.RolloutPace, "RolloutPace=%v->%v: %s", from.RolloutPace, to.RolloutPace, paceEffect(to))
	add(from.ExploreShare != to.ExploreShare,
		"ExploreShare=%v->%v: at most %v%% of requests are used for exploration", from.ExploreShare, to.ExploreShare, 100*to.ExploreShare)
	return lines
}

func judgeEffect(to configuration.Preset) string {
	if to.Judge {
		return "cheap answers may be judged before they are delivered, which delays their first token"
	}
	return "no answer waits for a judge; classes that the cheap model fails go directly to the expensive model"
}

func paceEffect(to configuration.Preset) string {
	if to.RolloutPace == 0 {
		return "rollouts stay in their current stage; they can still be halted or withdrawn"
	}
	return fmt.Sprintf("a rollout stage lasts at least %v times its normal minimum duration", 1/to.RolloutPace)
}
