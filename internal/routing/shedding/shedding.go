// Package shedding decides which requests are turned away under overload, and
// when their callers may come back.
//
// Load pattern that it answers: most servers of a service are lost in a burst,
// and the queues at the rest outlast some callers' deadlines. Whoever cannot
// be served any more learns so at once.
package shedding

import "time"

// Request is a request before its first attempt.
type Request struct {
	// PredictedWait is the predicted time to the first part of the answer.
	PredictedWait time.Duration
	// TimeLeft is the time to the request's deadline.
	TimeLeft time.Duration
	// Jitter is a random number, 0 to 1.
	Jitter float64
}

const (
	// leastRetry and mostRetryShare bound the time that a caller is told to
	// wait: callers give up on more than a third of the time they have left.
	leastRetry     = 250 * time.Millisecond
	mostRetryShare = 0.3
)

// Decide reports whether the request is turned away, and when its caller may
// come back: once the queue has fallen to what it has time for, spread so that
// callers do not return together.
func Decide(q Request) (refuse bool, retryAfter time.Duration) {
	if q.PredictedWait <= q.TimeLeft {
		return false, 0
	}
	wait := min(q.PredictedWait-q.TimeLeft, time.Duration(mostRetryShare*float64(q.TimeLeft)))
	wait = max(leastRetry, wait)
	return true, wait/2 + time.Duration(q.Jitter*float64(wait)/2)
}
