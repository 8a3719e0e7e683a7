// Package sizing decides which of a route's models answers a request: a small
// one first, with a step up while nothing has reached the caller, or a large
// one at once.
//
// Load pattern that it answers: prompts arrive faster than the large model can
// read them. The small one takes them then, since a late answer is worth less
// than one that may be too simple.
package sizing

import "time"

// Model is one of a route's models.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens; tokens read count a quarter.
	Cost float64
	// Wait is the predicted time to the first part of the model's answer.
	Wait time.Duration
	// Blocked says that no server can take the request for this model now.
	Blocked bool
}

// Query is a request whose model is to be chosen.
type Query struct {
	// Models are the route's, smallest first.
	Models []Model
	// Read and Generated are the tokens of the prompt and of the answer.
	Read      int
	Generated int
	// Left is the time to the first part within which the answer is on time.
	Left time.Duration
	// Steps is how many further attempts there may be.
	Steps int
}

// Worth of an answer in the unit of the models' cost, fitted to the users'
// sheets: a question of 700 tokens is worth about 0.5, a report of 9,000 about
// 3.5.
const (
	worthBase    = 0.3
	worthPerRead = 0.35 / 1000
)

// Worth returns what a good answer to the request is worth.
func (q *Query) Worth() float64 { return worthBase + worthPerRead*float64(q.Read) }

// price returns what running a model costs.
func (q *Query) price(m Model) float64 {
	return m.Cost * (float64(q.Generated) + float64(q.Read)/4) / 1000
}

// priorQuality is how many answers of a model are good, by its distance from
// the largest one, until its own confidence is known.
var priorQuality = []float64{1, 0.65, 0.56}

func quality(size, models int) float64 {
	return priorQuality[min(models-1-size, len(priorQuality)-1)]
}

// First returns the position of the model to ask first.
func First(q *Query) int {
	best, highest := 0, 0.0
	top := len(q.Models) - 1
	for size, m := range q.Models {
		if m.Blocked {
			continue
		}
		value := q.direct(size)
		if size < top && q.Steps > 0 && !q.Models[top].Blocked && m.Wait+q.Models[top].Wait < q.Left {
			value = max(value, q.stepped(size))
		}
		if best == 0 && highest == 0 || value > highest {
			best, highest = size, value
		}
	}
	return best
}

// lateShare is the worth of a late answer.
const lateShare = 0.3

// direct is the expected value of delivering the model's answer as it comes.
func (q *Query) direct(size int) float64 {
	m := q.Models[size]
	value := quality(size, len(q.Models)) * q.Worth()
	if m.Wait > q.Left {
		value *= lateShare
	}
	return value - q.price(m)
}

// stepped is the expected value of asking the model first and the largest one
// if the answer lacks confidence.
func (q *Query) stepped(size int) float64 {
	top := len(q.Models) - 1
	good := quality(size, len(q.Models))
	return spotted*q.Worth() - q.price(q.Models[size]) - (1-good)*q.price(q.Models[top])
}

// spotted is the part of the worth that remains where a small model's opinion
// decides on the step up: some answers that are too simple pass.
const spotted = 0.93

// Keep reports whether an answer of the model is good enough to be delivered,
// by its own confidence, 0 to 100; below 0 it has not said.
func Keep(q *Query, size, confidence int) bool {
	top := len(q.Models) - 1
	if size >= top || q.Steps <= 0 || confidence < 0 || q.Models[top].Blocked {
		return true
	}
	if q.Models[top].Wait > q.Left {
		return true
	}
	gain := (1 - float64(confidence)/100) * q.Worth()
	return gain <= q.price(q.Models[top])
}
