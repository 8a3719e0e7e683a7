package cascade

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestExchangeCountsOnce checks that each outcome counts once even if its
// counters are reported twice, late and out of order.
func TestExchangeCountsOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(7200, 0)
	a := NewExchange(New(), "a", 1)
	b := NewExchange(New(), "b", 1)
	var reports [][]Counter
	for i := range 20 {
		a.decider.Observe(Outcome{"c", "k", Direct, "cheap", i%2 == 0, now})
		reports = append(reports, overTheWire(a.Counters(now)))
	}
	b.Merge(reports[9], now)
	for range 2 {
		for i := len(reports) - 1; i >= 0; i-- {
			b.Merge(reports[i], now)
			a.Merge(reports[i], now)
		}
	}
	for _, x := range []*Exchange{a, b} {
		known := x.decider.ratesFor("c", "k").get("cheap", Direct)
		is.Equal(known.total, 20.0)
		is.Equal(known.passed, 10.0)
	}
	is.Equal(len(b.Counters(now)), 0) // outcomes learned from others are not passed on

	now = now.Add(epochLength)
	is.Equal(len(a.Counters(now)), 0)
	a.decider.Observe(Outcome{"c", "k", Direct, "cheap", true, now})
	b.Merge(a.Counters(now), now)
	is.Equal(b.decider.ratesFor("c", "k").get("cheap", Direct).total, 21.0)
}

// overTheWire returns the counters after a round trip through their protocol
// messages.
func overTheWire(counters []Counter) []Counter {
	var list []Counter
	for i := range counters {
		c, ok := CounterFromMessage(counters[i].Message())
		if ok {
			list = append(list, c)
		}
	}
	return list
}
