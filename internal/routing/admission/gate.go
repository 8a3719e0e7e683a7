// Package admission implements admission control and load shedding for an
// instance. Requests queue per service and are admitted by fair share of their
// customer, then sessions in progress before new ones, then by priority. A
// request that is predicted to wait beyond its deadline is refused at once. The package also limits retries (RetryBudget) and ejects
// servers whose requests fail repeatedly (Ejector).
package admission

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// counters counts admissions, refusals, retries and ejections by reason.
var counters = expvar.NewMap("RoutingAdmission")

// Request describes a request to the Admitter.
type Request struct {
	Customer string
	// Priority orders requests; higher values are admitted first.
	Priority int
	// Session is true if the request belongs to a session in progress.
	Session bool
	// Deadline is when the caller gives up, or zero if the caller set none.
	Deadline time.Time
	// Service is the name of the service whose servers handle the request.
	Service string
}

// Outcome is the result of an admitted request.
type Outcome int

// Outcomes of an admitted request. Only the duration of Answered requests is
// used to estimate waits.
const (
	Answered Outcome = iota
	Failed
	// Abandoned requests ended before a server worked on them.
	Abandoned
)

// Admitter queues requests and admits them to the capacity of their service.
// It is safe for concurrent use.
type Admitter struct {
	clock   clockwork.Clock
	timeout time.Duration

	mu     sync.Mutex
	queues map[string]*queue
	closed bool
}

// Option configures an Admitter.
type Option func(*Admitter)

// WithDefaultTimeout sets how long a request without a deadline may queue.
func WithDefaultTimeout(d time.Duration) Option { return func(a *Admitter) { a.timeout = d } }

// defaultTimeout is how long a request without a deadline may queue.
const defaultTimeout = 10 * time.Second

// NewAdmitter returns an Admitter that refuses every request until the first
// call of Update.
func NewAdmitter(clock clockwork.Clock, opts ...Option) *Admitter {
	a := &Admitter{clock: clock, timeout: defaultTimeout, queues: map[string]*queue{}}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Ticket is the admission of one request. The holder must call Done when the
// request has ended; further calls have no effect.
type Ticket struct {
	admitter   *Admitter
	queue      *queue
	customer   string
	admittedAt time.Time
	once       sync.Once
}

// Admit blocks until the request is admitted or refused. The error is a
// *call.Refusal with state NotRun: no part of the request has been sent to a
// server.
func (a *Admitter) Admit(ctx context.Context, req Request) (*Ticket, error) {
	done := make(chan decision, 1)
	w := a.submit(req, func(d decision) { done <- d })
	timer := a.clock.NewTimer(w.deadline.Sub(a.clock.Now()))
	defer timer.Stop()
	select {
	case d := <-done:
		return d.result()
	case <-timer.Chan():
		a.cancel(w, call.ReasonDeadline)
	case <-ctx.Done():
		a.cancel(w, call.ReasonCallerGone)
	}
	return (<-done).result()
}

// decision is the result of a queued request: either a ticket or a refusal.
type decision struct {
	ticket  *Ticket
	refusal *call.Refusal
}

func (d decision) result() (*Ticket, error) {
	if d.refusal != nil {
		return nil, d.refusal
	}
	return d.ticket, nil
}

// submit decides on the request or queues it. It calls notify exactly once, now
// or later, with the lock held.
func (a *Admitter) submit(req Request, notify func(decision)) *waiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	w := &waiter{req: req, notify: notify, enqueuedAt: now, deadline: req.Deadline}
	if w.deadline.IsZero() {
		w.deadline = now.Add(a.timeout)
	}
	q := a.queues[req.Service]
	switch {
	case a.closed:
		w.refuse(call.ReasonStopping, 0)
	case q == nil || q.slots == 0:
		w.refuse(call.ReasonNoServer, time.Second)
	default:
		q.submit(w, now)
	}
	return w
}

// cancel refuses a request that is still queued.
func (a *Admitter) cancel(w *waiter, reason call.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.decided {
		return
	}
	q := a.queues[w.req.Service]
	q.remove(w)
	w.refuse(reason, q.predictedWait(w))
}

// Done ends the request and frees its slot for the next one in the queue.
func (t *Ticket) Done(outcome Outcome) {
	t.once.Do(func() {
		t.admitter.mu.Lock()
		defer t.admitter.mu.Unlock()
		t.queue.release(t, outcome, t.admitter.clock.Now())
	})
}

// IsOpen reports whether any service has slots to admit requests to.
func (a *Admitter) IsOpen() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, q := range a.queues {
		if q.slots > 0 {
			return true
		}
	}
	return false
}

// Close refuses all queued and all later requests. It is called before a
// graceful shutdown of the instance.
func (a *Admitter) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, q := range a.queues {
		q.refuseAll(call.ReasonStopping)
	}
}
