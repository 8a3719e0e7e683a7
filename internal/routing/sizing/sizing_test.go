package sizing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newReportRequest returns a request with a long prompt and three models.
func newReportRequest(predictedWaits [3]time.Duration, timeLeft time.Duration) *Request {
	c := NewCalibration()
	r := &Request{PromptTokens: 9200, CompletionTokens: 54, TimeLeft: timeLeft, EscalationsLeft: 2}
	for i, cost := range []float64{0.017, 0.13, 0.26} {
		r.Models = append(r.Models, Model{Cost: cost, PredictedWait: predictedWaits[i], Confidence: c.Profile("reports", threeModels, i, epoch)})
	}
	return r
}

const ms = time.Millisecond

var (
	threeModels = []string{"small", "medium", "large"}
	epoch       = time.Unix(1000, 0)
)

// At low load the small model is tried first, since there is time left to escalate
// to the large one.
func TestSmallModelFirstAtLowLoad(t *testing.T) {
	is := is.New(t)
	is.Equal(ChooseFirst(newReportRequest([3]time.Duration{60 * ms, 200 * ms, 600 * ms}, 3*time.Second)), 0)
}

// If the large model would be late, the small model's answer is accepted, however
// low its confidence.
func TestSmallAnswerAcceptedUnderOverload(t *testing.T) {
	is := is.New(t)
	r := newReportRequest([3]time.Duration{300 * ms, 900 * ms, 4 * time.Second}, 2*time.Second)
	is.Equal(ChooseFirst(r), 0)
	is.True(AcceptAnswer(r, 0, 3))
	r = newReportRequest([3]time.Duration{300 * ms, 900 * ms, 700 * ms}, 3*time.Second)
	is.True(!AcceptAnswer(r, 0, 3))
	is.True(AcceptAnswer(r, 0, 95))
	r.EscalationsLeft = 0
	is.True(AcceptAnswer(r, 0, 3)) // no escalation is allowed
	r = newReportRequest([3]time.Duration{300 * ms, 900 * ms, 700 * ms}, 3*time.Second)
	r.Models[2].Blocked = true
	is.True(AcceptAnswer(r, 0, 3))
	is.True(AcceptAnswer(newReportRequest([3]time.Duration{0, 0, 0}, time.Second), 0, -1)) // the model reported no confidence
}

func TestBlockedModelIsNotChosen(t *testing.T) {
	is := is.New(t)
	r := newReportRequest([3]time.Duration{60 * ms, 200 * ms, 600 * ms}, 3*time.Second)
	r.Models[0].Blocked = true
	is.True(ChooseFirst(r) != 0)
}

// drawAnswer draws the confidence of an answer and whether it is good, with
// probability good. Confidence is normally distributed around a higher mean for
// good answers.
func drawAnswer(rnd *rand.Rand, good float64) (confidence int, isGood bool) {
	isGood = rnd.Float64() < good
	mean := 18.0
	if isGood {
		mean = 88
	}
	return int(max(0, min(100, mean+22*rnd.NormFloat64()))), isGood
}

// The calibration estimates how many answers are good, and at which confidence,
// without being told which ones are.
func TestCalibrationConverges(t *testing.T) {
	for _, good := range []float64{0.3, 0.56, 0.85} {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(7, 1))
		c := NewCalibration()
		var counts, goodCounts Histogram
		for range 3000 {
			small, isGood := drawAnswer(rnd, good)
			c.Observe("reports", "small", small, epoch)
			counts[binOf(small)]++
			if isGood {
				goodCounts[binOf(small)]++
			}
			large, _ := drawAnswer(rnd, 1)
			c.Observe("reports", "large", large, epoch)
		}
		profile := c.Profile("reports", threeModels, 0, epoch)
		expected := 0.0
		for i := range profile.Distribution {
			expected += profile.Distribution[i] * profile.GoodProbability[i]
		}
		is.True(expected > good-0.05 && expected < good+0.05)
		for i := range counts {
			// Bins with few answers are too noisy to compare.
			if observed := goodCounts[i] / counts[i]; counts[i] >= 150 {
				is.True(profile.GoodProbability[i] > observed-0.15 && profile.GoodProbability[i] < observed+0.15)
			}
		}
	}
}

// meanValue returns the mean value, less cost, that a rule for choosing the model
// achieves per answer at low load. The random answers are the same for each rule.
func meanValue(rule func(r *Request, confidence int, isGood bool) (sizeRank int, escalated bool)) float64 {
	rnd := rand.New(rand.NewPCG(3, 9))
	sum := 0.0
	for range 20_000 {
		r := newReportRequest([3]time.Duration{60 * ms, 200 * ms, 600 * ms}, 3*time.Second)
		confidence, isGood := drawAnswer(rnd, 0.56)
		sizeRank, escalated := rule(r, confidence, isGood)
		if escalated {
			sum -= r.cost(0)
		}
		value := r.Value()
		if sizeRank == 0 && !isGood {
			value *= inadequateValueShare
		}
		sum += value - r.cost(sizeRank)
	}
	return sum / 20_000
}

// The rule comes close to an oracle that knows which answers are good, and is
// better than always using the small or always the large model.
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
	chosen := meanValue(func(r *Request, confidence int, _ bool) (int, bool) {
		if first := ChooseFirst(r); first > 0 || AcceptAnswer(r, 0, confidence) {
			return first, false
		}
		return 2, true
	})
	t.Logf("small %.3f large %.3f chosen %.3f oracle %.3f", small, large, chosen, oracle)
	is.True(chosen > small && chosen > large)
	is.True(chosen > 0.95*oracle)
}

// simulateOutage simulates 20 seconds of long prompts on 12 servers, of which 5 are
// missing between seconds 5 and 15. It returns the total value of the answers and
// the mean backlog during the outage. withBacklog says whether the choice of the
// model takes the backlog into account. (Deployment Pottyround, run fresh-ddd3: the
// queues of seven servers grew for 25 seconds and more, and half of all answers
// were late or failed.)
func simulateOutage(seed uint64, withBacklog bool) (totalValue float64, meanWait time.Duration) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	const perSecond, seconds = 85, 20
	prefillTimes := [3]time.Duration{24 * ms, 64 * ms, 240 * ms}
	backlogSeconds, now := 0.0, 0.0 // backlog of each server and simulated time, in seconds
	totalWait, requests := time.Duration(0), time.Duration(0)
	for {
		interval := rnd.ExpFloat64() / perSecond
		now += interval
		if now > seconds {
			return totalValue, totalWait / requests
		}
		servers := 12.0
		if now > 5 && now < 15 {
			servers = 7
		}
		backlogSeconds = max(0, backlogSeconds-interval)
		backlog := time.Duration(backlogSeconds * float64(time.Second))
		r := newReportRequest([3]time.Duration{backlog + prefillTimes[0], backlog + prefillTimes[1], backlog + prefillTimes[2]}, 3*time.Second)
		for i := range r.Models {
			r.Models[i].PrefillTime = prefillTimes[i]
		}
		if withBacklog {
			r.MeanBacklog = backlog
		}
		confidence, isGood := drawAnswer(rnd, 0.56)
		sizeRank := ChooseFirst(r)
		work, wait := prefillTimes[sizeRank], r.Models[sizeRank].PredictedWait
		if sizeRank == 0 && !AcceptAnswer(r, 0, confidence) {
			sizeRank, work, wait = 2, work+prefillTimes[2], wait+prefillTimes[2]
		}
		value := r.Value()
		if sizeRank == 0 && !isGood {
			value *= inadequateValueShare
		}
		if wait > 3*time.Second {
			value *= lateValueShare
		}
		totalValue += value
		backlogSeconds += work.Seconds() / servers
		if servers == 7 {
			totalWait += backlog
			requests++
		}
	}
}

// While servers are missing, the queues of the remaining servers stay short. Other
// kinds of request tolerate at most a backlog of one second. The value of the
// answers to long prompts does not drop by more than 5 %.
func TestQueuesStayShortWhenServersFail(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		withBacklog, waitWith := simulateOutage(seed, true)
		without, waitWithout := simulateOutage(seed, false)
		t.Logf("with backlog cost: value %.0f, wait %v; without: value %.0f, wait %v", withBacklog, waitWith, without, waitWithout)
		is.True(waitWith < time.Second)
		is.True(withBacklog > 0.95*without)
	}
}
