package pipeline

import (
	"context"

	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
)

// isServerFault reports whether an attempt's error speaks against the server.
func isServerFault(e *attempt.Error) bool {
	return e.Kind != attempt.NotStarted && e.RetryableElsewhere()
}

// suggestsRestart reports whether an attempt's error may come from a server that
// has restarted, and so is cold before its next report says so. A reset is none:
// servers close idle connections at any time.
func suggestsRestart(e *attempt.Error) bool {
	return e.Kind == attempt.DialRefused || e.Kind == attempt.Refused503
}

// pipelinePolicy is the chat pipelinePolicy's way of a course.
type pipelinePolicy struct {
	*Pipeline
	// attemptOnce places the request and carries out one attempt.
	attemptOnce func(ctx context.Context) error
}

func (p pipelinePolicy) attempt(ctx context.Context) error { return p.attemptOnce(ctx) }

// replan implements policy: the placement looks at the newest view anyway.
func (p pipelinePolicy) replan() {}

// escalate implements policy: a larger model is another step of the plan.
func (p pipelinePolicy) escalate() bool { return false }

func (p pipelinePolicy) takeRetry(*attempt.Error) bool { return p.RetryBudget.Withdraw() }
