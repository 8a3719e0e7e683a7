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

// margin is the part of the bound that is used: instances' windows do not
// slide together, and requests that arrive late count for a later window.
const margin = 0.8

// buckets is how many steps a window slides in.
const buckets = 10

// RetryBudget keeps count of one service's requests and repeats.
type RetryBudget struct {
	settings Settings

	mu       sync.Mutex
	requests window
	repeats  window
}

// window counts events by bucket of time.
type window struct {
	counts [buckets + 1]int
	// last is the number of the newest bucket.
	last int64
}

// New returns an allowance without history.
func New(s Settings) *RetryBudget { return &RetryBudget{settings: s} }

func (a *RetryBudget) bucket(now time.Time) int64 {
	return now.UnixNano() / int64(max(1, a.settings.Window/buckets))
}

func (w *window) advance(bucket int64) {
	for w.last < bucket {
		if bucket-w.last > buckets {
			w.last = bucket - buckets - 1
		}
		w.last++
		w.counts[w.last%(buckets+1)] = 0
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
func (a *RetryBudget) RecordRequest(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	bucket := a.bucket(now)
	a.requests.advance(bucket)
	a.requests.counts[bucket%(buckets+1)]++
}

// TryRetry takes one repeat. It returns false if none is left; reserve is the part
// of the bound, 0 to 1, that must remain after it for more important repeats.
func (a *RetryBudget) TryRetry(now time.Time, instances int, reserve float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	bucket := a.bucket(now)
	a.requests.advance(bucket)
	a.repeats.advance(bucket)
	bound := margin * (a.settings.Ratio*float64(a.requests.total()) + a.settings.BaseRetries/float64(max(1, instances)))
	if float64(a.repeats.total()+1) > bound*(1-reserve) {
		return false
	}
	a.repeats.counts[bucket%(buckets+1)]++
	return true
}
