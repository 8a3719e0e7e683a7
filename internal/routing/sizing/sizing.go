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
	worthBase    = 0.3
	worthPerRead = 0.35 / 1000
	// poorShare is the worth of an answer that is too simple.
	poorShare = 0.05
	// lateShare is the worth of a late answer.
	lateShare = 0.3
)

// Value returns what a good answer to the request is worth.
func (q *Request) Value() float64 { return worthBase + worthPerRead*float64(q.PromptTokens) }

// crowdPrice is the worth that a second of a server's time has for other
// requests while a second's work waits at each server. It grows with the square
// of the crowding: the more work waits, the more of them are late already, and
// their long answers slow down besides. Found by a sweep from 3 to 30.
const crowdPrice = 20

// price returns what running a model costs, the delay of others included.
func (q *Request) price(size int) float64 {
	m, crowding := q.Models[size], q.MeanBacklog.Seconds()
	return m.Cost*(float64(q.MaxCompletionTokens)+float64(q.PromptTokens)/4)/1000 + crowdPrice*crowding*crowding*m.PrefillTime.Seconds()
}

const (
	// certainShare is the part of the time left at which a prediction is as
	// likely to be missed as kept: predictions know little of the work that
	// other instances send meanwhile.
	certainShare = 0.7
	// certainWidth is how far from there, as a part of the time left, the
	// outcome becomes clear.
	certainWidth = 0.15
)

// onTime returns the expected share of the worth that remains if the answer is
// predicted to begin after the wait.
func (q *Request) onTime(wait time.Duration) float64 {
	if q.TimeLeft <= 0 {
		return lateShare
	}
	x := (float64(wait)/float64(q.TimeLeft) - certainShare) / certainWidth
	return lateShare + (1-lateShare)/(1+math.Exp(x))
}

// ChooseFirst returns the position of the model to ask first.
func ChooseFirst(q *Request) int {
	best, highest := -1, 0.0
	for size := range q.Models {
		if q.Models[size].Blocked {
			continue
		}
		if value := q.first(size); best < 0 || value > highest {
			best, highest = size, value
		}
	}
	return max(best, 0)
}

// first is the expected value of asking the model first.
func (q *Request) first(size int) float64 {
	m := q.Models[size]
	value := -q.price(size)
	step, mayStep := q.stepped(m.PredictedWait)
	for i, share := range m.Confidence.Distribution {
		keep := q.kept(m.Confidence.GoodProbability[i], m.PredictedWait)
		if mayStep && size < len(q.Models)-1 {
			keep = max(keep, step)
		}
		value += share * keep
	}
	return value
}

// kept is the value of an answer that is good with a probability.
func (q *Request) kept(good float64, wait time.Duration) float64 {
	return q.Value() * (good + (1-good)*poorShare) * q.onTime(wait)
}

// stepped is the value of asking the largest model after a wait.
func (q *Request) stepped(after time.Duration) (float64, bool) {
	top := len(q.Models) - 1
	// A step up that comes late anyway would only delay other requests.
	if q.EscalationsLeft <= 0 || q.Models[top].Blocked || after+q.Models[top].PredictedWait > q.TimeLeft {
		return 0, false
	}
	return q.Value()*q.onTime(after+q.Models[top].PredictedWait) - q.price(top), true
}

// AcceptAnswer reports whether an answer of the model is to be delivered, by its own
// confidence, 0 to 100; below 0 it has not said. Its wait is over.
func AcceptAnswer(q *Request, size, confidence int) bool {
	if size >= len(q.Models)-1 || confidence < 0 {
		return true
	}
	step, mayStep := q.stepped(0)
	return !mayStep || q.kept(q.Models[size].Confidence.GoodProbability[binOf(confidence)], 0) >= step
}
