// Package shedding decides which requests are refused when a service has too little
// room, and when their callers may retry.
//
// It is built for these load patterns: most servers of a service are lost at once, and
// the queues at the remaining ones grow beyond the deadlines of some requests; and many
// requests of unequal urgency, size and value arrive at once, so that not all of them can
// be answered in time. A request that cannot be served before its deadline is refused
// immediately. Among the others, those are refused that cost the other callers more than
// their own answer is worth.
package shedding

import "time"

// Request describes a request before its first attempt.
type Request struct {
	// PredictedWait is the predicted time to the first event of the answer.
	PredictedWait time.Duration
	// TimeToTarget is the time in which an answer still has its full value, TimeLeft
	// the time until the request's deadline.
	TimeToTarget time.Duration
	TimeLeft     time.Duration
	// Priority is the request's rank; 0 is the most urgent.
	Priority int
	// Work is the time that a server needs before the first event of the answer, and
	// Value what an answer in time is worth.
	Work  time.Duration
	Value float64
	// Concurrent is set if a server with a free place begins the request at once.
	Concurrent bool
	// Returned is set if the request seems to come back after a refusal.
	Returned bool
	// OverShare is set if the request's customer uses more than its share.
	OverShare bool
	// Jitter and Draw are random numbers in [0, 1): Jitter spreads the retry times,
	// Draw decides on a request that may be refused.
	Jitter float64
	Draw   float64
}

// Reason says why a request is refused.
type Reason string

// The reasons.
const (
	// NoHope means that the predicted wait outlasts the deadline.
	NoHope Reason = "NoHope"
	// TooDear means that the request costs others more than its answer is worth.
	TooDear Reason = "TooDear"
	// OverShare means that it does so because its customer uses more than its share.
	OverShare Reason = "OverShare"
)

// Decision is what is done with a request. Reason is empty if it is served.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration
}

const (
	// minRetryAfter and maxRetryShare bound the time before a retry. maxRetryShare
	// is a fraction of the time left: callers give up if they are told to wait for
	// more than a third of it.
	minRetryAfter = 250 * time.Millisecond
	maxRetryShare = 0.3
	// lateValueShare is the fraction of the value that a late answer has.
	lateValueShare = 0.3
	// urgencyFactor is the factor by which a request counts for more than one of the
	// next less urgent priority in use. It exceeds the usual spread of value per work
	// within a priority.
	urgencyFactor = 4
	// shareFactor is the factor by which a request of a customer within its share counts
	// for more while another customer exceeds its own. It exceeds that of one step of
	// urgency.
	shareFactor = 16
	// returnedFactor is the factor by which a request counts for more that was refused
	// before. It makes up for lateValueShare: such requests are often late already.
	returnedFactor = 4
	// maxRefusal is the highest probability of a refusal by price. It keeps the largest
	// requests and the least urgent ones from starving.
	maxRefusal = 0.7
)

// Decide decides on a request, given the room of its service.
//
// A request without hope is refused. While there is a shortage, and the servers' places are
// known to be taken, so is one whose answer is worth less than the work costs, with a probability
// that grows from 0 with the ratio of the two: instances that know the same room then
// refuse a part of the requests of a kind, and not all or none.
func Decide(r Request, room Room) Decision {
	if r.Concurrent && !room.placesTaken {
		return Decision{}
	}
	if r.PredictedWait > r.TimeLeft {
		return Decision{NoHope, r.retryAfter(r.PredictedWait - r.TimeLeft)}
	}
	price := room.level[rank(r.Priority)]
	if price == 0 || !room.placesTaken {
		return Decision{}
	}
	if r.Draw >= maxRefusal*(1-room.relativeWorth(r)/price) {
		return Decision{}
	}
	reason := TooDear
	if r.OverShare {
		reason = OverShare
	}
	return Decision{reason, r.retryAfter(room.roomIn)}
}

// relativeWorth returns the value of the request's answer per second of work, relative to
// the usual one of its priority, weighted by what puts one request before another.
func (room Room) relativeWorth(r Request) float64 {
	worth := 1.0
	if usual := room.valueRate[rank(r.Priority)]; usual > 0 {
		worth = min(maxRelativeRate, r.valueRate()/usual)
	}
	if r.PredictedWait > r.TimeToTarget {
		worth *= lateValueShare
	}
	if room.shareExceeded && !r.OverShare {
		worth *= shareFactor
	}
	if r.Returned {
		worth *= returnedFactor
	}
	return worth
}

// valueRate returns the value of the request's answer per second of work.
func (r *Request) valueRate() float64 { return r.Value / max(minWork, r.Work).Seconds() }

// retryAfter returns the time after which the caller may come back if there is room then.
func (r *Request) retryAfter(room time.Duration) time.Duration {
	return RetryAfter(room, r.TimeLeft, r.Jitter)
}

// RetryAfter returns the time after which a caller may come back if there is room after the
// given time, bounded by what callers with so much time left accept. jitter, from 0 to 1,
// spreads callers that are refused at the same moment.
func RetryAfter(room, timeLeft time.Duration, jitter float64) time.Duration {
	wait := max(minRetryAfter, min(room, time.Duration(maxRetryShare*float64(timeLeft))))
	return wait/2 + time.Duration(jitter*float64(wait)/2)
}
