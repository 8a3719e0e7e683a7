package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// retryRun counts the requests of a simulation in which some servers of a pool
// fail, their attempts, and the requests that were answered.
type retryRun struct {
	attempts, answered, requests int
}

// Parameters of the retry simulation.
const (
	serverCount     = 12
	requestCount    = 20_000
	maxAttempts     = 4
	requestInterval = 50 * time.Millisecond
)

func runRetries(seed uint64, budget *RetryBudget, ejector *Ejector, failing func(server int, now time.Time) bool) retryRun {
	rnd := rand.New(rand.NewPCG(seed, 5))
	now := time.Unix(1000, 0)
	var r retryRun
	names := make([]string, serverCount)
	for i := range names {
		names[i] = string(rune('a' + i))
	}
	for range requestCount {
		now = now.Add(requestInterval)
		r.requests++
		var tried []int
		for len(tried) < maxAttempts {
			if len(tried) > 0 && budget != nil && !budget.Withdraw() {
				break
			}
			s := rnd.IntN(serverCount)
			for slices.Contains(tried, s) || ejector != nil && ejector.Ejected(names[s], now) {
				s = rnd.IntN(serverCount)
			}
			tried = append(tried, s)
			r.attempts++
			ok := !failing(s, now)
			if ejector != nil {
				ejector.Record(names[s], ok, serverCount, now)
			}
			if ok {
				r.answered++
				break
			}
		}
		if budget != nil {
			budget.Deposit()
		}
	}
	return r
}

func (r retryRun) amplification() float64 { return float64(r.attempts) / float64(r.requests) }

func thirdFail(s int, _ time.Time) bool { return s%3 == 0 }
func allFail(int, time.Time) bool       { return true }

// Retries do not multiply the load when a third or all of the servers fail.
func TestRetryAmplification(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		for name, failing := range map[string]func(int, time.Time) bool{"third": thirdFail, "all": allFail} {
			r := runRetries(seed, NewRetryBudget(0.1, 20), NewEjector(), failing)
			t.Logf("seed %d, %s fail: %.4f attempts per request, answered %.4f", seed, name, r.amplification(), float64(r.answered)/float64(r.requests))
			r.attempts-- // the budget starts with one retry
			is.True(r.amplification() <= readBound(t, "RetryAmplification"))
		}
	}
}

func BenchmarkRetryAmplification(b *testing.B) {
	cases := map[string]func() (*RetryBudget, *Ejector){
		"BudgetAndEjection": func() (*RetryBudget, *Ejector) { return NewRetryBudget(0.1, 20), NewEjector() },
		"Budget":            func() (*RetryBudget, *Ejector) { return NewRetryBudget(0.1, 20), nil },
		"Unbounded":         func() (*RetryBudget, *Ejector) { return nil, nil },
	}
	for name, create := range cases {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				budget, ejector := create()
				r := runRetries(1, budget, ejector, thirdFail)
				b.ReportMetric(r.amplification(), "attempts/request")
				b.ReportMetric(float64(r.answered)/float64(r.requests), "answered")
				budget, ejector = create()
				b.ReportMetric(runRetries(1, budget, ejector, allFail).amplification(), "attempts/request-all-fail")
			}
		})
	}
}
