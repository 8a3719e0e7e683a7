package store

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Bounds of the pause after a failure.
const (
	minHold = 100 * time.Millisecond
	// maxDutyHold keeps the pause of duties well under the time in which a
	// change must be in force.
	maxDutyHold = time.Second
	// maxHold spreads the return of what every instance calls.
	maxHold = 10 * time.Second
)

// hold is the pause that the client keeps after failures: exponential with
// full jitter, so that instances that failed together do not return together.
type hold struct {
	clock clockwork.Clock
	mu    sync.Mutex
	rng   *rand.Rand
	fails int
	since time.Time
	draw  float64
}

// failed records a failure and draws the next pause.
func (h *hold) failed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fails++
	h.since = h.clock.Now()
	h.draw = h.rng.Float64()
}

func (h *hold) succeeded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fails = 0
}

// open reports whether a call may be sent now.
func (h *hold) open(p Purpose) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fails == 0 {
		return true
	}
	return h.clock.Since(h.since) >= h.pause(p)
}

func (h *hold) pause(p Purpose) time.Duration {
	limit := maxHold
	if p.isDuty() {
		limit = maxDutyHold
	}
	ceiling := min(minHold<<min(h.fails, 10), limit)
	return ceiling/2 + time.Duration(h.draw*float64(ceiling)/2)
}
