package sizing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newReportRequest is a long prompt with three models to choose from.
func newReportRequest(waits [3]time.Duration, left time.Duration) *Request {
	c := NewCalibration()
	q := &Request{PromptTokens: 9200, MaxCompletionTokens: 54, TimeLeft: left, EscalationsLeft: 2}
	for i, cost := range []float64{0.017, 0.13, 0.26} {
		q.Models = append(q.Models, Model{Cost: cost, PredictedWait: waits[i], Confidence: c.Profile("reports", i, 3)})
	}
	return q
}

const ms = time.Millisecond

// In calm, the small model is asked first, since the large one remains.
func TestSmallModelFirstAtLowLoad(t *testing.T) {
	is := is.New(t)
	is.Equal(ChooseFirst(newReportRequest([3]time.Duration{60 * ms, 200 * ms, 600 * ms}, 3*time.Second)), 0)
}

// Where the large model would be late, the small one's answer is kept, however
// unsure it is.
func TestSmallAnswerAcceptedUnderOverload(t *testing.T) {
	is := is.New(t)
	q := newReportRequest([3]time.Duration{300 * ms, 900 * ms, 4 * time.Second}, 2*time.Second)
	is.Equal(ChooseFirst(q), 0)
	is.True(AcceptAnswer(q, 0, 3))
	q = newReportRequest([3]time.Duration{300 * ms, 900 * ms, 700 * ms}, 3*time.Second)
	is.True(!AcceptAnswer(q, 0, 3))
	is.True(AcceptAnswer(q, 0, 95))
	q.EscalationsLeft = 0
	is.True(AcceptAnswer(q, 0, 3)) // no further attempt is allowed
	q = newReportRequest([3]time.Duration{300 * ms, 900 * ms, 700 * ms}, 3*time.Second)
	q.Models[2].Blocked = true
	is.True(AcceptAnswer(q, 0, 3))
	is.True(AcceptAnswer(newReportRequest([3]time.Duration{0, 0, 0}, time.Second), 0, -1)) // the model has not said
}

func TestBlockedModelIsNotChosen(t *testing.T) {
	is := is.New(t)
	q := newReportRequest([3]time.Duration{60 * ms, 200 * ms, 600 * ms}, 3*time.Second)
	q.Models[0].Blocked = true
	is.True(ChooseFirst(q) != 0)
}

// drawAnswer draws answers of a route on which a part of the prompts is too hard
// for the small model.
func drawAnswer(rnd *rand.Rand, good float64) (confidence int, isGood bool) {
	isGood = rnd.Float64() < good
	mean := 18.0
	if isGood {
		mean = 88
	}
	return int(max(0, min(100, mean+22*rnd.NormFloat64()))), isGood
}

// The calibration finds out, without being told which answers were good, how
// many are and from which confidence on.
func TestCalibrationConverges(t *testing.T) {
	for _, good := range []float64{0.3, 0.56, 0.85} {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(7, 1))
		c := NewCalibration()
		var all, right Histogram
		for range 3000 {
			small, isGood := drawAnswer(rnd, good)
			c.Observe("reports", 0, 3, small)
			all[binOf(small)]++
			if isGood {
				right[binOf(small)]++
			}
			large, _ := drawAnswer(rnd, 1)
			c.Observe("reports", 2, 3, large)
		}
		o := c.Profile("reports", 0, 3)
		expected := 0.0
		for i := range o.Distribution {
			expected += o.Distribution[i] * o.GoodProbability[i]
		}
		is.True(expected > good-0.05 && expected < good+0.05)
		for i := range all {
			// Steps with few answers say little of the truth.
			if truth := right[i] / all[i]; all[i] >= 150 {
				is.True(o.GoodProbability[i] > truth-0.15 && o.GoodProbability[i] < truth+0.15)
			}
		}
	}
}

// meanValue adds up what a rule earns on a recorded crowd, in calm.
func meanValue(rule func(q *Request, confidence int, isGood bool) (size int, stepped bool)) float64 {
	rnd := rand.New(rand.NewPCG(3, 9))
	sum := 0.0
	for range 20_000 {
		q := newReportRequest([3]time.Duration{60 * ms, 200 * ms, 600 * ms}, 3*time.Second)
		confidence, isGood := drawAnswer(rnd, 0.56)
		size, stepped := rule(q, confidence, isGood)
		if stepped {
			sum -= q.cost(0)
		}
		value := q.Value()
		if size == 0 && !isGood {
			value *= inadequateValueShare
		}
		sum += value - q.cost(size)
	}
	return sum / 20_000
}

// The rule comes close to an oracle that knows which answers are good, and
// beats both always small and always large.
func TestAgainstBaselines(t *testing.T) {
	is := is.New(t)
	small := meanValue(func(*Request, int, bool) (int, bool) { return 0, false })
	large := meanValue(func(*Request, int, bool) (int, bool) { return 2, false })
	oracle := meanValue(func(_ *Request, _ int, good bool) (int, bool) {
		if good {
			return 0, false
		}
		return 2, false
	})
	ours := meanValue(func(q *Request, confidence int, _ bool) (int, bool) {
		if first := ChooseFirst(q); first > 0 || AcceptAnswer(q, 0, confidence) {
			return first, false
		}
		return 2, true
	})
	t.Logf("small %.3f large %.3f ours %.3f oracle %.3f", small, large, ours, oracle)
	is.True(ours > small && ours > large)
	is.True(ours > 0.95*oracle)
}

// simulateOutage plays reports that arrive at the servers that are left, and returns what
// they earn and the mean wait while servers are missing. Between the seconds 5 and 15, 5 of 12
// servers are gone. (Pottyround, fresh-ddd3: the queues of seven servers grew for
// 25 seconds and more, and half of all answers were late or failed.)
func simulateOutage(seed uint64, priced bool) (worth float64, meanWait time.Duration) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	const perSecond, seconds = 85, 20
	works := [3]time.Duration{24 * ms, 64 * ms, 240 * ms}
	waiting, at := 0.0, 0.0 // work at each server, in seconds
	waits, reports := time.Duration(0), time.Duration(0)
	for {
		gap := rnd.ExpFloat64() / perSecond
		at += gap
		if at > seconds {
			return worth, waits / reports
		}
		servers := 12.0
		if at > 5 && at < 15 {
			servers = 7
		}
		waiting = max(0, waiting-gap)
		backlog := time.Duration(waiting * float64(time.Second))
		q := newReportRequest([3]time.Duration{backlog + works[0], backlog + works[1], backlog + works[2]}, 3*time.Second)
		for i := range q.Models {
			q.Models[i].PrefillTime = works[i]
		}
		if priced {
			q.MeanBacklog = backlog
		}
		confidence, isGood := drawAnswer(rnd, 0.56)
		size := ChooseFirst(q)
		work, wait := works[size], q.Models[size].PredictedWait
		if size == 0 && !AcceptAnswer(q, 0, confidence) {
			size, work, wait = 2, work+works[2], wait+works[2]
		}
		value := q.Value()
		if size == 0 && !isGood {
			value *= inadequateValueShare
		}
		if wait > 3*time.Second {
			value *= lateValueShare
		}
		worth += value
		waiting += work.Seconds() / servers
		if servers == 7 {
			waits += backlog
			reports++
		}
	}
}

// While servers are missing, the queues of those that are left stay short: a
// second's work in front of every answer is as much as other kinds of request
// bear. The reports themselves earn no less.
func TestQueuesStayShortWhenServersFail(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		priced, wait := simulateOutage(seed, true)
		plain, plainWait := simulateOutage(seed, false)
		t.Logf("priced %.0f, wait %v; not priced %.0f, wait %v", priced, wait, plain, plainWait)
		is.True(wait < time.Second)
		is.True(priced > 0.95*plain)
	}
}
