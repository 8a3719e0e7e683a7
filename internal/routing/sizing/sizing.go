// Package sizing decides which of a route's models answers a request: a small
// one first, with a step up while nothing has reached the caller, or a large
// one at once.
//
// Load pattern that it answers: prompts arrive faster than the large model can
// read them, since servers are lost or users come all at once. The small one
// takes them then: a late answer is worth less than one that may be too simple,
// and a server that reads for one request makes all others there wait.
package sizing

import (
	"math"
	"time"
)

// Model is one of a route's models.
type Model struct {
	// Cost is the price of 1,000 generated tokens; tokens read count a quarter.
	Cost float64
	// PredictedWait is the predicted time to the first part of the model's answer.
	PredictedWait time.Duration
	// PrefillTime is the time that a server would read the prompt for.
	PrefillTime time.Duration
	// Blocked says that no server can take the request for this model now.
	Blocked    bool
	Confidence ConfidenceProfile
}

// Request is a request whose model is to be chosen.
type Request struct {
	// Models are the route's, smallest first.
	Models []Model
	// PromptTokens and Generated are the tokens of the prompt and of the answer.
	PromptTokens        int
	MaxCompletionTokens int
	// TimeLeft is the time to the first part within which the answer is on time.
	TimeLeft time.Duration
	// MeanBacklog is how much work waits at a server, on average.
	MeanBacklog time.Duration
	// EscalationsLeft is how many further attempts there may be.
	EscalationsLeft int
}

// Worth of an answer in the unit of the models' cost, fitted to the users'
// sheets: a question of 700 tokens is worth about 0.5, a report of 9,000 about
// 3.5.
const (
	baseValue           = 0.3
	valuePerPromptToken = 0.35 / 1000
	// inadequateValueShare is the worth of an answer that is too simple.
	inadequateValueShare = 0.05
	// lateValueShare is the worth of a late answer.
	lateValueShare = 0.3
)

// Value returns what a good answer to the request is worth.
func (r *Request) Value() float64 { return baseValue + valuePerPromptToken*float64(r.PromptTokens) }

// backlogCost is the worth that a second of a server's time has for other
// requests while a second's work waits at each server. It grows with the square
// of the crowding: the more work waits, the more of them are late already, and
// their long answers slow down besides. Found by a sweep from 3 to 30.
const backlogCost = 20

// cost returns what running a model costs, the delay of others included.
func (r *Request) cost(sizeRank int) float64 {
	m, backlog := r.Models[sizeRank], r.MeanBacklog.Seconds()
	return m.Cost*(float64(r.MaxCompletionTokens)+float64(r.PromptTokens)/4)/1000 + backlogCost*backlog*backlog*m.PrefillTime.Seconds()
}

const (
	// onTimeMidpoint is the part of the time left at which a prediction is as
	// likely to be missed as kept: predictions know little of the work that
	// other instances send meanwhile.
	onTimeMidpoint = 0.7
	// onTimeWidth is how far from there, as a part of the time left, the
	// outcome becomes clear.
	onTimeWidth = 0.15
)

// timeliness returns the expected share of the worth that remains if the answer is
// predicted to begin after the wait.
func (r *Request) timeliness(wait time.Duration) float64 {
	if r.TimeLeft <= 0 {
		return lateValueShare
	}
	x := (float64(wait)/float64(r.TimeLeft) - onTimeMidpoint) / onTimeWidth
	return lateValueShare + (1-lateValueShare)/(1+math.Exp(x))
}

// ChooseFirst returns the position of the model to ask first.
func ChooseFirst(r *Request) int {
	best, highest := -1, 0.0
	for sizeRank := range r.Models {
		if r.Models[sizeRank].Blocked {
			continue
		}
		if value := r.valueOfStarting(sizeRank); best < 0 || value > highest {
			best, highest = sizeRank, value
		}
	}
	return max(best, 0)
}

// valueOfStarting is the expected value of asking the model valueOfStarting.
func (r *Request) valueOfStarting(sizeRank int) float64 {
	m := r.Models[sizeRank]
	value := -r.cost(sizeRank)
	escalate, canEscalate := r.valueOfEscalating(m.PredictedWait)
	for i, share := range m.Confidence.Distribution {
		accept := r.valueOfAccepting(m.Confidence.GoodProbability[i], m.PredictedWait)
		if canEscalate && sizeRank < len(r.Models)-1 {
			accept = max(accept, escalate)
		}
		value += share * accept
	}
	return value
}

// valueOfAccepting is the value of an answer that is good with a probability.
func (r *Request) valueOfAccepting(good float64, wait time.Duration) float64 {
	return r.Value() * (good + (1-good)*inadequateValueShare) * r.timeliness(wait)
}

// valueOfEscalating is the value of asking the largest model after a wait.
func (r *Request) valueOfEscalating(wait time.Duration) (float64, bool) {
	top := len(r.Models) - 1
	// A step up that comes late anyway would only delay other requests.
	if r.EscalationsLeft <= 0 || r.Models[top].Blocked || wait+r.Models[top].PredictedWait > r.TimeLeft {
		return 0, false
	}
	return r.Value()*r.timeliness(wait+r.Models[top].PredictedWait) - r.cost(top), true
}

// AcceptAnswer reports whether an answer of the model is to be delivered, by its own
// confidence, 0 to 100; below 0 it has not said. Its wait is over.
func AcceptAnswer(r *Request, sizeRank, confidence int) bool {
	if sizeRank >= len(r.Models)-1 || confidence < 0 {
		return true
	}
	escalate, canEscalate := r.valueOfEscalating(0)
	return !canEscalate || r.valueOfAccepting(r.Models[sizeRank].Confidence.GoodProbability[binOf(confidence)], 0) >= escalate
}
