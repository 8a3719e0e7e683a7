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
	// maxTotalAttempts bounds the attempts of one retry loop, including those that
	// reached no server.
	maxTotalAttempts = 8
	// placementPollInterval is how often a request that waits for a server tries
	// again to be placed.
	placementPollInterval = 10 * time.Millisecond
)

// retryLoop repeats the attempts of a request until one succeeds or no further
// attempt is allowed. It keeps the request's run state and decides what may be
// retried. Pipeline and Forwarder share it; a retryPolicy holds what differs
// between them.
type retryLoop struct {
	now        func() time.Time
	deadline   time.Time
	idempotent bool
	// resumeAfterDeadline allows a stream that has begun to be resumed at another
	// server after the deadline. The deadline then bounds only the first part.
	resumeAfterDeadline bool
	// maxAttempts bounds serverAttempts.
	maxAttempts int

	// serverAttempts counts the attempts that may have run at a server,
	// totalAttempts counts all attempts.
	serverAttempts int
	totalAttempts  int
	// state is the furthest that any attempt may have got.
	state call.RunState
	// failedServers lists the servers at which attempts have failed.
	failedServers []string
}

// retryPolicy holds the operations of a retryLoop that differ between Pipeline
// and Forwarder.
type retryPolicy interface {
	// attempt places the request and carries out one attempt.
	attempt(ctx context.Context) error
	// replan prepares the request for another placement. It is called if the check
	// right before the first byte finds that the chosen server is not eligible.
	replan()
	// escalate switches the request to a larger model after an answer was
	// declined. It reports whether there is one.
	escalate() bool
	// takeRetry takes one retry from the retry budget and reports whether the
	// budget allows it.
	takeRetry(e *attempt.Error) bool
}

// run carries out attempts until one succeeds or no further one is allowed, and
// returns the error of the last one.
func (l *retryLoop) run(ctx context.Context, p retryPolicy) error {
	for {
		err := p.attempt(ctx)
		if err == nil || !l.shouldRetry(ctx, err, p) {
			return err
		}
	}
}

// isLastAttempt reports whether no attempt may follow the next one that reaches
// a server.
func (l *retryLoop) isLastAttempt() bool { return !l.idempotent || l.serverAttempts+1 >= l.maxAttempts }

// recordResult updates the counts, the run state and the failed servers after an
// attempt that ended with err.
func (l *retryLoop) recordResult(server string, err error) {
	l.totalAttempts++
	runState := call.Ran
	var e *attempt.Error
	if errors.As(err, &e) {
		runState = e.State
		l.failedServers = append(l.failedServers, server)
	}
	l.state = max(l.state, runState)
	if runState != call.NotRun {
		l.serverAttempts++
	}
}

// shouldRetry reports whether another attempt follows one that failed with err.
// A request that is not idempotent is retried only if it provably did not run. A
// stream that has begun is resumed at its next part.
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
		return l.idempotent && l.serverAttempts < l.maxAttempts && p.escalate()
	case !e.RetryableElsewhere(), e.State != call.NotRun && !l.idempotent, l.serverAttempts >= l.maxAttempts:
		return false
	case !p.takeRetry(e):
		retries.Add("BudgetEmpty", 1)
		return false
	}
	retries.Add(string(e.Kind), 1)
	return true
}

// stalePlacementError reports that the chosen server is no longer eligible.
// Another server may be.
type stalePlacementError struct {
	Err error
}

func (e *stalePlacementError) Error() string { return "placement is out of date: " + e.Err.Error() }

func (e *stalePlacementError) Unwrap() error { return e.Err }

// refusalFor returns the refusal for the caller after the last attempt failed
// with err. begun is set if a part of the answer has reached the caller.
// retryAfter is the wait that the caller is told if a later request may succeed.
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

// awaitPlacement calls place until it succeeds or returns a refusal, the time
// limit is reached or the context ends. It tries again when the channel of
// changed is closed, and every placementPollInterval.
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
