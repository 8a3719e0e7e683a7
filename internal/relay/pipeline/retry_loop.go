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
	// maxTotalAttempts bounds the attempts of one course, those included that reached
	// no server.
	maxTotalAttempts = 8
	// placementPollInterval is how often a request without a server looks again.
	placementPollInterval = 10 * time.Millisecond
)

// retryLoop is how a request goes from attempt to attempt until one brings its
// answer. All requests take it, by whichever door they came in: it keeps their
// run state and decides what may be repeated. What differs by door it asks of
// its policy.
type retryLoop struct {
	now        func() time.Time
	deadline   time.Time
	idempotent bool
	// resumeAfterDeadline allows a stream that has begun to go on at another server
	// after the deadline, which is then one for its first part only.
	resumeAfterDeadline bool
	// maxAttempts bounds the attempts that reach a server.
	maxAttempts int

	// serverAttempts counts those that reached a server, tries all of them.
	serverAttempts int
	totalAttempts  int
	// state is the furthest that any attempt can have run.
	state call.RunState
	// failedServers lists the servers that failed the request.
	failedServers []string
}

// retryPolicy is what a door has its own way of.
type retryPolicy interface {
	// attempt places the request and carries out one attempt.
	attempt(ctx context.Context) error
	// replan prepares the request for another server after a check right before
	// its first byte stopped it.
	replan()
	// escalate prepares the request for a larger model after its answer was
	// declined, and reports whether there is one.
	escalate() bool
	// takeRetry takes another attempt out of the budget, if that allows it.
	takeRetry(e *attempt.Error) bool
}

// run carries out attempts until one succeeds or no other may follow.
func (l *retryLoop) run(ctx context.Context, p retryPolicy) error {
	for {
		err := p.attempt(ctx)
		if err == nil || !l.shouldRetry(ctx, err, p) {
			return err
		}
	}
}

// isLastAttempt reports whether no other attempt may follow one that reaches a server.
func (l *retryLoop) isLastAttempt() bool { return !l.idempotent || l.serverAttempts+1 >= l.maxAttempts }

// recordResult notes how an attempt ended. The error is that of the attempt.
func (l *retryLoop) recordResult(server string, err error) {
	l.totalAttempts++
	state := call.Ran
	var e *attempt.Error
	if errors.As(err, &e) {
		state = e.State
		l.failedServers = append(l.failedServers, server)
	}
	l.state = max(l.state, state)
	if state != call.NotRun {
		l.serverAttempts++
	}
}

// shouldRetry decides whether another attempt follows a failed one. A request
// that may not be repeated is sent again only if it provably did not run; a
// stream that has begun goes on at its next part.
func (l *retryLoop) shouldRetry(ctx context.Context, err error, p retryPolicy) bool {
	var e *attempt.Error
	if !errors.As(err, &e) || ctx.Err() != nil || l.totalAttempts >= maxTotalAttempts {
		return false
	}
	if mayResume := l.resumeAfterDeadline && e.LastDelivered > 0; !mayResume && !l.now().Before(l.deadline) {
		return false
	}
	switch {
	case e.Kind == attempt.NotStarted:
		var stale *stalePlacementError
		if !errors.As(err, &stale) {
			return false
		}
		retries.Add("Moved", 1)
		p.replan()
		return true
	case e.Kind == attempt.Unwanted:
		return p.escalate()
	case !e.RetryableElsewhere(), e.State != call.NotRun && !l.idempotent, l.serverAttempts >= l.maxAttempts:
		return false
	case !p.takeRetry(e):
		retries.Add("BudgetEmpty", 1)
		return false
	}
	retries.Add(string(e.Kind), 1)
	return true
}

// stalePlacementError says that the chosen server may not be used any more, while
// another one may.
type stalePlacementError struct {
	Err error
}

func (e *stalePlacementError) Error() string { return "placement is out of date: " + e.Err.Error() }

func (e *stalePlacementError) Unwrap() error { return e.Err }

// refusalFor turns the end of the last attempt into what the caller sees. begun
// says that a part of the answer has reached the caller; retryAfter is what a
// caller is told to wait whom another attempt may serve.
func (l *retryLoop) refusalFor(err error, begun bool, retryAfter time.Duration) *call.Refusal {
	var refused *call.Refusal
	var e *attempt.Error
	var noServer *dispatch.NoServerError
	refusal := &call.Refusal{Reason: call.ReasonBackendFailed, State: l.state, Detail: err.Error()}
	switch {
	case errors.As(err, &refused):
		*refusal = *refused
		refusal.State = max(refused.State, l.state)
	case errors.As(err, &noServer):
		refusal.Reason, refusal.RetryAfter = call.ReasonNoServer, retryAfter
	case errors.As(err, &e):
		refusal.Reason = refusalReason(e)
		if refusal.Reason == call.ReasonNoServer || refusal.Reason == call.ReasonOverloaded {
			refusal.RetryAfter = retryAfter
		}
	}
	if begun {
		refusal.Reason = call.ReasonIncomplete
	}
	return refusal
}

func refusalReason(e *attempt.Error) call.Reason {
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

// awaitPlacement tries to place a request until that succeeds, the limit is reached or
// the caller is gone. It looks again when changed is closed, and at intervals.
func awaitPlacement[P any](ctx context.Context, clock clockwork.Clock, limit time.Time, changed func() <-chan struct{}, place func() (P, error)) (P, error) {
	for {
		changes := changed()
		placed, err := place()
		if err == nil {
			return placed, nil
		}
		var refusal *call.Refusal
		left := limit.Sub(clock.Now())
		if left <= 0 || errors.As(err, &refusal) {
			return placed, err
		}
		select {
		case <-ctx.Done():
			return placed, &call.Refusal{Reason: call.ReasonCallerGone}
		case <-changes:
		case <-clock.After(min(left, placementPollInterval)):
		}
	}
}
