package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var (
	// requestCounters counts requests by route kind, reason and run state.
	requestCounters = expvar.NewMap("Requests")
	// latencies holds histograms by route kind: the time to the complete answer,
	// in the queue and to the first event, and the longest pause between events.
	latencies = newHistograms("Latency")
	// viewAges holds the age of what this instance knows, in milliseconds.
	viewAges = expvar.NewMap("Ages")
	// memoryUse holds the bytes that are reserved for connections and calls in progress, and
	// the callers' open connections.
	memoryUse = expvar.NewMap("Memory")
)

// publishGauges publishes the memory that is reserved and the ages of a gateway's view. An
// age is -1 if there is nothing yet.
func (g *Gateway) publishGauges() {
	g.publishSpeeds()
	memoryUse.Set("Limit", expvar.Func(func() any { return g.memory.whole.Limit() }))
	memoryUse.Set("Reserved", expvar.Func(func() any { return g.memory.whole.Used() }))
	memoryUse.Set("Requests", expvar.Func(func() any { return g.memory.requests.Used() }))
	memoryUse.Set("Answers", expvar.Func(func() any { return g.memory.answers.Used() }))
	gauge := func(name string, age func() (time.Duration, bool)) {
		viewAges.Set(name, expvar.Func(func() any {
			if d, ok := age(); ok {
				return d.Milliseconds()
			}
			return -1
		}))
	}
	gauge("Confirmation", g.follower.ConfirmationAge)
	gauge("StoreContact", g.follower.ContactAge)
	gauge("View", g.follower.ViewAge)
	gauge("Table", func() (time.Duration, bool) { return g.Clock.Since(g.lastTableChange()), g.Table() != nil })
}

// lastTableChange returns when the current routing table was applied.
func (g *Gateway) lastTableChange() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tableChangedAt
}

// Range of the histograms, in microseconds, and their precision.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = int64(time.Minute / time.Microsecond)
	latencySignificantDigits = 2
)

// histograms holds latency histograms by name. They are published as quantiles
// in milliseconds.
type histograms struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

// newHistograms returns an empty set that is published as an expvar variable.
func newHistograms(name string) *histograms {
	h := &histograms{byName: map[string]*hdrhistogram.Histogram{}}
	expvar.Publish(name, expvar.Func(h.snapshot))
	return h
}

// observe adds a duration to the named histogram.
func (h *histograms) observe(name string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histogram := h.byName[name]
	if histogram == nil {
		histogram = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
		h.byName[name] = histogram
	}
	// Values outside the range are clamped to it.
	if histogram.RecordValue(min(maxLatencyMicros, max(minLatencyMicros, d.Microseconds()))) != nil {
		requestCounters.Add("LatencyNotRecorded", 1)
	}
}

// quantiles is the published form of a histogram. Its field names are those of
// the JSON output.
type quantiles struct {
	Count               int64
	P50Ms, P95Ms, P99Ms float64
	MeanMs              float64
}

// snapshot returns the quantiles of all histograms, by name.
func (h *histograms) snapshot() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[string]quantiles{}
	for name, histogram := range h.byName {
		quantile := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1000 }
		all[name] = quantiles{Count: histogram.TotalCount(), P50Ms: quantile(50), P95Ms: quantile(95), P99Ms: quantile(99), MeanMs: histogram.Mean() / 1000}
	}
	return all
}
