package ledger

import (
	"sync"
	"time"
)

// probeInterval is how often a shard without a store is tried.
const probeInterval = time.Second

// outage is a circuit breaker: while the store fails, one try a second is
// let through and everything else is answered at once.
type outage struct {
	mu    sync.Mutex
	since time.Time
	tried time.Time
}

// tryNow reports whether a request may go to the store now.
func (o *outage) tryNow(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		return true
	}
	if now.Sub(o.tried) < probeInterval {
		return false
	}
	o.tried = now
	return true
}

func (o *outage) began(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		o.since = now
	}
	o.tried = now
}

func (o *outage) ended() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since = time.Time{}
}

// outFor returns how long the store has been failing.
func (o *outage) outFor(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		return 0
	}
	return now.Sub(o.since)
}
