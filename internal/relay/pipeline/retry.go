package pipeline

import (
	"context"

	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
)

// isServerFault reports whether an attempt's error counts as a failure of the
// server.
func isServerFault(e *attempt.Error) bool {
	return e.Kind != attempt.NotStarted && e.RetryableElsewhere()
}

// suggestsRestart reports whether an attempt's error may come from a server that
// has restarted. Such a server is cold before its next report says so. A
// connection reset does not count, since servers close idle connections at any
// time.
func suggestsRestart(e *attempt.Error) bool {
	return e.Kind == attempt.DialRefused || e.Kind == attempt.Refused503
}

// pipelinePolicy is the retryPolicy of the requests of a Pipeline.
type pipelinePolicy struct {
	*Pipeline
	// attemptOnce places the request and carries out one attempt.
	attemptOnce func(ctx context.Context) error
}

func (p pipelinePolicy) attempt(ctx context.Context) error { return p.attemptOnce(ctx) }

// replan implements retryPolicy. It does nothing: each placement uses the newest
// list of servers.
func (p pipelinePolicy) replan() {}

// escalate implements retryPolicy. A larger model is a separate step of the plan.
func (p pipelinePolicy) escalate() bool { return false }

func (p pipelinePolicy) takeRetry(*attempt.Error) bool { return p.RetryBudget.Withdraw() }
