package pipeline

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/kingcupyard/kingcupyard/internal/billing/ledger"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/release/rollout"
)

// chunkFunc is called with each chunk of an attempt.
type chunkFunc func(attemptID string, c attempt.Chunk) error

// runStep runs one model until an attempt delivers the complete answer or no
// further attempt is allowed. An interrupted stream is resumed at its next token.
func (p *Pipeline) runStep(ctx context.Context, ex *chatExecution, model string, sink chunkFunc) (attempt.Answer, error) {
	version := ex.session.Versions[model]
	sel := p.newServerSelection(ex.doc.Model(model).Service, model, version, ex.chat.Prefix)
	lastDelivered := 0
	trackingSink := func(id string, c attempt.Chunk) error {
		if err := sink(id, c); err != nil {
			return err
		}
		lastDelivered = c.Token
		return nil
	}
	p.RetryBudget.Deposit()
	var answer attempt.Answer
	ex.failedServers, ex.totalAttempts = nil, 0 // a step may use servers at which the previous one failed
	err := ex.run(ctx, pipelinePolicy{p, func(ctx context.Context) (err error) {
		answer, err = p.runAttempt(ctx, ex, sel, lastDelivered, trackingSink)
		return err
	}})
	return answer, err
}

// minUnstreamedTimeout is the minimum timeout of an attempt whose answer is not
// streamed.
const minUnstreamedTimeout = 100 * time.Millisecond

// runAttempt places the request and carries out one attempt.
func (p *Pipeline) runAttempt(ctx context.Context, ex *chatExecution, sel *serverSelection, lastDelivered int, sink chunkFunc) (attempt.Answer, error) {
	assigned, err := p.place(ctx, ex.execution, sel)
	if err != nil {
		return attempt.Answer{}, err
	}
	id := uuid.NewString()
	answer, err := p.Client.Chat(ctx, attempt.Target{Server: assigned.server.Name, Address: assigned.server.Address, DataCentre: assigned.server.DataCentre}, attempt.ChatRequest{
		AttemptID: id, RequestID: ex.request.ID, Customer: ex.request.Customer, Model: sel.query.Model, Version: sel.query.Version,
		Body: ex.request.Body, Stream: ex.request.Stream, ResumeFrom: lastDelivered, Priority: ex.request.Priority,
		// An answer that is not streamed shows no progress, so the deadline is the
		// only limit that ends the wait on a silent connection.
		Limits:      attempt.Limits{Unstreamed: max(ex.request.Deadline.Sub(p.Clock.Now()), minUnstreamedTimeout)},
		BeforeWrite: func() error { return p.beforeWrite(ex, sel, assigned) },
	}, func(c attempt.Chunk) error { return sink(id, c) })
	p.recordServerOutcome(assigned, answer, err)
	p.recordAttempt(ex.execution, sel, assigned, id, err)
	p.recordVersionOutcome(ex, sel, assigned, answer, err)
	answer.Body = bytes.Replace(answer.Body, quoted(id), quoted(ex.request.ID), 1)
	return answer, err
}

// beforeWrite runs right before the first byte of an attempt is sent. It checks
// the placement again and opens the bill with the first attempt.
func (p *Pipeline) beforeWrite(ex *chatExecution, sel *serverSelection, assigned assignment) error {
	if err := p.recheck(ex.execution, sel, assigned); err != nil {
		return err
	}
	if ex.bill.State == "" {
		p.openBill(ex, sel)
	}
	return nil
}

// recordAttempt adds a finished attempt to the decision record and updates the
// request's run state. After a failure, further placements with sel avoid the server's
// data centre.
func (p *Pipeline) recordAttempt(ex *execution, sel *serverSelection, assigned assignment, id string, err error) {
	outcome := "answered"
	var e *attempt.Error
	if errors.As(err, &e) {
		outcome = e.Error()
		sel.avoidDataCentreOf(assigned.server)
	}
	ex.recordResult(assigned.server.Name, err)
	p.recordStep(ex, sel, id, outcome, assigned)
}

// recordVersionOutcome records the outcome of the version for a rollout, and that
// the server has cached the prompt's prefix. It records nothing if the attempt
// failed for a reason that is not a fault of the server.
func (p *Pipeline) recordVersionOutcome(ex *chatExecution, sel *serverSelection, assigned assignment, answer attempt.Answer, err error) {
	var e *attempt.Error
	failed := errors.As(err, &e)
	if failed && !isServerFault(e) {
		return
	}
	for _, prefix := range sel.query.Prefix {
		p.PrefixTable.Stored(assigned.server.Name, prefix)
	}
	p.Evidence.Record(rollout.Observation{
		Customer: ex.request.Customer, Model: sel.query.Model, Version: sel.query.Version,
		Failed: failed, FirstToken: answer.FirstToken, Tokens: answer.Usage.CompletionTokens,
	})
}

// openBill records the bill as open in the ledger, so that it can be settled if
// this instance fails before the answer is complete.
func (p *Pipeline) openBill(ex *chatExecution, sel *serverSelection) {
	ex.bill.Model, ex.bill.Version, ex.bill.Service, ex.bill.State = sel.query.Model, sel.query.Version, sel.query.Service, ledger.BillOpen
	p.Ledger.Open(ex.bill)
}
