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

// take gets each chunk of an attempt.
type take func(attemptID string, c attempt.Chunk) error

// runStep runs one model until an attempt brings the whole answer or no more
// attempts are allowed. A broken stream goes on at its next token.
func (p *Pipeline) runStep(ctx context.Context, f *chatFlight, model string, sink take) (attempt.Answer, error) {
	version := f.session.Versions[model]
	r := p.newItinerary(f.doc.Model(model).Service, model, version, f.chat.Prefix)
	delivered := 0
	counted := func(id string, c attempt.Chunk) error {
		if err := sink(id, c); err != nil {
			return err
		}
		delivered = c.Token
		return nil
	}
	p.RetryBudget.Deposit()
	var answer attempt.Answer
	f.tried, f.tries = nil, 0 // a step may go where the one before failed
	err := f.run(ctx, door{p, func(ctx context.Context) (err error) {
		answer, err = p.runAttempt(ctx, f, r, delivered, counted)
		return err
	}})
	return answer, err
}

// minWhole is the least time that an attempt gets for a whole answer.
const minWhole = 100 * time.Millisecond

// runAttempt places and carries one attempt.
func (p *Pipeline) runAttempt(ctx context.Context, f *chatFlight, r *itinerary, delivered int, sink take) (attempt.Answer, error) {
	at, err := p.place(ctx, f.flight, r)
	if err != nil {
		return attempt.Answer{}, err
	}
	id := uuid.NewString()
	answer, err := p.Client.Chat(ctx, attempt.Target{Server: at.server.Name, Address: at.server.Address, DataCentre: at.server.DataCentre}, attempt.ChatRequest{
		AttemptID: id, RequestID: f.request.ID, Customer: f.request.Customer, Model: r.query.Model, Version: r.query.Version,
		Body: f.request.Body, Stream: f.request.Stream, ResumeFrom: delivered, Priority: f.request.Priority,
		// A whole answer shows no progress, so its deadline is the only limit
		// that ends the wait on a silent connection.
		Limits:      attempt.Limits{Unstreamed: max(f.request.Deadline.Sub(p.Clock.Now()), minWhole)},
		BeforeWrite: func() error { return p.start(f, r, at) },
	}, func(c attempt.Chunk) error { return sink(id, c) })
	p.settle(at, answer, err)
	p.resolve(f.flight, r, at, id, err)
	p.observe(f, r, at, answer, err)
	answer.Body = bytes.Replace(answer.Body, quoted(id), quoted(f.request.ID), 1)
	return answer, err
}

// start is the last step before the first byte: the second check, then the
// announcement of the bill.
func (p *Pipeline) start(f *chatFlight, r *itinerary, at place) error {
	if err := p.check(f.flight, r, at); err != nil {
		return err
	}
	if f.bill.State == "" {
		p.openBill(f, r)
	}
	return nil
}

// resolve records how an attempt ended and moves the request's run state.
func (p *Pipeline) resolve(f *flight, r *itinerary, at place, id string, err error) {
	outcome := "answered"
	var e *attempt.Error
	if errors.As(err, &e) {
		outcome = e.Error()
		r.failed(at.server)
	}
	f.settle(at.server.Name, err)
	p.note(f, r, id, outcome, at)
}

// observe records how the version did, for the roll-out that it may be part of,
// and that the server now holds the prompt's prefix.
func (p *Pipeline) observe(f *chatFlight, r *itinerary, at place, answer attempt.Answer, err error) {
	var e *attempt.Error
	failed := errors.As(err, &e)
	if failed && !isServerFault(e) {
		return
	}
	for _, prefix := range r.query.Prefix {
		p.PrefixTable.Stored(at.server.Name, prefix)
	}
	p.Evidence.Record(rollout.Observation{
		Customer: f.request.Customer, Model: r.query.Model, Version: r.query.Version,
		Failed: failed, FirstToken: answer.FirstToken, Tokens: answer.Usage.CompletionTokens,
	})
}

// openBill announces the bill, so that it can be settled if this instance is
// lost before the answer is complete.
func (p *Pipeline) openBill(f *chatFlight, r *itinerary) {
	f.bill.Model, f.bill.Version, f.bill.Service, f.bill.State = r.query.Model, r.query.Version, r.query.Service, ledger.BillOpen
	p.Ledger.Open(f.bill)
}
