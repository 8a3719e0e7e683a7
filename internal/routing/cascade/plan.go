package cascade

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// confidence is the number of standard errors that a plan's quality is
	// discounted by.
	confidence = 2.0
	// learned is the weight from which on the dearest model needs no exploration.
	learned = 400.0
	// known is the weight up to which any cheaper plan is worth exploring, and
	// from which on it may be mixed in.
	known = 100.0
	// reserve is the quality that a mix keeps above the target, so that chance
	// does not carry a thousand requests below it.
	reserve = 0.015
	// unknownRate is the prior mean of a rate that nothing is known of.
	unknownRate = 0.5
)

// option is one plan with what it is expected to do.
type option struct {
	plan    Plan
	cost    float64
	quality estimate
}

// options lists the plans for a query, the dearest model at once last.
func (b beliefs) options(q Query, models []Candidate) []option {
	dear := models[len(models)-1]
	var list []option
	for i, m := range models {
		last := i == len(models)-1
		direct := b.of(m.Model, Direct).estimate(unknownRate, q.Now)
		if q.Judge && !last {
			list = append(list, b.judged(q, m, dear))
		}
		list = append(list, option{
			plan:    Plan{Steps: []Step{{Model: m.Model}}},
			cost:    m.Price,
			quality: direct,
		})
	}
	return list
}

// judged is the plan of a cheap model whose answer is judged, then the dear one.
// The quality is that of accepted and of escalated answers, weighed by the
// share that the judge accepts.
func (b beliefs) judged(q Query, cheap, dear Candidate) option {
	dearest := b.of(dear.Model, Direct).estimate(unknownRate, q.Now)
	accept := b.of(cheap.Model, Judgement).estimate(unknownRate, q.Now)
	accepted := b.of(cheap.Model, Accepted).estimate(unknownRate, q.Now)
	escalated := b.of(cheap.Model, Escalated).estimate(dearest.mean, q.Now)
	a := accept.mean
	variance := square(a*accepted.sd) + square((1-a)*escalated.sd) + square((accepted.mean-escalated.mean)*accept.sd)
	return option{
		plan: Plan{Steps: []Step{{Model: cheap.Model, Judge: true}, {Model: dear.Model}}},
		cost: cheap.Price + q.JudgePrice + (1-a)*dear.Price + q.DelayPrice*q.JudgeDelay.Seconds(),
		quality: estimate{
			mean:   a*accepted.mean + (1-a)*escalated.mean,
			sd:     math.Sqrt(variance),
			weight: accepted.weight + escalated.weight,
		},
	}
}

func square(x float64) float64 { return x * x }

// reaches reports whether the option meets the target for sure enough, against
// a dearest model that may be better than it has shown.
func (o *option) reaches(target float64, dear estimate) bool {
	return o.quality.mean-confidence*o.quality.sd >= target*math.Min(dear.mean+confidence*dear.sd, 1)
}

// mayReach reports whether the option could still turn out to meet the target.
func (o *option) mayReach(target float64, dear estimate) bool {
	return o.quality.mean+confidence*o.quality.sd >= target*(dear.mean-confidence*dear.sd)
}

// best returns the cheapest option that meets the target, else the last.
func best(list []option, target float64) option {
	chosen := list[len(list)-1]
	dear := chosen.quality
	for _, o := range list {
		if o.cost < chosen.cost && o.reaches(target, dear) {
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

// mixed returns the mix with the chosen option that costs least. Only options
// that are known are mixed in.
func mixed(list []option, chosen option, target float64) mix {
	dear := list[len(list)-1].quality
	low := chosen.quality.mean - confidence*chosen.quality.sd
	slack := low - target*math.Min(dear.mean+confidence*dear.sd, 1) - reserve
	var found mix
	saved := 0.0
	for _, o := range list {
		loss := low - (o.quality.mean - confidence*o.quality.sd)
		if o.cost >= chosen.cost || o.quality.weight < known || slack <= 0 || loss <= 0 {
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
	return fmt.Sprintf("%s: cost %.2f, pass rate %.3f±%.3f", name, o.cost, o.quality.mean, confidence*o.quality.sd)
}

// beliefs is what is known of one customer and class. It is immutable.
type beliefs []belief

func (b beliefs) of(model string, kind OutcomeKind) belief {
	for i := range b {
		if b[i].model == model && b[i].kind == kind {
			return b[i]
		}
	}
	return belief{model: model, kind: kind}
}

// with returns the beliefs after more outcomes of one kind.
func (b beliefs) with(o Outcome, good, total float64) beliefs {
	next := slices.Clone(b)
	i := slices.IndexFunc(next, func(x belief) bool { return x.model == o.Model && x.kind == o.Kind })
	if i < 0 {
		next = append(next, belief{model: o.Model, kind: o.Kind})
		i = len(next) - 1
	}
	next[i].observe(good, total, o.At)
	return next
}

// latest returns the time of the latest outcome.
func (b beliefs) latest() time.Time {
	var at time.Time
	for i := range b {
		if b[i].at.After(at) {
			at = b[i].at
		}
	}
	return at
}
