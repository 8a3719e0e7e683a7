package allowance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// When every attempt fails, the retries of all instances together stay within the
// limit in every window checked, and use more than 60% of it in at least one.
func TestBoundHoldsOverAllInstances(t *testing.T) {
	is := is.New(t)
	const instances = 9
	settings := Settings{Ratio: 0.9, BaseRetries: 58, Window: 10 * time.Second}
	rnd := rand.New(rand.NewPCG(1, 2))
	budgets := make([]*RetryBudget, instances)
	for i := range budgets {
		budgets[i] = New(settings)
	}
	var requests, retries []time.Time
	start := time.Unix(1000, 0)
	for ms := range 40_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		// A burst of five times the usual load, between seconds 15 and 20.
		perSecond := 60.0
		if ms > 15_000 && ms < 20_000 {
			perSecond = 300
		}
		if rnd.Float64() > perSecond/1000 {
			continue
		}
		budget := budgets[rnd.IntN(instances)]
		budget.RecordRequest(now)
		requests = append(requests, now)
		for range 3 {
			if budget.TryRetry(now, 1./instances, 0) {
				retries = append(retries, now)
			}
		}
	}
	countWithin := func(list []time.Time, from, to time.Time) float64 {
		n := 0.0
		for _, at := range list {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
		return n
	}
	maxUsed := 0.0
	for from := start; from.Before(start.Add(30 * time.Second)); from = from.Add(250 * time.Millisecond) {
		to := from.Add(settings.Window)
		limit := settings.Ratio*countWithin(requests, from, to) + settings.BaseRetries
		usedShare := countWithin(retries, from, to) / limit
		is.True(usedShare <= 1)
		maxUsed = max(maxUsed, usedShare)
	}
	is.True(maxUsed > 0.6)
}

func TestReserve(t *testing.T) {
	is := is.New(t)
	budget := New(Settings{Ratio: 1, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	for range 100 {
		budget.RecordRequest(now)
	}
	taken := 0
	for budget.TryRetry(now, 1, 0.5) {
		taken++
	}
	is.Equal(taken, 40) // half of the 80 that safetyFactor leaves
	is.True(budget.TryRetry(now, 1, 0))
	is.True(!budget.TryRetry(now.Add(time.Minute), 1, 0)) // no requests in the current window
}
