package ledger

import (
	"sync"
	"time"
)

// probeInterval is the interval at which a failing store is probed.
const probeInterval = time.Second

// circuitBreaker is open while the store fails: it lets one attempt per
// probeInterval through and rejects all others immediately.
type circuitBreaker struct {
	mu           sync.Mutex
	failingSince time.Time
	lastProbe    time.Time
}

// allow reports whether a request may go to the store now.
func (b *circuitBreaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failingSince.IsZero() {
		return true
	}
	if now.Sub(b.lastProbe) < probeInterval {
		return false
	}
	b.lastProbe = now
	return true
}

func (b *circuitBreaker) recordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failingSince.IsZero() {
		b.failingSince = now
	}
	b.lastProbe = now
}

func (b *circuitBreaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failingSince = time.Time{}
}

// failingFor returns how long the store has been failing, or zero if it works.
func (b *circuitBreaker) failingFor(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failingSince.IsZero() {
		return 0
	}
	return now.Sub(b.failingSince)
}
