package admission

import (
	"sync"
	"time"
)

// Ejector implements outlier ejection: it takes a server out of use after
// consecutive failures. It limits the share of a pool that is ejected at a time,
// so that a failure of many servers cannot empty the pool. It is safe for
// concurrent use.
type Ejector struct {
	// ConsecutiveFailures is the number of failures in a row that ejects a
	// server.
	ConsecutiveFailures int
	// BaseEjectionTime is the duration of a server's first ejection. It doubles
	// with each further ejection, up to MaxEjectionTime, and is reset by a
	// success more than MaxEjectionTime after the last ejection has ended.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// MaxEjectedShare limits the share of servers ejected at a time, 0 to 1.
	MaxEjectedShare float64

	mu      sync.RWMutex
	servers map[string]*serverRecord
}

// serverRecord holds the failures and ejections of one server.
type serverRecord struct {
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	lastUsed            time.Time
}

// NewEjector returns an Ejector with the settings that instances use.
func NewEjector() *Ejector {
	return &Ejector{ConsecutiveFailures: 3, BaseEjectionTime: 5 * time.Second, MaxEjectionTime: 60 * time.Second, MaxEjectedShare: 0.5, servers: map[string]*serverRecord{}}
}

// Record records the result of an attempt on a server whose pool has poolSize
// servers, and ejects the server if it has failed too often.
func (e *Ejector) Record(server string, ok bool, poolSize int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.servers[server]
	if r == nil {
		r = &serverRecord{}
		e.servers[server] = r
	}
	r.lastUsed = now
	if ok {
		r.consecutiveFailures = 0
		if now.After(r.ejectedUntil.Add(e.MaxEjectionTime)) {
			r.ejections = 0
		}
		return
	}
	r.consecutiveFailures++
	if r.consecutiveFailures < e.ConsecutiveFailures || now.Before(r.ejectedUntil) {
		return
	}
	if float64(e.countEjected(now)+1) > e.MaxEjectedShare*float64(poolSize) {
		counters.Add("EjectionBounded", 1)
		return
	}
	r.ejectedUntil = now.Add(min(e.BaseEjectionTime<<min(r.ejections, 10), e.MaxEjectionTime))
	r.ejections++
	r.consecutiveFailures = e.ConsecutiveFailures - 1 // after the ejection, one more failure ejects it again
	counters.Add("Ejected", 1)
}

// countEjected returns the number of ejected servers and deletes expired records.
func (e *Ejector) countEjected(now time.Time) int {
	n := 0
	for name, r := range e.servers {
		if now.Before(r.ejectedUntil) {
			n++
		} else if now.Sub(r.lastUsed) > recordTTL {
			delete(e.servers, name)
		}
	}
	return n
}

// recordTTL is how long the record of an unused server is kept.
const recordTTL = 10 * time.Minute

// Ejected reports whether the server is ejected at the given time.
func (e *Ejector) Ejected(server string, now time.Time) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	r := e.servers[server]
	return r != nil && now.Before(r.ejectedUntil)
}
