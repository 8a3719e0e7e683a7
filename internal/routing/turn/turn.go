// Package turn orders the calls that wait in an instance for a service whose servers are
// full, and hands them on at the rate at which the servers take them.
//
// It is built for a plain service of a few places that many instances share, and that loses
// servers while the load goes on. Calls that all instances send again at once keep the
// servers full, and late ones then take the places of those that could still be answered in
// time.
package turn

import (
	"cmp"
	"slices"
	"time"
)

// Call is a call that waits. Target is the time until which its answer has its full value,
// and Deadline the one after which it has none.
type Call struct {
	Priority  int
	ArrivedAt time.Time
	Target    time.Time
	Deadline  time.Time
}

// compare orders two calls: those first that can still be answered in time, then urgent
// ones, then those that have waited longest. took is the usual time of a call.
func compare(a, b *Call, took time.Duration, now time.Time) int {
	done := now.Add(took)
	return cmp.Or(cmp.Compare(lateness(a, done), lateness(b, done)), cmp.Compare(a.Priority, b.Priority), a.Target.Compare(b.Target), a.ArrivedAt.Compare(b.ArrivedAt))
}

func lateness(c *Call, done time.Time) int {
	if done.After(c.Target) {
		return 1
	}
	return 0
}

const (
	// minInterval and maxInterval bound the time between calls that are handed to a service
	// whose servers are full.
	minInterval = 10 * time.Millisecond
	maxInterval = time.Second
	// fullFactor is the factor by which a refusal of a full server lengthens the interval,
	// takenFactor that by which a call that was taken shortens it. About a quarter of what is
	// sent is refused where the interval settles.
	fullFactor  = 2
	takenFactor = 0.8
	// quiet is the time without a refusal after which late calls go too. Until then they
	// would take the places of others.
	quiet = 2 * time.Second
	// intervalMemory is the time without a refusal after which the interval is forgotten.
	intervalMemory = 5 * quiet
	// maxWaitShare is the share of the time to the deadline that a call waits at most.
	maxWaitShare = 0.6
	// MaxWaiting is the number of calls that may wait for a service.
	MaxWaiting = 256
	// tookWeight is the weight of one call in the usual time.
	tookWeight = 0.1
)

// Queue holds the calls that wait for one service. It is not safe for concurrent use.
type Queue struct {
	waiting []*Call
	// interval is the time between calls, 0 while the servers take all. nextAt is when the
	// next one may go.
	interval time.Duration
	nextAt   time.Time
	// fullAt is when a server last refused a call because it was full.
	fullAt time.Time
	took   time.Duration
}

// Full takes in that a server has refused a call because it was full.
func (q *Queue) Full(now time.Time) {
	q.interval = min(maxInterval, max(minInterval, fullFactor*q.interval))
	q.nextAt, q.fullAt = now.Add(q.interval), now
}

// Taken takes in that a server has answered a call after the given time.
func (q *Queue) Taken(took time.Duration) {
	if q.took == 0 {
		q.took = took
	}
	q.took += time.Duration(tookWeight * float64(took-q.took))
	if q.interval = time.Duration(takenFactor * float64(q.interval)); q.interval >= minInterval {
		return
	}
	if q.interval = 0; len(q.waiting) > 0 {
		q.interval = minInterval // those that wait don't go all at once
	}
}

// IsOpen reports whether the servers take all calls, as far as is known, and none waits.
func (q *Queue) IsOpen(now time.Time) bool {
	if len(q.waiting) > 0 {
		return false
	}
	if now.Sub(q.fullAt) >= intervalMemory {
		q.interval = 0
	}
	return q.interval == 0
}

// Add adds a call. It returns the one that is to be refused if too many wait, or nil.
func (q *Queue) Add(c *Call, now time.Time) *Call {
	q.waiting = append(q.waiting, c)
	if len(q.waiting) <= MaxWaiting {
		return nil
	}
	last := slices.MaxFunc(q.waiting, func(a, b *Call) int { return compare(a, b, q.took, now) })
	q.Remove(last)
	return last
}

// Remove removes a call, and reports whether it was waiting.
func (q *Queue) Remove(c *Call) bool {
	i := slices.Index(q.waiting, c)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// IsHopeless reports whether a call won't have its turn before its deadline, or that comes so
// late that its caller had better try another instance.
func (q *Queue) IsHopeless(c *Call, now time.Time) bool {
	ahead := 0
	for _, other := range q.waiting {
		if other != c && compare(other, c, q.took, now) < 0 {
			ahead++
		}
	}
	return now.Add(q.interval * time.Duration(ahead)).After(q.lastTurn(c))
}

// lastTurn returns until when a call waits. One that is late goes once no server is full, for
// which it waits no longer than quiet.
func (q *Queue) lastTurn(c *Call) time.Time {
	end := c.ArrivedAt.Add(time.Duration(maxWaitShare * float64(c.Deadline.Sub(c.ArrivedAt))))
	if last := c.Deadline.Add(-q.took); last.Before(end) {
		end = last
	}
	lateFrom := c.Target.Add(-q.took)
	if lateFrom.Before(c.ArrivedAt) {
		lateFrom = c.ArrivedAt
	}
	if last := lateFrom.Add(quiet); last.Before(end) {
		return last
	}
	return end
}

// Next removes the call whose turn it is and returns it. It returns nil if none is due.
func (q *Queue) Next(now time.Time) *Call {
	if len(q.waiting) == 0 || now.Before(q.nextAt) {
		return nil
	}
	c := slices.MinFunc(q.waiting, func(a, b *Call) int { return compare(a, b, q.took, now) })
	if lateness(c, now.Add(q.took)) > 0 && now.Before(q.fullAt.Add(quiet)) {
		return nil
	}
	q.Remove(c)
	q.nextAt = now.Add(q.interval)
	return c
}

// NextAt returns when the next call may go.
func (q *Queue) NextAt() time.Time { return q.nextAt }

// WakeAt returns when to look for the next call. While all that wait are late, that is when no
// server has been full for quiet.
func (q *Queue) WakeAt(now time.Time) time.Time {
	if at := q.fullAt.Add(quiet); len(q.waiting) > 0 && at.After(q.nextAt) && !slices.ContainsFunc(q.waiting, func(c *Call) bool { return lateness(c, now.Add(q.took)) == 0 }) {
		return at
	}
	return q.nextAt
}

// RetryAfter returns after what time the calls that wait now will have gone.
func (q *Queue) RetryAfter() time.Duration { return q.interval * time.Duration(1+len(q.waiting)) }
