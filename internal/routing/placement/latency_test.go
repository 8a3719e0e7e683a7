package placement_test

import (
	"slices"
	"testing"
	"time"
)

// measureFirstTokens runs the site at 80% of its capacity, with one server in four in
// cold start, and returns the times to first token.
func measureFirstTokens(seed uint64, s site, choose policy) []time.Duration {
	t := newTraffic(seed, s, choose)
	totalCapacity := 0
	for i, e := range t.engines {
		if i%4 == 3 {
			e.turnCold(time.Hour, true)
		}
		totalCapacity += e.capacity()
	}
	t.generateLoad(0.8*float64(totalCapacity)/meanRequestDuration.Seconds(), 60*time.Second)
	t.run(20 * time.Second)
	t.firstTokens = nil // drop the warm-up
	t.run(40 * time.Second)
	return t.firstTokens
}

// firstTokenP95 returns the 95th percentile over the requests of all seeds.
func firstTokenP95(s site, choose policy, seeds int) time.Duration {
	times := make([][]time.Duration, seeds)
	parallel(seeds, func(i int) { times[i] = measureFirstTokens(uint64(i), s, choose) })
	return percentile(slices.Concat(times...), 0.95)
}

// The placer's time to first token is under its bound and lower than the baselines'.
func TestFirstTokenP95(t *testing.T) {
	limit := time.Duration(bound(t, "FirstTokenP95Seconds") * float64(time.Second))
	for _, s := range sites {
		var ours time.Duration
		for i, p := range policies {
			got := firstTokenP95(s, p.choose, p.seeds)
			t.Logf("%s %s: %v", s.name, p.name, got)
			if i == 0 {
				ours = got
			} else if ours >= got {
				t.Errorf("%s: %v is not under %s with %v", s.name, ours, p.name, got)
			}
		}
		if ours > limit {
			t.Errorf("%s: %v is over the bound of %v", s.name, ours, limit)
		}
	}
}

func BenchmarkFirstTokenP95(b *testing.B) {
	for _, s := range sites {
		for _, p := range policies {
			b.Run(s.name+"/"+p.name, func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(firstTokenP95(s, p.choose, p.seeds).Seconds(), "p95-s")
				}
			})
		}
	}
}
