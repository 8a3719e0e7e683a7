// Package cascade decides which model answers a request: a cheap model, a cheap
// model whose answer is judged and which is followed by an expensive model if the
// judge rejects it, or an expensive model at once. It learns the pass rates of
// the models from ratings, separately for each customer and class of task, and
// picks the cheapest plan that meets the quality target.
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

// Candidate is a model that the customer may use for this request.
type Candidate struct {
	Model string
	// Price is the cost of one answer of this model, in price units.
	Price float64
}

// Query describes one request for which a plan is needed.
type Query struct {
	Customer string
	Class    string
	// Models are the allowed models, in any order. The most expensive one sets
	// the standard of quality.
	Models []Candidate
	// QualityTarget is the share of the most expensive model's pass rate that
	// the plan must reach.
	QualityTarget float64
	// Judge allows an answer to be judged before it is delivered.
	Judge bool
	// JudgePrice is the cost of one judgement, in price units.
	JudgePrice float64
	// JudgeDelay is how much longer the caller waits for the first token of a
	// judged answer: until the cheap model's whole answer and the judgement are
	// complete.
	JudgeDelay time.Duration
	// DelayPrice is the cost of one second of delay, in price units.
	DelayPrice float64
	// ExploreShare is the largest share of requests that are spent on
	// exploration.
	ExploreShare float64
	Now          time.Time
}

// Step is one model to ask. If Judge is set, the answer is delivered only if
// the judge passes it; otherwise the next step runs.
type Step struct {
	Model string
	Judge bool
}

// Plan holds the steps for one request, in order, and the reason for choosing
// them. It has no steps if the query has no models.
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

// OutcomeKind says what an Outcome measures.
type OutcomeKind string

// The kinds of outcome.
const (
	// Direct is the rating of an answer that was delivered without a judgement.
	Direct OutcomeKind = "Direct"
	// Accepted is the rating of an answer that the judge passed.
	Accepted OutcomeKind = "Accepted"
	// Escalated is the rating of the last model's answer, after the judge
	// rejected the first model's answer.
	Escalated OutcomeKind = "Escalated"
	// Judgement is the judge's verdict on the first model's answer.
	Judgement OutcomeKind = "Judgement"
)

var kinds = []OutcomeKind{Direct, Accepted, Escalated, Judgement}

// Outcome is one rating or judgement.
type Outcome struct {
	Customer string
	Class    string
	Kind     OutcomeKind
	// Model is the model of the first step, for Direct the only one.
	Model string
	Pass  bool
	At    time.Time
}

const (
	// maxClasses is how many classes of one customer are told apart. The others
	// share one set of rates.
	maxClasses = 64
	// maxEntries is how many sets of rates are kept. The oldest are evicted
	// first.
	maxEntries = 10_000
	// otherClasses is the class that stands for those beyond maxClasses.
	otherClasses = "*"
)

// Decider chooses plans and learns from their outcomes. It is safe for
// concurrent use. Deciding reads an immutable snapshot and takes no lock.
type Decider struct {
	// entries is replaced when a customer or class is added.
	entries atomic.Pointer[map[classKey]*classEntry]
	mu      sync.Mutex
	// exchange counts this instance's outcomes for other instances, if it is
	// set.
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

// Decide returns the plan for one request: the cheapest plan that meets the
// quality target as far as is known, or the most expensive model at once if
// none does. A share of requests, no more than ExploreShare, gets a plan of
// which little is known.
func (d *Decider) Decide(q Query, rnd *rand.Rand) Plan {
	models := sortByPrice(q.Models)
	switch len(models) {
	case 0:
		return Plan{Reason: "no model is allowed"}
	case 1:
		return Plan{Steps: []Step{{Model: models[0].Model}}, Reason: "the only model that is allowed"}
	}
	list := d.ratesFor(q.Customer, q.Class).options(q, models)
	chosen := cheapestOption(list, q.QualityTarget)
	if q.ExploreShare > 0 && rnd.Float64() < q.ExploreShare {
		if exploration, ok := pickExploration(list, chosen, q.QualityTarget, rnd); ok {
			exploration.plan.Reason = "explored " + exploration.String()
			return exploration.plan
		}
	}
	if mixture := bestMix(list, chosen, q.QualityTarget); mixture.share > 0 && rnd.Float64() < mixture.share {
		mixture.plan.Reason = fmt.Sprintf("%s; for %.0f%% of requests, which %s leaves room for", mixture.String(), 100*mixture.share, chosen.String())
		return mixture.plan
	}
	chosen.plan.Reason = fmt.Sprintf("%s; target %.3f of %s", chosen.String(), q.QualityTarget, list[len(list)-1].String())
	return chosen.plan
}

// pickExploration picks one of the options about which more should be learned.
// These are the options that cost less than the chosen one and are not well
// known or may still prove to meet the target, and the most expensive model at
// once, which sets the target, if little is known of it.
func pickExploration(list []option, chosen option, target float64, rnd *rand.Rand) (option, bool) {
	expensive := list[len(list)-1]
	useful := slices.DeleteFunc(slices.Clone(list), func(o option) bool {
		if o.cost == expensive.cost {
			return o.quality.weight >= exploredWeight || chosen.cost == expensive.cost
		}
		return o.cost >= chosen.cost || o.quality.weight >= knownWeight && !o.mayMeetTarget(target, expensive.quality)
	})
	if len(useful) == 0 {
		return option{}, false
	}
	return useful[rnd.IntN(len(useful))], true
}

// ratesFor returns the rates of a customer's class, or nil if nothing is known
// of it.
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
	passed := 0.0
	if o.Pass {
		passed = 1
	}
	d.learn(o, passed, 1)
	if d.exchange != nil {
		d.exchange.countLocal(o)
	}
}

// learn adds outcomes of one kind, of which passed have passed. The caller
// holds mu.
func (d *Decider) learn(o Outcome, passed, total float64) {
	e := d.entry(o.Customer, o.Class)
	next := e.rates.Load().withOutcomes(o, passed, total)
	e.rates.Store(&next)
}

// ModelChanged notes that a model now runs another version. The rates of the
// model lose most of their weight, so that its plans have to prove themselves
// again.
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

// entry returns the entry to learn in, and adds it if there is none. A customer
// with maxClasses classes learns all further ones in otherClasses. The caller
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

// evictOldest evicts an eighth of the entries, so that eviction is rare.
func evictOldest(known map[classKey]*classEntry) {
	keys := slices.SortedFunc(maps.Keys(known), func(a, b classKey) int {
		return known[a].rates.Load().lastOutcomeAt().Compare(known[b].rates.Load().lastOutcomeAt())
	})
	for _, k := range keys[:len(keys)/8] {
		delete(known, k)
	}
}
