package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// queue is the admission to one service: requests in flight by customer, and
// those that wait. The gate's lock guards it.
type queue struct {
	gate *Admitter
	// slots is how many requests this instance may have in flight.
	slots int
	// slack is the multiple of an equal share that slots are.
	slack float64
	// shedAt is the share of slots above which new sessions are refused.
	shedAt    float64
	weights   map[string]float64
	active    int
	customers map[string]*customer
	waiting   []*waiter
	// hold is the average time that a request holds a slot.
	hold time.Duration
}

// customer is one customer's use of a queue.
type customer struct {
	active  int
	waiting int
	seen    time.Time
	// use is the average of what it had in flight and waiting.
	use   float64
	useAt time.Time
}

// useTime is the time over which a customer's use is averaged: a short burst
// of a customer that is mostly within its share is not held against it.
const useTime = time.Minute

// burstMost is the multiple of its share that a customer may use in a burst.
const burstMost = 3

// measure brings the average up to date; call it before active or waiting
// change.
func (c *customer) measure(now time.Time) float64 {
	w := 1 - math.Exp(-now.Sub(c.useAt).Seconds()/useTime.Seconds())
	c.use += w * (float64(c.active+c.waiting) - c.use)
	c.useAt = now
	return c.use
}

// over reports whether the customer uses its share or more.
func (c *customer) over(share float64, now time.Time) bool {
	return c.measure(now) >= share || float64(c.active+c.waiting) >= burstMost*share
}

// waiter is one request that waits for its turn.
type waiter struct {
	ask      Request
	since    time.Time
	deadline time.Time
	notify   func(verdict)
	decided  bool
}

// activeFor is how long a customer keeps its share after its last request.
const activeFor = 10 * time.Second

// initialHold is the assumed hold time before the first request has ended.
const initialHold = 2 * time.Second

// holdWeight is the weight of one request in the average hold time.
const holdWeight = 0.05

func newQueue(g *Admitter) *queue {
	return &queue{gate: g, customers: map[string]*customer{}, hold: initialHold}
}

func (q *queue) submit(w *waiter, now time.Time) {
	c := q.customers[w.ask.Customer]
	if c == nil {
		c = &customer{useAt: now}
		q.customers[w.ask.Customer] = c
	}
	c.seen = now
	if reason := q.shed(w, c, now); reason != "" {
		w.refuse(reason, q.wait(w))
		return
	}
	c.measure(now)
	q.waiting = append(q.waiting, w)
	c.waiting++
	q.dispatch(now)
	if !w.decided && now.Add(q.wait(w)).After(w.deadline) {
		q.remove(w)
		w.refuse(call.ReasonDeadline, q.wait(w))
	}
}

// shed returns why a request is refused before it waits: above shedAt, new
// sessions of customers at or over their share.
func (q *queue) shed(w *waiter, c *customer, now time.Time) call.Reason {
	if w.ask.Session || float64(q.active+len(q.waiting)) < q.shedAt*float64(q.slots) {
		return ""
	}
	if !c.over(q.share(w.ask.Customer, now), now) {
		return ""
	}
	if len(q.customers) > 1 && c.active+c.waiting > 0 {
		return call.ReasonCustomerShare
	}
	return call.ReasonOverloaded
}

// share is the customer's part of the slots among the customers that were
// active lately, by weight.
func (q *queue) share(name string, now time.Time) float64 {
	sum := 0.0
	for other, c := range q.customers {
		if c.active+c.waiting > 0 || now.Sub(c.seen) < activeFor {
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

// dispatch admits waiting requests while there are slots.
func (q *queue) dispatch(now time.Time) {
	for q.active < q.slots && len(q.waiting) > 0 {
		i := q.next(now)
		w := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		c := q.customers[w.ask.Customer]
		c.measure(now)
		c.waiting--
		if !now.Before(w.deadline) {
			w.refuse(call.ReasonDeadline, q.wait(w))
			continue
		}
		c.active++
		q.active++
		w.admit(&Ticket{gate: q.gate, queue: q, customer: w.ask.Customer, at: now})
	}
}

// next returns the waiting request whose turn it is: customers within their
// share first, then sessions in progress, then by priority, then the customer
// that uses the least of its share, then in order of arrival.
func (q *queue) next(now time.Time) int {
	best, rank := 0, q.rank(q.waiting[0], now)
	for i, w := range q.waiting[1:] {
		if r := q.rank(w, now); r.before(rank) {
			best, rank = i+1, r
		}
	}
	return best
}

// rank orders waiting requests.
type rank struct {
	over     bool
	session  bool
	priority int
	use      float64
}

func (q *queue) rank(w *waiter, now time.Time) rank {
	c, share := q.customers[w.ask.Customer], q.share(w.ask.Customer, now)
	return rank{over: c.over(share, now), session: w.ask.Session, priority: w.ask.Priority, use: c.use / share}
}

func (r rank) before(o rank) bool {
	switch {
	case r.over != o.over:
		return !r.over
	case r.session != o.session:
		return r.session
	case r.priority != o.priority:
		return r.priority > o.priority
	}
	return cmp.Less(r.use, o.use)
}

// wait estimates how long the request waits behind those before it.
func (q *queue) wait(w *waiter) time.Duration {
	ahead := q.active - q.slots + 1
	for _, o := range q.waiting {
		if o != w && (o.ask.Session || !w.ask.Session) {
			ahead++
		}
	}
	if ahead <= 0 || q.slots == 0 {
		return 0
	}
	return time.Duration(float64(q.hold) * float64(ahead) / float64(q.slots))
}

func (q *queue) remove(w *waiter) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.customers[w.ask.Customer].waiting--
	}
}

func (q *queue) release(t *Ticket, outcome Outcome, now time.Time) {
	q.active--
	c := q.customers[t.customer]
	c.measure(now)
	c.active--
	if outcome == Answered {
		q.hold += time.Duration(holdWeight * float64(now.Sub(t.at)-q.hold))
	}
	q.dispatch(now)
}

func (q *queue) refuseAll(reason call.Reason) {
	for _, w := range q.waiting {
		q.customers[w.ask.Customer].waiting--
		w.refuse(reason, 0)
	}
	q.waiting = nil
}

func (w *waiter) admit(t *Ticket) {
	w.decided = true
	counters.Add("Admitted", 1)
	w.notify(verdict{ticket: t})
}

func (w *waiter) refuse(reason call.Reason, retryAfter time.Duration) {
	w.decided = true
	counters.Add("Refused"+string(reason), 1)
	w.notify(verdict{refusal: &call.Refusal{Reason: reason, State: call.NotRun, RetryAfter: max(retryAfter, minRetryAfter)}})
}

// minRetryAfter is the least time that a refused caller is told to wait.
const minRetryAfter = time.Second
