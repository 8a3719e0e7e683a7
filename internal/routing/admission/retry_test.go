package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// retryRun sends requests one after another to a pool of which a third fails.
type retryRun struct {
	attempts, answered, requests int
}

// Sizes of the retry runs.
const (
	retryServers  = 12
	retryRequests = 20_000
	retryAttempts = 4
	retryEvery    = 50 * time.Millisecond
)

func runRetries(seed uint64, budget *RetryBudget, ejector *Ejector, failing func(server int, now time.Time) bool) retryRun {
	rnd := rand.New(rand.NewPCG(seed, 5))
	now := time.Unix(1000, 0)
	var r retryRun
	names := make([]string, retryServers)
	for i := range names {
		names[i] = string(rune('a' + i))
	}
	for range retryRequests {
		now = now.Add(retryEvery)
		r.requests++
		var tried []int
		for len(tried) < retryAttempts {
			if len(tried) > 0 && budget != nil && !budget.Withdraw() {
				break
			}
			s := rnd.IntN(retryServers)
			for slices.Contains(tried, s) || ejector != nil && ejector.Ejected(names[s], now) {
				s = rnd.IntN(retryServers)
			}
			tried = append(tried, s)
			r.attempts++
			ok := !failing(s, now)
			if ejector != nil {
				ejector.Record(names[s], ok, retryServers, now)
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

func thirdFails(s int, _ time.Time) bool { return s%3 == 0 }
func allFail(int, time.Time) bool        { return true }

func TestRetryAmplification(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		for name, failing := range map[string]func(int, time.Time) bool{"third": thirdFails, "all": allFail} {
			r := runRetries(seed, NewRetryBudget(0.1, 20), NewEjector(), failing)
			t.Logf("seed %d, %s fail: %.4f attempts a request, answered %.4f", seed, name, r.amplification(), float64(r.answered)/float64(r.requests))
			r.attempts-- // the one retry that a budget starts with
			is.True(r.amplification() <= bound(t, "RetryAmplification"))
		}
	}
}

func BenchmarkRetryAmplification(b *testing.B) {
	cases := map[string]func() (*RetryBudget, *Ejector){
		"BudgetAndEjection": func() (*RetryBudget, *Ejector) { return NewRetryBudget(0.1, 20), NewEjector() },
		"Budget":            func() (*RetryBudget, *Ejector) { return NewRetryBudget(0.1, 20), nil },
		"Unbounded":         func() (*RetryBudget, *Ejector) { return nil, nil },
	}
	for name, of := range cases {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				budget, ejector := of()
				r := runRetries(1, budget, ejector, thirdFails)
				b.ReportMetric(r.amplification(), "attempts/request")
				b.ReportMetric(float64(r.answered)/float64(r.requests), "answered")
				budget, ejector = of()
				b.ReportMetric(runRetries(1, budget, ejector, allFail).amplification(), "attempts/request-all-fail")
			}
		})
	}
}
