package pipeline

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

const (
	// maxTries bounds the attempts of one course, those included that reached
	// no server.
	maxTries = 8
	// placeInterval is how often a request without a server looks again.
	placeInterval = 10 * time.Millisecond
)

// course is how a request goes from attempt to attempt until one brings its
// answer. All requests take it, by whichever door they came in: it keeps their
// run state and decides what may be repeated. What differs by door it asks of
// its policy.
type course struct {
	now        func() time.Time
	deadline   time.Time
	idempotent bool
	// lateResume allows a stream that has begun to go on at another server
	// after the deadline, which is then one for its first part only.
	lateResume bool
	// maxAttempts bounds the attempts that reach a server.
	maxAttempts int

	// attempts counts those that reached a server, tries all of them.
	attempts int
	tries    int
	// state is the furthest that any attempt can have run.
	state call.RunState
	// tried lists the servers that failed the request.
	tried []string
}

// policy is what a door has its own way of.
type policy interface {
	// attempt places the request and carries out one attempt.
	attempt(ctx context.Context) error
	// move prepares the request for another server after a check right before
	// its first byte stopped it.
	move()
	// stepUp prepares the request for a larger model after its answer was
	// declined, and reports whether there is one.
	stepUp() bool
	// repeat takes another attempt out of the budget, if that allows it.
	repeat(e *attempt.Error) bool
}

// run carries out attempts until one succeeds or no other may follow.
func (c *course) run(ctx context.Context, p policy) error {
	for {
		err := p.attempt(ctx)
		if err == nil || !c.mayRepeat(ctx, err, p) {
			return err
		}
	}
}

// isLast reports whether no other attempt may follow one that reaches a server.
func (c *course) isLast() bool { return !c.idempotent || c.attempts+1 >= c.maxAttempts }

// settle notes how an attempt ended. The error is that of the attempt.
func (c *course) settle(server string, err error) {
	c.tries++
	ran := call.Ran
	var e *attempt.Error
	if errors.As(err, &e) {
		ran = e.State
		c.tried = append(c.tried, server)
	}
	c.state = max(c.state, ran)
	if ran != call.NotRun {
		c.attempts++
	}
}

// mayRepeat decides whether another attempt follows a failed one. A request
// that may not be repeated is sent again only if it provably did not run; a
// stream that has begun goes on at its next part.
func (c *course) mayRepeat(ctx context.Context, err error, p policy) bool {
	var e *attempt.Error
	if !errors.As(err, &e) || ctx.Err() != nil || c.tries >= maxTries {
		return false
	}
	if mayGoOn := c.lateResume && e.LastDelivered > 0; !mayGoOn && !c.now().Before(c.deadline) {
		return false
	}
	switch {
	case e.Kind == attempt.NotStarted:
		var moved *movedError
		if !errors.As(err, &moved) {
			return false
		}
		retries.Add("Moved", 1)
		p.move()
		return true
	case e.Kind == attempt.Unwanted:
		return p.stepUp()
	case !e.RetryableElsewhere(), e.State != call.NotRun && !c.idempotent, c.attempts >= c.maxAttempts:
		return false
	case !p.repeat(e):
		retries.Add("BudgetEmpty", 1)
		return false
	}
	retries.Add(string(e.Kind), 1)
	return true
}

// movedError says that the chosen server may not be used any more, while
// another one may.
type movedError struct {
	Err error
}

func (e *movedError) Error() string { return "placement is out of date: " + e.Err.Error() }

func (e *movedError) Unwrap() error { return e.Err }

// refuse turns the end of the last attempt into what the caller sees. begun
// says that a part of the answer has reached the caller; retryAfter is what a
// caller is told to wait whom another attempt may serve.
func (c *course) refuse(err error, begun bool, retryAfter time.Duration) *call.Refusal {
	var given *call.Refusal
	var e *attempt.Error
	var none *dispatch.NoServerError
	refusal := &call.Refusal{Reason: call.ReasonBackendFailed, State: c.state, Detail: err.Error()}
	switch {
	case errors.As(err, &given):
		*refusal = *given
		refusal.State = max(given.State, c.state)
	case errors.As(err, &none):
		refusal.Reason, refusal.RetryAfter = call.ReasonNoServer, retryAfter
	case errors.As(err, &e):
		refusal.Reason = reasonOf(e)
		if refusal.Reason == call.ReasonNoServer || refusal.Reason == call.ReasonOverloaded {
			refusal.RetryAfter = retryAfter
		}
	}
	if begun {
		refusal.Reason = call.ReasonIncomplete
	}
	return refusal
}

func reasonOf(e *attempt.Error) call.Reason {
	switch e.Kind {
	case attempt.NotStarted:
		return call.ReasonNoServer
	case attempt.CallerGone, attempt.Cancelled:
		return call.ReasonCallerGone
	case attempt.FirstByteTimeout, attempt.ProgressTimeout, attempt.DialTimeout, attempt.Deadline:
		return call.ReasonBackendTimeout
	case attempt.Refused503:
		return call.ReasonOverloaded
	}
	return call.ReasonBackendFailed
}

// await tries to place a request until that succeeds, the limit is reached or
// the caller is gone. It looks again when changed is closed, and at intervals.
func await[P any](ctx context.Context, clock clockwork.Clock, limit time.Time, changed func() <-chan struct{}, place func() (P, error)) (P, error) {
	for {
		signal := changed()
		at, err := place()
		if err == nil {
			return at, nil
		}
		var refusal *call.Refusal
		left := limit.Sub(clock.Now())
		if left <= 0 || errors.As(err, &refusal) {
			return at, err
		}
		select {
		case <-ctx.Done():
			return at, &call.Refusal{Reason: call.ReasonCallerGone}
		case <-signal:
		case <-clock.After(min(left, placeInterval)):
		}
	}
}
