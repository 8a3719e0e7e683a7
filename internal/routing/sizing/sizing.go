// Package sizing decides which of a route's models answers a request: the largest
// at once, or a smaller one whose answer may be declined in favour of the largest
// model's as long as nothing has reached the caller (an escalation).
//
// It is designed for prompts that arrive faster than the large model can prefill
// them, because servers have failed or many users arrive at once. Smaller models
// then take the requests: a late answer is worth less than one that may be too
// simple, and a prefill on a server delays all other requests there.
package sizing

import (
	"math"
	"time"
)

// Model describes one of a route's models for one request.
type Model struct {
	// Cost is the price of 1,000 completion tokens; a prompt token costs a
	// quarter of a completion token.
	Cost float64
	// PredictedWait is the predicted time to the first part of the answer.
	PredictedWait time.Duration
	// PrefillTime is the time that a server needs to read the prompt.
	PrefillTime time.Duration
	// Blocked is true if no server can currently take the request for this model.
	Blocked    bool
	Confidence ConfidenceProfile
}

// Request describes a request whose model is to be chosen.
type Request struct {
	// Models are the route's models, smallest first.
	Models []Model
	// PromptTokens is the length of the prompt, CompletionTokens the expected length
	// of the answer.
	PromptTokens     int
	CompletionTokens int
	// MeanSize is the mean Size of the route's requests; 0 if it is not known.
	MeanSize float64
	// TimeLeft is the time within which the first part of the answer must arrive
	// to be on time.
	TimeLeft time.Duration
	// MeanBacklog is the mean duration of the work that waits at a server.
	MeanBacklog time.Duration
	// EscalationsLeft is the number of further attempts that are allowed.
	EscalationsLeft int
}

const (
	// answerValue is the value of an answer of its route's mean size, in the unit of
	// the models' cost. A route's configuration says nothing about what its answers
	// are worth, so they count the same on all routes.
	answerValue = 1.9
	// fixedValueShare is the fraction of the value that doesn't depend on the size, and
	// maxRelativeSize bounds the part that does.
	fixedValueShare = 0.3
	maxRelativeSize = 4
	// inadequateValueShare is the fraction of the value that an answer has if it
	// is too simple.
	inadequateValueShare = 0.05
	// lateValueShare is the fraction of the value that a late answer has.
	lateValueShare = 0.3
)

// Value returns the value of a good answer to the request that is on time. It grows
// with the prompt and with the expected answer: an answer that is too simple costs the
// caller more the longer it is.
func (r *Request) Value() float64 {
	relativeSize := 1.0
	if r.MeanSize > 0 {
		relativeSize = min(Size(r.PromptTokens, r.CompletionTokens)/r.MeanSize, maxRelativeSize)
	}
	return answerValue * (fixedValueShare + (1-fixedValueShare)*relativeSize)
}

// backlogCost is the value that other requests lose per second of prefill time at
// a mean backlog of one second. It is multiplied by the square of the backlog,
// since with a longer backlog more of the waiting requests are late already, and
// their long answers are also generated more slowly. The constant is the result
// of a parameter sweep from 3 to 30.
const backlogCost = 20

// cost returns the cost of running a model, including the delay it causes to
// other requests.
func (r *Request) cost(sizeRank int) float64 {
	m, backlog := r.Models[sizeRank], r.MeanBacklog.Seconds()
	return m.Cost*(float64(r.CompletionTokens)+float64(r.PromptTokens)/4)/1000 + backlogCost*backlog*backlog*m.PrefillTime.Seconds()
}

const (
	// onTimeMidpoint is the predicted wait, as a fraction of the time left, at
	// which the answer is as likely to be late as on time. It is below 1 because
	// predictions hardly include the work that other instances send in the
	// meantime.
	onTimeMidpoint = 0.7
	// onTimeWidth is the scale of the logistic curve around the midpoint, as a
	// fraction of the time left.
	onTimeWidth = 0.15
)

// timeliness returns the fraction of the value that is expected to remain if the
// first part of the answer is predicted after wait.
func (r *Request) timeliness(wait time.Duration) float64 {
	if r.TimeLeft <= 0 {
		return lateValueShare
	}
	x := (float64(wait)/float64(r.TimeLeft) - onTimeMidpoint) / onTimeWidth
	return lateValueShare + (1-lateValueShare)/(1+math.Exp(x))
}

// ChooseFirst returns the position in r.Models of the model for the first attempt.
// It returns 0 if all models are blocked.
func ChooseFirst(r *Request) int {
	best, highest := -1, 0.0
	for sizeRank := range r.Models {
		if r.Models[sizeRank].Blocked {
			continue
		}
		if value := r.expectedValue(sizeRank); best < 0 || value > highest {
			best, highest = sizeRank, value
		}
	}
	return max(best, 0)
}

// MaySample reports whether the request may go to the largest model only to learn how its
// answers compare: it is expected in time, and hardly anything waits.
func MaySample(r *Request) bool {
	top := r.Models[len(r.Models)-1]
	return !top.Blocked && float64(top.PredictedWait) < onTimeMidpoint*float64(r.TimeLeft) && r.MeanBacklog < maxSampleBacklog
}

// maxSampleBacklog is the mean backlog from which on no samples are taken.
const maxSampleBacklog = 300 * time.Millisecond

// expectedValue returns the expected value, less cost, of starting with the model.
func (r *Request) expectedValue(sizeRank int) float64 {
	m := r.Models[sizeRank]
	value := -r.cost(sizeRank)
	escalate, canEscalate := r.escalationValue(m.PredictedWait)
	for i, share := range m.Confidence.Distribution {
		accept := r.acceptValue(m.Confidence.GoodProbability[i], m.PredictedWait)
		if canEscalate && sizeRank < len(r.Models)-1 {
			accept = max(accept, escalate)
		}
		value += share * accept
	}
	return value
}

// acceptValue returns the value of an answer that is good with probability good.
func (r *Request) acceptValue(good float64, wait time.Duration) float64 {
	return r.Value() * (good + (1-good)*inadequateValueShare) * r.timeliness(wait)
}

// escalationValue returns the value, less cost, of sending the request to the
// largest model after wait, and whether an escalation is possible.
func (r *Request) escalationValue(wait time.Duration) (float64, bool) {
	top := len(r.Models) - 1
	// An escalation that is predicted to be late would only delay other requests.
	if r.EscalationsLeft <= 0 || r.Models[top].Blocked || wait+r.Models[top].PredictedWait > r.TimeLeft {
		return 0, false
	}
	return r.Value()*r.timeliness(wait+r.Models[top].PredictedWait) - r.cost(top), true
}

// AcceptAnswer reports whether to deliver the model's answer rather than escalate
// to the largest model. confidence is what the model reported, 0 to 100, or
// negative if it reported none; such an answer is accepted. The answer's own wait
// is already over, so only the wait of the largest model counts.
func AcceptAnswer(r *Request, sizeRank, confidence int) bool {
	if sizeRank >= len(r.Models)-1 || confidence < 0 {
		return true
	}
	escalate, canEscalate := r.escalationValue(0)
	return !canEscalate || r.acceptValue(r.Models[sizeRank].Confidence.GoodProbability[binOf(confidence)], 0) >= escalate
}
