// Package cascade decides which model answers a request: a cheap one, a cheap
// one whose answer is judged and escalated if it fails, or a dear one at once.
// It learns from ratings, for each customer and class of task, and meets the
// quality target at the least cost.
package cascade

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Candidate is a model that the customer allows for this request.
type Candidate struct {
	Model string
	// Price is the cost of an answer of this model, in price units.
	Price float64
}

// Query asks for a plan for one request.
type Query struct {
	Customer string
	Class    string
	// Models are the allowed models, in any order; the dearest is the measure
	// of quality.
	Models []Candidate
	// QualityTarget is the share of the dearest model's pass rate to reach.
	QualityTarget float64
	// Judge allows an answer to be judged before it is delivered.
	Judge bool
	// JudgePrice is the cost of one judgement, in price units.
	JudgePrice float64
	// JudgeDelay is how long a judged answer keeps the caller waiting for the
	// first token: the whole cheap answer and the judgement.
	JudgeDelay time.Duration
	// DelayPrice is the cost of one second of delay, in price units.
	DelayPrice float64
	// ExploreShare bounds the share of requests spent on exploration.
	ExploreShare float64
	Now          time.Time
}

// Step is one model to ask. If Judge is set, the answer is delivered only if
// the judge passes it; otherwise the next step runs.
type Step struct {
	Model string
	Judge bool
}

// Plan is the steps for one request, in order, and why they were chosen. It has
// no steps if the query had no models.
type Plan struct {
	Steps  []Step
	Reason string
}

// sortByPrice returns the candidates, cheapest first.
func sortByPrice(models []Candidate) []Candidate {
	sorted := slices.Clone(models)
	slices.SortStableFunc(sorted, func(a, b Candidate) int {
		switch {
		case a.Price < b.Price:
			return -1
		case a.Price > b.Price:
			return 1
		}
		return 0
	})
	return sorted
}

// OutcomeKind says what an Outcome tells.
type OutcomeKind string

// The kinds of outcome.
const (
	// Direct is the rating of an answer delivered without a judgement.
	Direct OutcomeKind = "Direct"
	// Accepted is the rating of an answer that the judge had passed.
	Accepted OutcomeKind = "Accepted"
	// Escalated is the rating of the last model's answer after the judge had
	// turned down the first one.
	Escalated OutcomeKind = "Escalated"
	// Judgement is the judge's own verdict on the first model's answer.
	Judgement OutcomeKind = "Judgement"
)

var kinds = []OutcomeKind{Direct, Accepted, Escalated, Judgement}

// Outcome is one rating or judgement.
type Outcome struct {
	Customer string
	Class    string
	Kind     OutcomeKind
	// Model is the first step's model; for Direct the only one.
	Model string
	Pass  bool
	At    time.Time
}

const (
	// maxClasses bounds the classes of one customer that are told apart; further
	// ones share one belief.
	maxClasses = 64
	// maxEntries bounds the beliefs kept; the oldest go first.
	maxEntries = 10_000
	// otherClasses is the class of those beyond maxClasses.
	otherClasses = "*"
)

// Decider decides and learns. It is safe for concurrent use: deciding reads an
// immutable snapshot and takes no lock.
type Decider struct {
	// entries is replaced when a customer or class is added.
	entries atomic.Pointer[map[classKey]*classEntry]
	mu      sync.Mutex
	// exchange counts own outcomes for other instances, if set.
	exchange *Exchange
}

type classKey struct {
	customer string
	class    string
}

type classEntry struct {
	rates atomic.Pointer[rates]
}

// New returns a Decider that has learned nothing.
func New() *Decider {
	d := &Decider{}
	d.entries.Store(&map[classKey]*classEntry{})
	return d
}

// Decide returns the plan for one request: the cheapest that meets the quality
// target as far as is known, the dearest model at once if none does. A share of
// requests, no more than ExploreShare, gets a plan that little is known of.
func (d *Decider) Decide(q Query, rnd *rand.Rand) Plan {
	models := sortByPrice(q.Models)
	switch len(models) {
	case 0:
		return Plan{Reason: "no model is allowed"}
	case 1:
		return Plan{Steps: []Step{{Model: models[0].Model}}, Reason: "the only model that is allowed"}
	}
	list := d.ratesFor(q.Customer, q.Class).options(q, models)
	o := cheapestOption(list, q.QualityTarget)
	if q.ExploreShare > 0 && rnd.Float64() < q.ExploreShare {
		if e, ok := pickExploration(list, o, q.QualityTarget, rnd); ok {
			e.plan.Reason = "explored " + e.String()
			return e.plan
		}
	}
	if m := bestMix(list, o, q.QualityTarget); m.share > 0 && rnd.Float64() < m.share {
		m.plan.Reason = fmt.Sprintf("%s; for %.0f%% of requests, which %s leaves room for", m.String(), 100*m.share, o.String())
		return m.plan
	}
	o.plan.Reason = fmt.Sprintf("%s; target %.3f of %s", o.String(), q.QualityTarget, list[len(list)-1].String())
	return o.plan
}

// pickExploration picks one of the options that are worth knowing better: those that
// cost less than the best one and are not known yet or may still turn out to meet
// the target, and the dearest model at once, which sets the target, if little is known of it.
func pickExploration(list []option, chosen option, target float64, rnd *rand.Rand) (option, bool) {
	dear := list[len(list)-1]
	worth := slices.DeleteFunc(slices.Clone(list), func(o option) bool {
		if o.cost == dear.cost {
			return o.quality.weight >= exploredWeight || chosen.cost == dear.cost
		}
		return o.cost >= chosen.cost || o.quality.weight >= knownWeight && !o.mayMeetTarget(target, dear.quality)
	})
	if len(worth) == 0 {
		return option{}, false
	}
	return worth[rnd.IntN(len(worth))], true
}

func (d *Decider) ratesFor(customer, class string) rates {
	known := *d.entries.Load()
	e := known[classKey{customer, class}]
	if e == nil {
		e = known[classKey{customer, otherClasses}]
	}
	if e == nil {
		return nil
	}
	return *e.rates.Load()
}

// Observe learns from one outcome.
func (d *Decider) Observe(o Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	good := 0.0
	if o.Pass {
		good = 1
	}
	d.learn(o, good, 1)
	if d.exchange != nil {
		d.exchange.countLocal(o)
	}
}

// learn adds outcomes of one kind, of which good passed; the caller holds mu.
func (d *Decider) learn(o Outcome, good, total float64) {
	e := d.entry(o.Customer, o.Class)
	next := e.rates.Load().withOutcomes(o, good, total)
	e.rates.Store(&next)
}

// ModelChanged notes that a model runs another version from now on: what is known of
// it counts for less, so that its plans have to prove themselves again.
func (d *Decider) ModelChanged(model string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range *d.entries.Load() {
		next := slices.Clone(*e.rates.Load())
		for i := range next {
			if next[i].model == model {
				next[i] = next[i].capped(weightAfterModelChange)
			}
		}
		e.rates.Store(&next)
	}
}

// entry returns the entry to learn in, adding it if there is room; the caller
// holds mu.
func (d *Decider) entry(customer, class string) *classEntry {
	known := *d.entries.Load()
	if e := known[classKey{customer, class}]; e != nil {
		return e
	}
	classes := 0
	for k := range known {
		if k.customer == customer {
			classes++
		}
	}
	if classes >= maxClasses {
		class = otherClasses
		if e := known[classKey{customer, class}]; e != nil {
			return e
		}
	}
	next := maps.Clone(known)
	if len(next) >= maxEntries {
		evictOldest(next)
	}
	e := &classEntry{}
	e.rates.Store(&rates{})
	next[classKey{customer, class}] = e
	d.entries.Store(&next)
	return e
}

// evictOldest makes room by an eighth, so that it is seldom needed.
func evictOldest(known map[classKey]*classEntry) {
	keys := slices.SortedFunc(maps.Keys(known), func(a, b classKey) int {
		return known[a].rates.Load().lastOutcomeAt().Compare(known[b].rates.Load().lastOutcomeAt())
	})
	for _, k := range keys[:len(keys)/8] {
		delete(known, k)
	}
}
