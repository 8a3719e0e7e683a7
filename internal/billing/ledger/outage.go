package ledger

import (
	"sync"
	"time"
)

// probeInterval is how often a shard without a store is tried.
const probeInterval = time.Second

// circuitBreaker is a circuit breaker: while the store fails, one try a second is
// let through and everything else is answered at once.
type circuitBreaker struct {
	mu           sync.Mutex
	failingSince time.Time
	lastProbe    time.Time
}

// allow reports whether a request may go to the store now.
func (o *circuitBreaker) allow(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failingSince.IsZero() {
		return true
	}
	if now.Sub(o.lastProbe) < probeInterval {
		return false
	}
	o.lastProbe = now
	return true
}

func (o *circuitBreaker) recordFailure(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failingSince.IsZero() {
		o.failingSince = now
	}
	o.lastProbe = now
}

func (o *circuitBreaker) recordSuccess() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failingSince = time.Time{}
}

// failingFor returns how long the store has been failing.
func (o *circuitBreaker) failingFor(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failingSince.IsZero() {
		return 0
	}
	return now.Sub(o.failingSince)
}
