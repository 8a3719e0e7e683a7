package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// queue holds the requests of one service: counts of those in flight, by
// customer, and the list of those that wait. The Admitter's lock guards it.
type queue struct {
	admitter *Admitter
	// slots is the number of requests that this instance may have in flight.
	slots int
	// oversubscription is the ratio of slots to an equal share of the capacity.
	oversubscription float64
	// shedAt is the ratio of requests in flight and waiting to slots at which the
	// queue starts to refuse new sessions of customers that are at or over their
	// share.
	shedAt    float64
	weights   map[string]float64
	inFlight  int
	customers map[string]*customer
	waiting   []*waiter
	// meanDuration is the moving average of the time a request holds a slot.
	meanDuration time.Duration
}

// customer is one customer's use of a queue.
type customer struct {
	inFlight int
	waiting  int
	lastSeen time.Time
	// meanUse is the moving average of inFlight plus waiting, as of updatedAt.
	meanUse   float64
	updatedAt time.Time
}

// useWindow is the time constant of a customer's average use. With it, a short
// burst does not count against a customer that is mostly within its share.
const useWindow = time.Minute

// maxBurst is the multiple of its share that a customer may use in a burst.
const maxBurst = 3

// updateUse brings meanUse up to date and returns it. It must be called before
// inFlight or waiting changes.
func (c *customer) updateUse(now time.Time) float64 {
	weight := 1 - math.Exp(-now.Sub(c.updatedAt).Seconds()/useWindow.Seconds())
	c.meanUse += weight * (float64(c.inFlight+c.waiting) - c.meanUse)
	c.updatedAt = now
	return c.meanUse
}

// isOverShare reports whether the customer is at or over its share on average, or
// at or over maxBurst times its share now.
func (c *customer) isOverShare(share float64, now time.Time) bool {
	return c.updateUse(now) >= share || float64(c.inFlight+c.waiting) >= maxBurst*share
}

// waiter is a request that waits for a slot or a refusal. decided is set when it
// is admitted or refused, just before notify is called.
type waiter struct {
	req        Request
	enqueuedAt time.Time
	deadline   time.Time
	notify     func(decision)
	decided    bool
}

// shareRetention is how long a customer keeps its share after its last request.
const shareRetention = 10 * time.Second

// initialMeanDuration is the value of meanDuration before any request has ended.
const initialMeanDuration = 2 * time.Second

// durationWeight is the weight of the newest request in meanDuration.
const durationWeight = 0.05

func newQueue(a *Admitter) *queue {
	return &queue{admitter: a, customers: map[string]*customer{}, meanDuration: initialMeanDuration}
}

func (q *queue) submit(w *waiter, now time.Time) {
	c := q.customers[w.req.Customer]
	if c == nil {
		c = &customer{updatedAt: now}
		q.customers[w.req.Customer] = c
	}
	c.lastSeen = now
	if reason := q.shedReason(w, c, now); reason != "" {
		w.refuse(reason, q.predictedWait(w))
		return
	}
	c.updateUse(now)
	q.waiting = append(q.waiting, w)
	c.waiting++
	q.dispatch(now)
	if !w.decided && now.Add(q.predictedWait(w)).After(w.deadline) {
		q.remove(w)
		w.refuse(call.ReasonDeadline, q.predictedWait(w))
	}
}

// shedReason returns why the request is refused without queueing, or "" if it may
// queue. From shedAt on it refuses new sessions of customers at or over their
// share; sessions in progress always queue.
func (q *queue) shedReason(w *waiter, c *customer, now time.Time) call.Reason {
	if w.req.Session || float64(q.inFlight+len(q.waiting)) < q.shedAt*float64(q.slots) {
		return ""
	}
	if !c.isOverShare(q.fairShare(w.req.Customer, now), now) {
		return ""
	}
	if len(q.customers) > 1 && c.inFlight+c.waiting > 0 {
		return call.ReasonCustomerShare
	}
	return call.ReasonOverloaded
}

// fairShare returns the customer's number of slots when the slots are divided by
// weight among the customers with recent requests.
func (q *queue) fairShare(name string, now time.Time) float64 {
	sum := 0.0
	for other, c := range q.customers {
		if c.inFlight+c.waiting > 0 || now.Sub(c.lastSeen) < shareRetention {
			sum += q.weight(other)
		}
	}
	return float64(q.slots) * q.weight(name) / max(sum, q.weight(name))
}

func (q *queue) weight(name string) float64 {
	if w := q.weights[name]; w > 0 {
		return w
	}
	return 1
}

// dispatch admits waiting requests while slots are free. It refuses those whose
// deadline has passed.
func (q *queue) dispatch(now time.Time) {
	for q.inFlight < q.slots && len(q.waiting) > 0 {
		i := q.nextIndex(now)
		w := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		c := q.customers[w.req.Customer]
		c.updateUse(now)
		c.waiting--
		if !now.Before(w.deadline) {
			w.refuse(call.ReasonDeadline, q.predictedWait(w))
			continue
		}
		c.inFlight++
		q.inFlight++
		w.admit(&Ticket{admitter: q.admitter, queue: q, customer: w.req.Customer, admittedAt: now})
	}
}

// nextIndex returns the index of the waiting request to admit next: customers
// within their share first, then sessions in progress, then higher priority, then
// the customer with the lowest use relative to its share, then order of arrival.
func (q *queue) nextIndex(now time.Time) int {
	best, rank := 0, q.rank(q.waiting[0], now)
	for i, w := range q.waiting[1:] {
		if r := q.rank(w, now); r.precedes(rank) {
			best, rank = i+1, r
		}
	}
	return best
}

// rank is the sort key of a waiting request.
type rank struct {
	overShare   bool
	inSession   bool
	priority    int
	relativeUse float64
}

func (q *queue) rank(w *waiter, now time.Time) rank {
	c, share := q.customers[w.req.Customer], q.fairShare(w.req.Customer, now)
	return rank{overShare: c.isOverShare(share, now), inSession: w.req.Session, priority: w.req.Priority, relativeUse: c.meanUse / share}
}

func (r rank) precedes(o rank) bool {
	switch {
	case r.overShare != o.overShare:
		return !r.overShare
	case r.inSession != o.inSession:
		return r.inSession
	case r.priority != o.priority:
		return r.priority > o.priority
	}
	return cmp.Less(r.relativeUse, o.relativeUse)
}

// predictedWait estimates how long the request waits for those in flight and
// waiting. For a session in progress it ignores waiting requests of new sessions.
// It ignores shares and priorities.
func (q *queue) predictedWait(w *waiter) time.Duration {
	ahead := q.inFlight - q.slots + 1
	for _, o := range q.waiting {
		if o != w && (o.req.Session || !w.req.Session) {
			ahead++
		}
	}
	if ahead <= 0 || q.slots == 0 {
		return 0
	}
	return time.Duration(float64(q.meanDuration) * float64(ahead) / float64(q.slots))
}

func (q *queue) remove(w *waiter) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.customers[w.req.Customer].waiting--
	}
}

func (q *queue) release(t *Ticket, outcome Outcome, now time.Time) {
	q.inFlight--
	c := q.customers[t.customer]
	c.updateUse(now)
	c.inFlight--
	if outcome == Answered {
		q.meanDuration += time.Duration(durationWeight * float64(now.Sub(t.admittedAt)-q.meanDuration))
	}
	q.dispatch(now)
}

func (q *queue) refuseAll(reason call.Reason) {
	for _, w := range q.waiting {
		q.customers[w.req.Customer].waiting--
		w.refuse(reason, 0)
	}
	q.waiting = nil
}

func (w *waiter) admit(t *Ticket) {
	w.decided = true
	counters.Add("Admitted", 1)
	w.notify(decision{ticket: t})
}

func (w *waiter) refuse(reason call.Reason, retryAfter time.Duration) {
	w.decided = true
	counters.Add("Refused"+string(reason), 1)
	w.notify(decision{refusal: &call.Refusal{Reason: reason, State: call.NotRun, RetryAfter: max(retryAfter, minRetryAfter)}})
}

// minRetryAfter is the shortest retry delay that a refused caller is given.
const minRetryAfter = time.Second
