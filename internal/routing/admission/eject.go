package admission

import (
	"sync"
	"time"
)

// Ejector takes servers out of use whose requests fail one after another. The
// share of servers out of use at a time is bounded, so that a fault of many
// cannot empty a pool.
type Ejector struct {
	// ConsecutiveFailures in a row eject a server.
	ConsecutiveFailures int
	// BaseEjectionTime is the first time out of use; it doubles with each return to
	// failure, up to Longest.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// MaxEjectedShare bounds the share of servers out of use, 0 to 1.
	MaxEjectedShare float64

	mu      sync.RWMutex
	servers map[string]*record
}

// record is what the ejector knows of one server.
type record struct {
	failures int
	times    int
	until    time.Time
	lastUse  time.Time
}

// NewEjector returns an ejector with the settings that instances use.
func NewEjector() *Ejector {
	return &Ejector{ConsecutiveFailures: 3, BaseEjectionTime: 5 * time.Second, MaxEjectionTime: 60 * time.Second, MaxEjectedShare: 0.5, servers: map[string]*record{}}
}

// Record takes in how an attempt on a server of a pool of the size ended.
func (e *Ejector) Record(server string, ok bool, pool int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.servers[server]
	if r == nil {
		r = &record{}
		e.servers[server] = r
	}
	r.lastUse = now
	if ok {
		r.failures = 0
		if now.After(r.until.Add(e.MaxEjectionTime)) {
			r.times = 0
		}
		return
	}
	r.failures++
	if r.failures < e.ConsecutiveFailures || now.Before(r.until) {
		return
	}
	if float64(e.out(now)+1) > e.MaxEjectedShare*float64(pool) {
		counters.Add("EjectionBounded", 1)
		return
	}
	r.until = now.Add(min(e.BaseEjectionTime<<min(r.times, 10), e.MaxEjectionTime))
	r.times++
	r.failures = e.ConsecutiveFailures - 1 // one more failure ejects it again
	counters.Add("Ejected", 1)
}

func (e *Ejector) out(now time.Time) int {
	n := 0
	for name, r := range e.servers {
		if now.Before(r.until) {
			n++
		} else if now.Sub(r.lastUse) > forgetAfter {
			delete(e.servers, name)
		}
	}
	return n
}

// forgetAfter is how long an unused server is remembered.
const forgetAfter = 10 * time.Minute

// Ejected reports whether the server is out of use now.
func (e *Ejector) Ejected(server string, now time.Time) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	r := e.servers[server]
	return r != nil && now.Before(r.until)
}
