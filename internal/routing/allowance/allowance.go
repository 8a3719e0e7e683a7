// Package allowance limits the retries that all instances send together. Over
// any window, the retries of a service stay within Ratio times its requests plus
// BaseRetries. Each instance enforces its own part of the limit, Ratio times its
// own requests plus an equal part of BaseRetries, so the total holds without
// communication between instances. A new process doesn't know what its predecessor has spent,
// so that it has no part of BaseRetries for a window.
//
// It is designed for the failure of many servers at once, when every request
// would otherwise be sent to each of them in turn.
package allowance

import (
	"sync"
	"time"
)

// Settings configures a RetryBudget.
type Settings struct {
	// Ratio is the number of retries allowed per request in the window.
	Ratio float64
	// BaseRetries is the number of retries that all instances together may send
	// in a window in addition to Ratio.
	BaseRetries float64
	Window      time.Duration
}

// safetyFactor is the fraction of the limit that is used. The windows of the
// instances are not aligned, and a request counts when it arrives at the instance,
// which may be in a later window than the one in which it was sent.
const safetyFactor = 0.8

// bucketCount is the number of steps in which a window slides.
const bucketCount = 10

// RetryBudget counts the requests and retries of one service in a sliding window.
// It is safe for concurrent use.
type RetryBudget struct {
	settings Settings

	mu sync.Mutex
	// start is the time of the first event, from which buckets are numbered. Differences
	// of times don't follow jumps of the time of day.
	start    time.Time
	requests window
	retries  window
}

// window counts events per time bucket. It holds one bucket more than a window is
// long, so that the oldest bucket leaves only once it is entirely outside.
type window struct {
	counts [bucketCount + 1]int
	// newest is the number of the newest bucket.
	newest int64
}

// New returns a RetryBudget that has counted nothing yet.
func New(s Settings) *RetryBudget { return &RetryBudget{settings: s} }

// bucketAt returns the number of the bucket of a time. The caller holds mu.
func (b *RetryBudget) bucketAt(now time.Time) int64 {
	if b.start.IsZero() {
		b.start = now
	}
	return bucketCount + 1 + int64(now.Sub(b.start)/max(1, b.settings.Window/bucketCount))
}

func (w *window) advance(bucket int64) {
	for w.newest < bucket {
		if bucket-w.newest > bucketCount {
			w.newest = bucket - bucketCount - 1
		}
		w.newest++
		w.counts[w.newest%(bucketCount+1)] = 0
	}
}

func (w *window) total() int {
	n := 0
	for _, c := range w.counts {
		n += c
	}
	return n
}

// RecordRequest counts a request when it first arrives at the router. Retries are
// not counted as requests.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucketAt(now)
	b.requests.advance(bucket)
	b.requests.counts[bucket%(bucketCount+1)]++
}

// TryRetry takes one retry from the budget and reports whether one was left.
// baseShare is this instance's share of BaseRetries, 0 to 1. reserve is the
// fraction of the limit, 0 to 1, that must remain afterwards. A retry that only improves
// the answer leaves such a reserve for retries after failures.
func (b *RetryBudget) TryRetry(now time.Time, baseShare, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucketAt(now)
	b.requests.advance(bucket)
	b.retries.advance(bucket)
	limit := safetyFactor * (b.settings.Ratio*float64(b.requests.total()) + b.settings.BaseRetries*baseShare)
	if float64(b.retries.total()+1) > limit*(1-reserve) {
		return false
	}
	b.retries.counts[bucket%(bucketCount+1)]++
	return true
}
