package cascade

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// zScore is the number of standard errors that a plan's quality is
	// discounted by.
	zScore = 2.0
	// exploredWeight is the weight from which on the dearest model needs no exploration.
	exploredWeight = 400.0
	// knownWeight is the weight up to which any cheaper plan is worth exploring, and
	// from which on it may be mixed in.
	knownWeight = 100.0
	// mixMargin is the quality that a mix keeps above the target, so that chance
	// does not carry a thousand requests below it.
	mixMargin = 0.015
	// priorMean is the prior mean of a rate that nothing is known of.
	priorMean = 0.5
)

// option is one plan with what it is expected to do.
type option struct {
	plan    Plan
	cost    float64
	quality estimate
}

// options lists the plans for a query, the dearest model at once last.
func (b rates) options(q Query, models []Candidate) []option {
	dear := models[len(models)-1]
	var list []option
	for i, m := range models {
		last := i == len(models)-1
		direct := b.get(m.Model, Direct).estimate(priorMean, q.Now)
		if q.Judge && !last {
			list = append(list, b.judgedOption(q, m, dear))
		}
		list = append(list, option{
			plan:    Plan{Steps: []Step{{Model: m.Model}}},
			cost:    m.Price,
			quality: direct,
		})
	}
	return list
}

// judgedOption is the plan of a cheap model whose answer is judgedOption, then the dear one.
// The quality is that of accepted and of escalated answers, weighed by the
// share that the judge accepts.
func (b rates) judgedOption(q Query, cheap, dear Candidate) option {
	dearest := b.get(dear.Model, Direct).estimate(priorMean, q.Now)
	accept := b.get(cheap.Model, Judgement).estimate(priorMean, q.Now)
	accepted := b.get(cheap.Model, Accepted).estimate(priorMean, q.Now)
	escalated := b.get(cheap.Model, Escalated).estimate(dearest.mean, q.Now)
	a := accept.mean
	variance := squared(a*accepted.stdErr) + squared((1-a)*escalated.stdErr) + squared((accepted.mean-escalated.mean)*accept.stdErr)
	return option{
		plan: Plan{Steps: []Step{{Model: cheap.Model, Judge: true}, {Model: dear.Model}}},
		cost: cheap.Price + q.JudgePrice + (1-a)*dear.Price + q.DelayPrice*q.JudgeDelay.Seconds(),
		quality: estimate{
			mean:   a*accepted.mean + (1-a)*escalated.mean,
			stdErr: math.Sqrt(variance),
			weight: accepted.weight + escalated.weight,
		},
	}
}

func squared(x float64) float64 { return x * x }

// meetsTarget reports whether the option meets the target for sure enough, against
// a dearest model that may be better than it has shown.
func (o *option) meetsTarget(target float64, dear estimate) bool {
	return o.quality.mean-zScore*o.quality.stdErr >= target*math.Min(dear.mean+zScore*dear.stdErr, 1)
}

// mayMeetTarget reports whether the option could still turn out to meet the target.
func (o *option) mayMeetTarget(target float64, dear estimate) bool {
	return o.quality.mean+zScore*o.quality.stdErr >= target*(dear.mean-zScore*dear.stdErr)
}

// cheapestOption returns the cheapest option that meets the target, else the last.
func cheapestOption(list []option, target float64) option {
	chosen := list[len(list)-1]
	dear := chosen.quality
	for _, o := range list {
		if o.cost < chosen.cost && o.meetsTarget(target, dear) {
			chosen = o
		}
	}
	return chosen
}

// mix is a cheaper option for a share of requests that spends the slack in
// quality of the chosen one.
type mix struct {
	option
	share float64
}

// bestMix returns the mix with the chosen option that costs least. Only options
// that are known are bestMix in.
func bestMix(list []option, chosen option, target float64) mix {
	dear := list[len(list)-1].quality
	low := chosen.quality.mean - zScore*chosen.quality.stdErr
	slack := low - target*math.Min(dear.mean+zScore*dear.stdErr, 1) - mixMargin
	var found mix
	saved := 0.0
	for _, o := range list {
		loss := low - (o.quality.mean - zScore*o.quality.stdErr)
		if o.cost >= chosen.cost || o.quality.weight < knownWeight || slack <= 0 || loss <= 0 {
			continue
		}
		share := math.Min(slack/loss, 1)
		if s := share * (chosen.cost - o.cost); s > saved {
			found, saved = mix{o, share}, s
		}
	}
	return found
}

func (o *option) String() string {
	name := o.plan.Steps[0].Model
	if o.plan.Steps[0].Judge {
		name += " judged, then " + o.plan.Steps[1].Model
	}
	return fmt.Sprintf("%s: cost %.2f, pass rate %.3f±%.3f", name, o.cost, o.quality.mean, zScore*o.quality.stdErr)
}

// rates is what is known of one customer and class. It is immutable.
type rates []rate

func (b rates) get(model string, kind OutcomeKind) rate {
	for i := range b {
		if b[i].model == model && b[i].kind == kind {
			return b[i]
		}
	}
	return rate{model: model, kind: kind}
}

// withOutcomes returns the beliefs after more outcomes of one kind.
func (b rates) withOutcomes(o Outcome, good, total float64) rates {
	next := slices.Clone(b)
	i := slices.IndexFunc(next, func(x rate) bool { return x.model == o.Model && x.kind == o.Kind })
	if i < 0 {
		next = append(next, rate{model: o.Model, kind: o.Kind})
		i = len(next) - 1
	}
	next[i].observe(good, total, o.At)
	return next
}

// lastOutcomeAt returns the time of the lastOutcomeAt outcome.
func (b rates) lastOutcomeAt() time.Time {
	var at time.Time
	for i := range b {
		if b[i].lastObserved.After(at) {
			at = b[i].lastObserved
		}
	}
	return at
}
