package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// highest is the longest duration that a histogram tells apart.
const highest = 5 * time.Minute

// Quantiles are those of one latency.
type Quantiles struct {
	Count int64
	P50   time.Duration
	P95   time.Duration
	P99   time.Duration
	Max   time.Duration
}

// Report is the summary of a run.
type Report struct {
	Requests      int
	Answered      int
	Refused       int
	Failed        int
	Dropped       int
	Tokens        int
	Duration      time.Duration
	FirstToken    Quantiles
	BetweenTokens Quantiles
	Total         Quantiles
	// Reasons counts refusals by reason, and failures by result.
	Reasons map[string]int
}

// String returns the report as one line of key=value pairs.
func (r Report) String() string {
	var reasons strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(&reasons, " Reason.%s=%d", name, r.Reasons[name])
	}
	return fmt.Sprintf("Event=Load Requests=%d Answered=%d Refused=%d Failed=%d Dropped=%d Tokens=%d Seconds=%.1f FirstTokenP50=%s FirstTokenP95=%s BetweenTokensP95=%s TotalP95=%s%s",
		r.Requests, r.Answered, r.Refused, r.Failed, r.Dropped, r.Tokens, r.Duration.Seconds(),
		r.FirstToken.P50, r.FirstToken.P95, r.BetweenTokens.P95, r.Total.P95, reasons.String())
}

// histogram is an HDR histogram in microseconds that many goroutines fill.
type histogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{hist: hdrhistogram.New(1, highest.Microseconds(), 3)}
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.hist.RecordValue(min(max(d.Microseconds(), 1), highest.Microseconds()))
}

func (h *histogram) quantiles() Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := func(q float64) time.Duration { return time.Duration(h.hist.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{h.hist.TotalCount(), at(50), at(95), at(99), at(100)}
}

type histograms struct {
	first   *histogram
	between *histogram
	total   *histogram
}

// tally counts outcomes.
type tally struct {
	mu     sync.Mutex
	report Report
}

func (t *tally) add(change func(*Report)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.report)
}

func (r *run) count(out Outcome) {
	r.tally.add(func(rep *Report) {
		rep.Requests++
		rep.Tokens += out.Tokens
		switch {
		case out.IsWhole():
			rep.Answered++
		case out.Result == ResultRefused:
			rep.Refused++
			rep.Reasons[out.Reason]++
		default:
			rep.Failed++
			rep.Reasons[string(out.Result)]++
		}
	})
	if !out.IsWhole() {
		return
	}
	r.histograms.total.record(out.EndedAt.Sub(out.SentAt))
	if out.FirstToken > 0 {
		r.histograms.first.record(out.FirstToken)
	}
}

// summary returns the report so far.
func (r *run) summary() Report {
	r.tally.mu.Lock()
	rep := r.tally.report
	rep.Reasons = maps.Clone(rep.Reasons)
	r.tally.mu.Unlock()
	rep.Duration = r.clock.Since(r.began)
	rep.FirstToken = r.histograms.first.quantiles()
	rep.BetweenTokens = r.histograms.between.quantiles()
	rep.Total = r.histograms.total.quantiles()
	return rep
}
