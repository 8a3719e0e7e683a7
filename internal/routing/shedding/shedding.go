// Package shedding decides which requests are refused under overload, and when
// their callers may retry.
//
// It is built for this load pattern: most servers of a service are lost at once, and
// the queues at the remaining ones grow beyond the deadlines of some requests. A
// request that cannot be served before its deadline is refused immediately.
package shedding

import "time"

// Request describes a request before its first attempt.
type Request struct {
	// PredictedWait is the predicted time to the first event of the answer.
	PredictedWait time.Duration
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Jitter is a random number in [0, 1) that spreads the retry times.
	Jitter float64
}

const (
	// minRetryAfter and maxRetryShare bound the time before a retry. maxRetryShare
	// is a fraction of the time left: callers give up if they are told to wait for
	// more than a third of it.
	minRetryAfter = 250 * time.Millisecond
	maxRetryShare = 0.3
)

// Decide reports whether to refuse the request, and if so, after what time its
// caller may retry: when the queue is expected to have shrunk to what the time left
// allows, with jitter so that callers do not retry at the same moment.
func Decide(r Request) (refuse bool, retryAfter time.Duration) {
	if r.PredictedWait <= r.TimeLeft {
		return false, 0
	}
	wait := min(r.PredictedWait-r.TimeLeft, time.Duration(maxRetryShare*float64(r.TimeLeft)))
	wait = max(minRetryAfter, wait)
	return true, wait/2 + time.Duration(r.Jitter*float64(wait)/2)
}
