package cascade

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/preset"
)

// The simulated workload has a cheap and an expensive model, a rating service
// that answers after two seconds and a judge that makes mistakes.
const (
	cheapPrice        = 1.0
	expensivePrice    = 10.0
	judgePrice        = 0.2
	expensivePassRate = 0.97
	judgeFalseAccepts = 0.05 // share of bad answers that the judge passes
	judgeFalseRejects = 0.03 // share of good answers that the judge rejects
	requestInterval   = 50 * time.Millisecond
	ratingDelay       = 2 * time.Second
	window            = 1000
	trainingRequests  = 10_000
	measuredRequests  = 10_000
)

// task is one request: its class and the probability that the cheap model's
// answer to it passes.
type task struct {
	class         string
	cheapPassRate float64
}

// workload draws requests. The cheap model passes about 70% of them, unless the
// workload says otherwise.
type workload func(rnd *rand.Rand) task

// classesTellDifficulty is a workload whose classes separate the requests that
// the cheap model passes from those that it fails.
func classesTellDifficulty(rnd *rand.Rand) task {
	if rnd.Float64() < 0.7 {
		return task{"easy", expensivePassRate}
	}
	return task{"hard", 0.05}
}

// singleClass is a workload in which the class says nothing about the
// difficulty.
func singleClass(*rand.Rand) task { return task{"any", 0.7} }

// borderline is a workload of one class that the cheap model passes almost
// often enough.
func borderline(*rand.Rand) task { return task{"any", 0.9} }

// policy chooses the plan for a task: the Decider or a baseline.
type policy func(t task, q Query, rnd *rand.Rand) Plan

func always(model string) policy {
	return func(task, Query, *rand.Rand) Plan { return Plan{Steps: []Step{{Model: model}}} }
}

// cheapFirst judges every answer of the cheap model against a fixed threshold.
func cheapFirst(task, Query, *rand.Rand) Plan {
	return Plan{Steps: []Step{{"cheap", true}, {"dear", false}}}
}

// oracle knows in which classes the cheap model meets the target.
func oracle(t task, _ Query, _ *rand.Rand) Plan {
	if t.cheapPassRate >= 0.95*expensivePassRate {
		return Plan{Steps: []Step{{"cheap", false}}}
	}
	return Plan{Steps: []Step{{"dear", false}}}
}

type pendingRating struct {
	at time.Time
	o  Outcome
}

// trial is one run of a policy over a workload.
type trial struct {
	rnd            *rand.Rand
	decider        *Decider
	policy         policy
	nextTask       workload
	now            time.Time
	ratings        []pendingRating
	ratingsStopped bool // no ratings arrive
	judgeDown      bool
	judgeOff       bool // the active preset does not use the judge
	explorations   int
}

type results struct {
	cost        float64
	pass        float64
	worstWindow float64 // pass rate of the worst window
	windows     int
}

func newTrial(seed uint64, work workload, p policy) *trial {
	t := &trial{rnd: rand.New(rand.NewPCG(seed, 3)), decider: New(), nextTask: work, policy: p, now: time.Unix(0, 0)}
	if p == nil {
		t.policy = func(_ task, q Query, rnd *rand.Rand) Plan { return t.decider.Decide(q, rnd) }
	}
	return t
}

// run serves n requests and returns the average cost and pass rate.
func (t *trial) run(n int) results {
	f := results{worstWindow: 1}
	passed := 0
	for i := range n {
		t.now = t.now.Add(requestInterval)
		for len(t.ratings) > 0 && !t.ratings[0].at.After(t.now) {
			t.decider.Observe(t.ratings[0].o)
			t.ratings = t.ratings[1:]
		}
		cost, pass := t.request()
		f.cost += cost / float64(n)
		if pass {
			passed++
			f.pass += 1 / float64(n)
		}
		if (i+1)%window == 0 {
			f.windows++
			f.worstWindow = min(f.worstWindow, float64(passed)/window)
			passed = 0
		}
	}
	return f
}

func (t *trial) request() (cost float64, pass bool) {
	task := t.nextTask(t.rnd)
	plan := t.policy(task, Query{
		Customer: "c", Class: task.class, Models: []Candidate{{"dear", expensivePrice}, {"cheap", cheapPrice}},
		QualityTarget: 0.95, Judge: !t.judgeOff, JudgePrice: judgePrice, ExploreShare: preset.Defaults()[0].ExploreShare, Now: t.now,
	}, t.rnd)
	if strings.HasPrefix(plan.Reason, "explored") {
		t.explorations++
	}
	first := plan.Steps[0]
	pass, cost = t.answer(task, first.Model)
	kind := Direct
	if first.Judge {
		cost += judgePrice
		kind = Accepted
		accepted := pass && t.rnd.Float64() >= judgeFalseRejects || !pass && t.rnd.Float64() < judgeFalseAccepts
		accepted = accepted && !t.judgeDown
		t.decider.Observe(Outcome{"c", task.class, Judgement, first.Model, accepted, t.now})
		if !accepted {
			kind = Escalated
			var more float64
			pass, more = t.answer(task, "dear")
			cost += more
		}
	}
	if !t.ratingsStopped {
		t.ratings = append(t.ratings, pendingRating{t.now.Add(ratingDelay), Outcome{"c", task.class, kind, first.Model, pass, t.now}})
	}
	return cost, pass
}

func (t *trial) answer(task task, model string) (bool, float64) {
	if model == "cheap" {
		return t.rnd.Float64() < task.cheapPassRate, cheapPrice
	}
	return t.rnd.Float64() < expensivePassRate, expensivePrice
}

func costBounds(t testing.TB) map[string]float64 {
	t.Helper()
	text, err := os.ReadFile("testdata/bounds.txt")
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			if values[name], err = strconv.ParseFloat(value, 64); err != nil {
				t.Fatal(err)
			}
		}
	}
	return values
}

// trained returns a trial of the Decider that has learned from trainingRequests
// requests.
func trained(seed uint64, work workload) *trial {
	t := newTrial(seed, work, nil)
	t.run(trainingRequests)
	return t
}

func TestCostAtQuality(t *testing.T) {
	bound := costBounds(t)
	target := bound["QualityTarget"] * expensivePassRate
	for _, c := range []struct {
		name     string
		work     workload
		baseline policy
		bound    string
	}{
		{"features tell", classesTellDifficulty, oracle, "CostOfOracle"},
		{"features don't tell", singleClass, cheapFirst, "CostOfCheapFirst"},
		{"borderline", borderline, cheapFirst, "CostOfCheapFirst"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(costSeeds) {
				is := is.New(t)
				f := trained(seed, c.work).run(measuredRequests)
				is.True(f.worstWindow >= target) // in each window
				is.True(f.cost <= bound["CostOfDear"]*expensivePrice)
				is.True(f.cost <= bound[c.bound]*newTrial(seed, c.work, c.baseline).run(measuredRequests).cost)
			}
		})
	}
}

func TestQualityAfterRatingsStop(t *testing.T) {
	t.Parallel()
	bound := costBounds(t)
	least := bound["QualityTarget"]*expensivePassRate - bound["StoppedTolerance"]
	for _, work := range []workload{classesTellDifficulty, singleClass} {
		for seed := range uint64(costSeeds) {
			is := is.New(t)
			trial := trained(seed, work)
			trial.ratingsStopped = true
			trial.judgeDown = seed%2 == 0 // the judge is part of the same service as the ratings
			n := int(10 * time.Minute / requestInterval)
			is.True(trial.run(n).worstWindow >= least)
			// After a day without ratings only the most expensive model is safe.
			trial.now = trial.now.Add(24 * time.Hour)
			for _, class := range []string{"easy", "any"} {
				plan := trial.decider.Decide(Query{Customer: "c", Class: class, Models: []Candidate{{"cheap", 1}, {"dear", 10}}, QualityTarget: 0.95, Judge: true, Now: trial.now}, trial.rnd)
				is.Equal(plan.Steps, []Step{{"dear", false}})
			}
		}
	}
}

// TestMixWithoutJudge checks that without a judge the Decider mixes in the
// cheap model to the extent that the quality target allows.
func TestMixWithoutJudge(t *testing.T) {
	t.Parallel()
	target := costBounds(t)["QualityTarget"] * expensivePassRate
	for seed := range uint64(costSeeds) {
		is := is.New(t)
		trial := newTrial(seed, singleClass, nil)
		trial.judgeOff = true
		trial.run(trainingRequests)
		f := trial.run(measuredRequests)
		is.True(f.worstWindow >= target)
		// The Decider saves at least a tenth of what would be possible if all
		// rates were known.
		most := (expensivePassRate - target) / (expensivePassRate - 0.7) * (expensivePrice - cheapPrice)
		is.True(f.cost <= expensivePrice-most/10)
	}
}

// TestCheapModelDegrades makes the cheap model worse after the Decider has
// learned. If the change of version is announced, the target is met throughout,
// and otherwise after one window.
func TestCheapModelDegrades(t *testing.T) {
	t.Parallel()
	target := costBounds(t)["QualityTarget"] * expensivePassRate
	for seed := range uint64(costSeeds) {
		is := is.New(t)
		trial := trained(seed, classesTellDifficulty)
		announced := seed%2 == 0
		pass := 0.85
		if announced {
			pass = 0.5
			trial.decider.ModelChanged("cheap")
		}
		trial.nextTask = func(rnd *rand.Rand) task { return task{classesTellDifficulty(rnd).class, pass} }
		if !announced {
			trial.run(window)
		}
		is.True(trial.run(measuredRequests).worstWindow >= target)
	}
}

func TestExplorationIsBounded(t *testing.T) {
	is := is.New(t)
	trial := newTrial(1, singleClass, nil)
	trial.ratingsStopped = true // no outcome is ever learned
	trial.run(trainingRequests)
	is.True(trial.explorations <= 0.055*trainingRequests)
	is.True(trial.explorations >= 0.045*trainingRequests)
}

func BenchmarkCostAtQuality(b *testing.B) {
	b.Run("Unjudged/Decider", func(b *testing.B) {
		for range b.N {
			t := newTrial(1, singleClass, nil)
			t.judgeOff = true
			t.run(trainingRequests)
			f := t.run(measuredRequests)
			b.ReportMetric(f.cost, "cost")
			b.ReportMetric(f.worstWindow, "worst-window")
		}
	})
	for _, w := range []struct {
		name string
		workload
	}{{"Features", classesTellDifficulty}, {"NoFeatures", singleClass}, {"Borderline", borderline}} {
		for _, p := range []struct {
			name string
			policy
		}{{"Decider", nil}, {"AlwaysDear", always("dear")}, {"AlwaysCheap", always("cheap")}, {"CheapFirst", cheapFirst}, {"Oracle", oracle}} {
			b.Run(w.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					t := newTrial(1, w.workload, p.policy)
					first := t.run(trainingRequests)
					f := t.run(measuredRequests)
					b.ReportMetric(f.cost, "cost")
					b.ReportMetric(f.pass, "pass")
					b.ReportMetric(f.worstWindow, "worst-window")
					b.ReportMetric(first.cost, "learning-cost")
					b.ReportMetric(first.worstWindow, "learning-worst-window")
				}
			})
		}
	}
}

// BenchmarkDecide measures the time of one decision under concurrent readers.
func BenchmarkDecide(b *testing.B) {
	d := trained(1, classesTellDifficulty).decider
	q := Query{Customer: "c", Class: "easy", Models: []Candidate{{"dear", 10}, {"cheap", 1}}, QualityTarget: 0.95, Judge: true}
	b.RunParallel(func(pb *testing.PB) {
		rnd := rand.New(rand.NewPCG(1, 1))
		for pb.Next() {
			d.Decide(q, rnd)
		}
	})
}
