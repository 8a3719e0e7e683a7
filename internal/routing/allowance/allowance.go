// Package allowance bounds how often instances send requests again. The bound
// holds for all instances together and over any span of its window, so each
// keeps to its own requests' share and an equal part of the slack; then the
// sum holds without a message between them.
//
// Load pattern that it answers: many servers fail at once, and every request
// would be sent to each of them in turn.
package allowance

import (
	"sync"
	"time"
)

// Settings of an allowance.
type Settings struct {
	// Ratio is the number of repeats allowed for each request of the window.
	Ratio float64
	// BaseRetries is the number of repeats allowed beside that, for all instances.
	BaseRetries float64
	Window      time.Duration
}

// safetyFactor is the part of the bound that is used: instances' windows do not
// slide together, and requests that arrive late count for a later window.
const safetyFactor = 0.8

// bucketCount is how many steps a window slides in.
const bucketCount = 10

// RetryBudget keeps count of one service's requests and repeats.
type RetryBudget struct {
	settings Settings

	mu       sync.Mutex
	requests window
	retries  window
}

// window counts events by bucket of time.
type window struct {
	counts [bucketCount + 1]int
	// newest is the number of the newest bucket.
	newest int64
}

// New returns an allowance without history.
func New(s Settings) *RetryBudget { return &RetryBudget{settings: s} }

func (b *RetryBudget) bucket(now time.Time) int64 {
	return now.UnixNano() / int64(max(1, b.settings.Window/bucketCount))
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

// RecordRequest notes a request's first arrival at the router.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(now)
	b.requests.advance(bucket)
	b.requests.counts[bucket%(bucketCount+1)]++
}

// TryRetry takes one repeat. It returns false if none is left; reserve is the part
// of the bound, 0 to 1, that must remain after it for more important repeats.
func (b *RetryBudget) TryRetry(now time.Time, instances int, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(now)
	b.requests.advance(bucket)
	b.retries.advance(bucket)
	limit := safetyFactor * (b.settings.Ratio*float64(b.requests.total()) + b.settings.BaseRetries/float64(max(1, instances)))
	if float64(b.retries.total()+1) > limit*(1-reserve) {
		return false
	}
	b.retries.counts[bucket%(bucketCount+1)]++
	return true
}
