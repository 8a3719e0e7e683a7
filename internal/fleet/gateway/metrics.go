package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var (
	// outcomes counts the requests by kind, reason and run state.
	outcomes = expvar.NewMap("Requests")
	// latencies holds histograms by kind: to the whole answer, to the first
	// event, and of the longest pause between events.
	latencies = newHistograms("Latency")
	// ages holds how old this instance's beliefs are, in milliseconds.
	ages = expvar.NewMap("Ages")
)

// publishAges shows the ages of a gateway's beliefs; -1 is what it has not yet.
func (g *Gateway) publishAges() {
	gauge := func(name string, age func() (time.Duration, bool)) {
		ages.Set(name, expvar.Func(func() any {
			if d, ok := age(); ok {
				return d.Milliseconds()
			}
			return -1
		}))
	}
	gauge("Confirmation", g.follower.ConfirmationAge)
	gauge("StoreContact", g.follower.ContactAge)
	gauge("Table", func() (time.Duration, bool) { return g.Clock.Since(g.tableAt()), g.Table() != nil })
}

// tableAt is when the table in force was taken in.
func (g *Gateway) tableAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tableSince
}

// Range and precision of the histograms, in microseconds.
const (
	leastLatency    = 1
	greatestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits   = 2
)

// histograms are published as quantiles in milliseconds.
type histograms struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

func newHistograms(name string) *histograms {
	h := &histograms{byName: map[string]*hdrhistogram.Histogram{}}
	expvar.Publish(name, expvar.Func(h.snapshot))
	return h
}

func (h *histograms) observe(name string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histogram := h.byName[name]
	if histogram == nil {
		histogram = hdrhistogram.New(leastLatency, greatestLatency, latencyDigits)
		h.byName[name] = histogram
	}
	// A value beyond the range counts as the greatest.
	if histogram.RecordValue(min(greatestLatency, max(leastLatency, d.Microseconds()))) != nil {
		outcomes.Add("LatencyNotRecorded", 1)
	}
}

type quantiles struct {
	Count               int64
	P50Ms, P95Ms, P99Ms float64
	MeanMs              float64
}

func (h *histograms) snapshot() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[string]quantiles{}
	for name, histogram := range h.byName {
		at := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1000 }
		all[name] = quantiles{Count: histogram.TotalCount(), P50Ms: at(50), P95Ms: at(95), P99Ms: at(99), MeanMs: histogram.Mean() / 1000}
	}
	return all
}
