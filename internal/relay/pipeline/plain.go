package pipeline

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/google/uuid"

	"github.com/kingcupyard/kingcupyard/internal/billing/ledger"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// Plain runs a call of a plain service. A call that is not idempotent is claimed
// in the ledger first, so that it runs at most once under its ID.
func (p *Pipeline) Plain(ctx context.Context, c *PlainRequest) (answer *PlainAnswer, err error) {
	ex, err := p.begin(c.Request)
	if err != nil {
		return nil, err
	}
	ex.claimUndecided = !c.Request.Idempotent && c.Request.HasIdempotencyKey
	defer func() { err = p.end(ex, err) }()
	ticket, err := p.admit(ctx, ex, c.Service, c.Request.Session != "")
	if err != nil {
		return nil, err
	}
	defer func() { ticket.Done(admissionOutcome(ex, err)) }()
	var claimed ledger.Ticket
	if !c.Request.Idempotent {
		stored, t, err := p.claim(ctx, ex)
		if stored != nil || err != nil {
			return stored, err
		}
		claimed = t
	}
	answer, err = p.runPlain(ctx, ex, c)
	if !c.Request.Idempotent {
		p.Ledger.Finish(claimed, ex.state, encodeAnswer(answer))
	}
	return answer, err
}

// claim claims the request's ID in the ledger. If an earlier request claimed it, it
// returns that request's stored answer, or a refusal with its run state if none is
// stored. It refuses the request if the key was used for another body or the ledger is
// unavailable.
func (p *Pipeline) claim(ctx context.Context, ex *execution) (*PlainAnswer, ledger.Ticket, error) {
	result, err := p.Ledger.Claim(ctx, ex.request.ID, ex.request.Customer, ex.request.BodyHash)
	if err != nil {
		return nil, ledger.Ticket{}, &call.Refusal{
			Reason: call.ReasonClaimUnavailable, RetryAfter: retryAfter,
			Detail: "this arrival did not run; an earlier one with the same key may have: try again with the same key: " + err.Error(),
		}
	}
	ex.claimUndecided = false
	switch result.State {
	case ledger.ClaimGranted:
		return nil, result.Ticket, nil
	case ledger.ClaimMismatch:
		return nil, ledger.Ticket{}, &call.Refusal{Reason: call.ReasonBodyMismatch, Field: "Idempotency-Key", Detail: "the key was used for another body"}
	}
	ex.record.Plan = "repeat of a claimed request"
	ex.state = result.Existing.State
	if stored := decodeAnswer(result.Existing.Answer); stored != nil {
		stored.RequestID, stored.Replayed = ex.request.ID, true
		return stored, ledger.Ticket{}, nil
	}
	return nil, ledger.Ticket{}, &call.Refusal{
		Reason: call.ReasonDuplicate, State: result.Existing.State, Field: "Idempotency-Key",
		Detail: "the first request with this key is not answered, or its answer is not kept any more",
	}
}

// storedAnswer is the encoded form of an answer that is stored in the ledger.
type storedAnswer struct {
	Status int
	Header []Header
	Body   []byte
}

func encodeAnswer(a *PlainAnswer) []byte {
	if a == nil {
		return nil
	}
	raw, err := json.Marshal(storedAnswer{a.Status, a.Header, a.Body})
	if err != nil {
		return nil
	}
	return raw
}

// decodeAnswer decodes a stored answer. It returns nil if there is none or it
// cannot be decoded.
func decodeAnswer(raw []byte) *PlainAnswer {
	var stored storedAnswer
	if len(raw) == 0 || json.Unmarshal(raw, &stored) != nil {
		return nil
	}
	return &PlainAnswer{Status: stored.Status, Header: stored.Header, Body: stored.Body}
}

// runPlain runs attempts until one succeeds or no further one is allowed, and
// bills the call if it ran.
func (p *Pipeline) runPlain(ctx context.Context, ex *execution, c *PlainRequest) (*PlainAnswer, error) {
	sel := p.newServerSelection(c.Service, c.Service, "", nil)
	bill := ledger.Bill{ID: ex.request.ID, Keyed: ex.request.HasIdempotencyKey, Customer: ex.request.Customer, Service: c.Service, OpenedAt: p.Clock.Now(), Steps: 1}
	p.RetryBudget.Deposit()
	var answer attempt.PlainAnswer
	err := ex.run(ctx, pipelinePolicy{p, func(ctx context.Context) (err error) {
		answer, err = p.runPlainAttempt(ctx, ex, c, sel)
		return err
	}})
	bill.Attempts = ex.serverAttempts
	if ex.state == call.Ran {
		p.closeBill(ctx, bill)
	}
	if err != nil {
		return nil, ex.refusalFor(err, false, retryAfter)
	}
	return &PlainAnswer{RequestID: ex.request.ID, Status: answer.Status, Header: headerList(answer.Header), Body: answer.Body}, nil
}

func (p *Pipeline) runPlainAttempt(ctx context.Context, ex *execution, c *PlainRequest, sel *serverSelection) (attempt.PlainAnswer, error) {
	assigned, err := p.place(ctx, ex, sel)
	if err != nil {
		return attempt.PlainAnswer{}, err
	}
	id := uuid.NewString()
	answer, err := p.Client.Plain(ctx, attempt.Target{Server: assigned.server.Name, Address: assigned.server.Address, DataCentre: assigned.server.DataCentre}, attempt.PlainRequest{
		AttemptID: id, RequestID: ex.request.ID, Customer: ex.request.Customer, Method: c.Method, Path: c.Path, Query: c.Query,
		Header: httpHeader(c.Header), Body: ex.request.Body, Idempotent: ex.request.Idempotent,
		BeforeWrite: func() error { return p.recheck(ex, sel, assigned) },
	})
	p.recordServerOutcome(assigned, attempt.Answer{}, err)
	p.recordAttempt(ex, sel, assigned, id, err)
	return answer, err
}

func httpHeader(list []Header) http.Header {
	h := http.Header{}
	for _, v := range list {
		h.Add(v.Name, v.Value)
	}
	return h
}

func headerList(h http.Header) []Header {
	var list []Header
	for name, values := range h {
		for _, v := range values {
			list = append(list, Header{name, v})
		}
	}
	return list
}
