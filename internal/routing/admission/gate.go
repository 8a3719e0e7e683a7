// Package admission decides which requests an instance takes on: by priority,
// by fair shares of customers, sessions in progress before new ones, and early
// rather than after a wait that outlasts the caller's patience. It bounds
// retries and takes failing servers out of use.
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

// Request is what the gate knows of a request.
type Request struct {
	Customer string
	// Priority orders requests; higher goes first.
	Priority int
	// Session is true for a request of a session in progress.
	Session bool
	// Deadline is when the caller gives up, zero if it did not say.
	Deadline time.Time
	// Service is the service whose servers the request needs.
	Service string
}

// Outcome says how an admitted request ended.
type Outcome int

// The outcomes.
const (
	Answered Outcome = iota
	Failed
	// Abandoned requests ended before a server worked on them.
	Abandoned
)

// Admitter admits requests to the capacity of each service.
type Admitter struct {
	clock    clockwork.Clock
	patience time.Duration

	mu     sync.Mutex
	queues map[string]*queue
	closed bool
}

// Option changes a Gate.
type Option func(*Admitter)

// WithDefaultTimeout sets how long a caller waits that gave no deadline.
func WithDefaultTimeout(d time.Duration) Option { return func(g *Admitter) { g.patience = d } }

// defaultPatience is how long a caller waits that gave no deadline.
const defaultPatience = 10 * time.Second

// NewAdmitter returns a gate that admits nothing until Update.
func NewAdmitter(clock clockwork.Clock, opts ...Option) *Admitter {
	g := &Admitter{clock: clock, patience: defaultPatience, queues: map[string]*queue{}}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Ticket is the admission of one request. Call Done when it has ended.
type Ticket struct {
	gate     *Admitter
	queue    *queue
	customer string
	at       time.Time
	once     sync.Once
}

// Admit waits for the request's turn. The error is a *call.Refusal with state
// NotRun: nothing of the request has been sent anywhere.
func (g *Admitter) Admit(ctx context.Context, ask Request) (*Ticket, error) {
	done := make(chan verdict, 1)
	w := g.submit(ask, func(v verdict) { done <- v })
	timer := g.clock.NewTimer(w.deadline.Sub(g.clock.Now()))
	defer timer.Stop()
	select {
	case v := <-done:
		return v.result()
	case <-timer.Chan():
		g.withdraw(w, call.ReasonDeadline)
	case <-ctx.Done():
		g.withdraw(w, call.ReasonCallerGone)
	}
	return (<-done).result()
}

// verdict ends the wait of one request.
type verdict struct {
	ticket  *Ticket
	refusal *call.Refusal
}

func (v verdict) result() (*Ticket, error) {
	if v.refusal != nil {
		return nil, v.refusal
	}
	return v.ticket, nil
}

// submit decides on the request or queues it; notify is called exactly once.
func (g *Admitter) submit(ask Request, notify func(verdict)) *waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	w := &waiter{ask: ask, notify: notify, since: now, deadline: ask.Deadline}
	if w.deadline.IsZero() {
		w.deadline = now.Add(g.patience)
	}
	q := g.queues[ask.Service]
	switch {
	case g.closed:
		w.refuse(call.ReasonStopping, 0)
	case q == nil || q.slots == 0:
		w.refuse(call.ReasonNoServer, time.Second)
	default:
		q.submit(w, now)
	}
	return w
}

// withdraw refuses a request that still waits.
func (g *Admitter) withdraw(w *waiter, reason call.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.decided {
		return
	}
	q := g.queues[w.ask.Service]
	q.remove(w)
	w.refuse(reason, q.wait(w))
}

// Done ends the request and gives its place to the next.
func (t *Ticket) Done(outcome Outcome) {
	t.once.Do(func() {
		t.gate.mu.Lock()
		defer t.gate.mu.Unlock()
		t.queue.release(t, outcome, t.gate.clock.Now())
	})
}

// IsOpen reports whether the gate has capacity of any service to admit to.
func (g *Admitter) IsOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, q := range g.queues {
		if q.slots > 0 {
			return true
		}
	}
	return false
}

// Close refuses all waiting and further requests, for a planned stop.
func (g *Admitter) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, q := range g.queues {
		q.refuseAll(call.ReasonStopping)
	}
}
