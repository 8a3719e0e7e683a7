package rollout

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// readBounds reads the lines Name=value of testdata/bounds.txt.
func readBounds(t testing.TB) map[string]float64 {
	t.Helper()
	text, err := os.ReadFile("testdata/bounds.txt")
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), "=")
		if !ok {
			continue
		}
		if values[name], err = strconv.ParseFloat(value, 64); err != nil {
			t.Fatal(err)
		}
	}
	return values
}

// simulateSeeds simulates one rollout for each seed, with one request per
// session.
func simulateSeeds(seeds int, f fault, decide func(DecisionInput) Decision) []simResult {
	return simulateSessionSeeds(seeds, f, decide, 1)
}

// simulateSessionSeeds simulates one rollout for each seed, with several
// requests per session.
func simulateSessionSeeds(seeds int, f fault, decide func(DecisionInput) Decision, turns int) []simResult {
	results := make([]simResult, seeds)
	var g errgroup.Group
	g.SetLimit(3)
	for i := range results {
		g.Go(func() error {
			results[i] = simulate(uint64(i), f, decide, turns)
			return nil
		})
	}
	_ = g.Wait()
	return results
}

func count(results []simResult, match func(simResult) bool) int {
	n := 0
	for _, r := range results {
		if match(r) {
			n++
		}
	}
	return n
}

// quantile returns the exposure that a share q of the runs does not exceed.
func quantile(results []simResult, q float64) int {
	var list []int
	for _, r := range results {
		list = append(list, r.Exposed)
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

func goodExcept(change func(*quality)) quality {
	q := good
	change(&q)
	return q
}

var (
	drifted  = goodExcept(func(q *quality) { q.pass = 0.85 })
	outright = goodExcept(func(q *quality) { q.pass, q.fail = 0, 0.9 })
)

var faults = []struct {
	name  string
	seeds int
	fault
}{
	{"Drifted", exposureSeeds, func(faultContext) quality { return drifted }},
	{"Outright", exposureSeeds, func(faultContext) quality { return outright }},
	{"Empty", otherSeeds, func(faultContext) quality { return goodExcept(func(q *quality) { q.pass = 0 }) }},
	{"Slow", otherSeeds, func(faultContext) quality { return goodExcept(func(q *quality) { q.firstToken *= 3 }) }},
	{"Wordy", otherSeeds, func(faultContext) quality { return goodExcept(func(q *quality) { q.tokens *= 3 }) }},
	{"LaterStage", otherSeeds, func(c faultContext) quality {
		if c.stage >= 2 {
			return drifted
		}
		return good
	}},
	{"MidStage", otherSeeds, func(c faultContext) quality {
		if c.stage > 3 || c.stage == 3 && c.age > MinStageDuration/2 {
			return drifted
		}
		return good
	}},
	{"Complete", otherSeeds, func(c faultContext) quality {
		if c.complete {
			return drifted
		}
		return good
	}},
	{"OneCustomer", otherSeeds, func(c faultContext) quality {
		if c.customer == "b" {
			return goodExcept(func(q *quality) { q.pass = 0.6 })
		}
		return good
	}},
}

// TestBadExposure guards against detecting a bad version too late: it limits
// the number of requests that the new version serves while it is bad.
func TestBadExposure(t *testing.T) {
	bound := readBounds(t)
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			results := simulateSeeds(f.seeds, f.fault, Decide)
			stopped := count(results, func(r simResult) bool { return r.Stopped })
			is.True(100*stopped >= 95*f.seeds) // detected in at least 95 of 100 seeds
			switch f.name {
			case "Drifted":
				within := count(results, func(r simResult) bool { return r.Stopped && r.Exposed <= 200 })
				is.True(100*within >= int(bound["DriftSeedsWithin200"])*f.seeds)
				byTimer := simulate(0, f.fault, timerPolicy, 1)
				is.True(float64(quantile(results, 1)) <= bound["DriftExposureOfTimer"]*float64(byTimer.Exposed))
			case "Outright":
				is.True(quantile(results, 1) <= int(bound["OutrightExposure"]))
			}
		})
	}
}

// TestBadExposureOfSessions also counts the requests of sessions in progress,
// which stay on a halted version.
func TestBadExposureOfSessions(t *testing.T) {
	is := is.New(t)
	results := simulateSessionSeeds(exposureSeeds, faults[0].fault, Decide, 6)
	within := count(results, func(r simResult) bool { return r.Stopped && r.Exposed <= 200 })
	is.True(100*within >= int(readBounds(t)["DriftSeedsWithin200"])*exposureSeeds)
}

// TestFalseHalts limits the share of rollouts of an equally good version that
// are halted.
func TestFalseHalts(t *testing.T) {
	is := is.New(t)
	results := simulateSeeds(exposureSeeds, noFault, Decide)
	is.True(100*count(results, func(r simResult) bool { return r.Stopped }) <= int(readBounds(t)["FalseHalts"])*exposureSeeds)
	is.True(100*count(results, func(r simResult) bool { return r.State == configuration.RolloutComplete }) >= 95*exposureSeeds)
}

func BenchmarkBadExposure(b *testing.B) {
	for _, f := range faults {
		b.Run(f.name, func(b *testing.B) {
			for range b.N {
				report(b, simulateSeeds(exposureSeeds, f.fault, Decide))
				b.ReportMetric(float64(simulate(0, f.fault, timerPolicy, 1).Exposed), "timer-exposed")
			}
		})
	}
	b.Run("DriftedSessions", func(b *testing.B) {
		for range b.N {
			report(b, simulateSessionSeeds(exposureSeeds, faults[0].fault, Decide, 6))
		}
	})
	b.Run("Equal", func(b *testing.B) {
		for range b.N {
			report(b, simulateSeeds(exposureSeeds, noFault, Decide))
		}
	})
}

func report(b *testing.B, results []simResult) {
	b.ReportMetric(float64(quantile(results, 0.5)), "exposed-p50")
	b.ReportMetric(float64(quantile(results, 0.95)), "exposed-p95")
	b.ReportMetric(float64(quantile(results, 1)), "exposed-max")
	b.ReportMetric(float64(count(results, func(r simResult) bool { return r.Stopped })), "stopped")
	var took time.Duration
	for _, r := range results {
		took += r.Took
	}
	b.ReportMetric(took.Seconds()/float64(len(results)), "s/rollout")
}

// BenchmarkDecideRollout measures one decision with ten customers.
func BenchmarkDecideRollout(b *testing.B) {
	doc := runningDocument(0, simStages...)
	doc.Customers = customers()
	e := NewEvidence("a", 1, func() *configuration.Document { return doc })
	for i := range 20_000 {
		o := Observation{Customer: doc.Customers[i%10].Name, Model: "m", Version: "v1"}
		if i%7 == 0 {
			o.Version = "v2"
		}
		o.FirstToken, o.Tokens = time.Duration(50+i%400)*time.Millisecond, 1+i%900
		e.Record(o)
		o.Rated, o.Pass = true, i%19 != 0
		e.Record(o)
	}
	in := DecisionInput{Rollout: &doc.Rollouts[0], Pace: 1, Now: startTime}
	for b.Loop() {
		in.Old, in.New = e.VersionSummary("m", "v1"), e.VersionSummary("m", "v2")
		Decide(in)
	}
}
