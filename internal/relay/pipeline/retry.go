package pipeline

import (
	"context"

	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
)

// isServerFault reports whether an attempt's error speaks against the server.
func isServerFault(e *attempt.Error) bool {
	return e.Kind != attempt.NotStarted && e.RetryableElsewhere()
}

// isRestartSign reports whether an attempt's error may come from a server that
// has restarted, and so is cold before its next report says so. A reset is none:
// servers close idle connections at any time.
func isRestartSign(e *attempt.Error) bool {
	return e.Kind == attempt.DialRefused || e.Kind == attempt.Refused503
}

// door is the chat door's way of a course.
type door struct {
	*Pipeline
	// try places the request and carries out one attempt.
	try func(ctx context.Context) error
}

func (d door) attempt(ctx context.Context) error { return d.try(ctx) }

// move implements policy: the placement looks at the newest view anyway.
func (d door) move() {}

// stepUp implements policy: a larger model is another step of the plan.
func (d door) stepUp() bool { return false }

func (d door) repeat(*attempt.Error) bool { return d.RetryBudget.Withdraw() }
