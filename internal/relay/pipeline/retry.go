package pipeline

import (
	"errors"

	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// isServerFault reports whether an attempt's error speaks against the server.
func isServerFault(e *attempt.Error) bool {
	return e.Kind != attempt.NotStarted && e.Elsewhere()
}

// isRestartSign reports whether an attempt's error may come from a server that
// has restarted, and so is cold before its next report says so. A reset is none:
// servers close idle connections at any time.
func isRestartSign(e *attempt.Error) bool {
	return e.Kind == attempt.DialRefused || e.Kind == attempt.Refused503
}

// mayRetry decides whether a failed attempt may be followed by another one.
// A request that may not be repeated is retried only if it provably did not
// run; a stream that delivered tokens goes on at the next token.
func (p *Pipeline) mayRetry(f *flight, err error) bool {
	var e *attempt.Error
	if !errors.As(err, &e) || f.attempts >= maxAttempts {
		return false
	}
	if e.Kind == attempt.NotStarted {
		return p.mayMove(f, err)
	}
	if !e.Elsewhere() {
		return false
	}
	if e.State != call.NotRun && !f.request.Idempotent {
		return false
	}
	if !p.Clock.Now().Before(f.request.Deadline) && e.Delivered == 0 {
		return false
	}
	if !p.Budget.Withdraw() {
		retries.Add("BudgetEmpty", 1)
		return false
	}
	retries.Add(string(e.Kind), 1)
	return true
}

// mayMove decides whether a request that was stopped before its first byte may
// go to another server. It costs no retry: no server has seen the request.
func (p *Pipeline) mayMove(f *flight, err error) bool {
	var moved *movedError
	if !errors.As(err, &moved) || !p.Clock.Now().Before(f.request.Deadline) {
		return false
	}
	retries.Add("Moved", 1)
	return true
}

// refuseAttempt turns the last attempt's error into what the caller sees.
func refuseAttempt(f *flight, err error, delivered bool) error {
	var r *call.Refusal
	if errors.As(err, &r) {
		return r
	}
	var e *attempt.Error
	if !errors.As(err, &e) {
		return &call.Refusal{Reason: call.ReasonBackendFailed, State: f.state, Detail: err.Error()}
	}
	refusal := &call.Refusal{Reason: call.ReasonBackendFailed, State: f.state, Detail: e.Error()}
	switch e.Kind {
	case attempt.NotStarted:
		refusal.Reason, refusal.RetryAfter = call.ReasonNoServer, retryAfter
	case attempt.CallerGone, attempt.Cancelled:
		refusal.Reason = call.ReasonCallerGone
	case attempt.FirstByteTimeout, attempt.ProgressTimeout, attempt.DialTimeout:
		refusal.Reason = call.ReasonBackendTimeout
	case attempt.Refused503:
		refusal.Reason, refusal.RetryAfter = call.ReasonOverloaded, retryAfter
	}
	if delivered {
		refusal.Reason = call.ReasonIncomplete
	}
	return refusal
}
