package pipeline

import (
	"context"
	"expvar"
	"fmt"
	"strings"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/billing/ledger"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/routing/cascade"
)

// tokensPerPriceUnit is the number of tokens that a model's price applies to.
const tokensPerPriceUnit = 1000

// chatExecution is the state of one chat completion in progress.
type chatExecution struct {
	*execution
	chat    *ChatRequest
	session Session
	out     ResponseWriter
	bill    ledger.Bill
}

// Chat runs a chat completion and writes its answer to out. An error means that
// the answer was not delivered completely; errors.As finds a *call.Refusal in it
// unless a write to out failed after the last attempt.
func (p *Pipeline) Chat(ctx context.Context, c *ChatRequest, out ResponseWriter) (err error) {
	ex, err := p.begin(c.Request)
	if err != nil {
		return err
	}
	defer func() { err = p.end(ex, err) }()
	requested, err := resolveModels(ex)
	if err != nil {
		return err
	}
	session, err := p.Sessions.Resolve(ctx, SessionQuery{
		Document: ex.doc, Customer: ex.customer, Identifier: c.Request.Session,
		Models: requested.models, ExactVersion: requested.exactVersion, Now: p.Clock.Now(),
	})
	if err != nil {
		return err
	}
	plan := p.plan(ex, requested.models, session)
	ticket, err := p.admit(ctx, ex, ex.doc.Model(plan.Steps[0].Model).Service, session.InProgress)
	if err != nil {
		return err
	}
	defer func() { ticket.Done(admissionOutcome(ex, err)) }()
	return p.runPlan(ctx, &chatExecution{execution: ex, chat: c, session: session, out: out}, plan)
}

// requestedModels holds the models that the caller's model field refers to.
type requestedModels struct {
	models []string
	// exactVersion is the version that the caller named, or empty.
	exactVersion string
}

// resolveModels resolves the request's model field, which names a cascade, a
// model, or a model with a version as MODEL@VERSION.
func resolveModels(ex *execution) (requestedModels, error) {
	name := ex.request.Model
	if c := ex.doc.Cascade(name); c != nil {
		models := lo.Filter(c.Models, func(m string, _ int) bool { return hasAllowedVersion(ex, m) })
		if len(models) == 0 {
			return requestedModels{}, &call.Refusal{Reason: call.ReasonNotAllowed, Field: "model", Detail: "none of the models of " + name + " is allowed and active"}
		}
		return requestedModels{models: models}, nil
	}
	model, version, named := strings.Cut(name, "@")
	m := ex.doc.Model(model)
	if m == nil || (named && m.Version(version) == nil) {
		return requestedModels{}, &call.Refusal{Reason: call.ReasonUnknownModel, Field: "model", Detail: "no model is called " + name}
	}
	if named {
		if err := checkVersion(ex.doc, ex.request.Customer, model, version); err != nil {
			return requestedModels{}, err
		}
	}
	return requestedModels{models: []string{model}, exactVersion: version}, nil
}

func hasAllowedVersion(ex *execution, model string) bool {
	return lo.SomeBy(ex.doc.Model(model).Versions, func(v configuration.Version) bool {
		return ex.doc.MayRun(ex.request.Customer, model, v.Name)
	})
}

// plan returns the plan of models to try, among those that have a version in the
// session. With more than one such model the cascade decides.
func (p *Pipeline) plan(ex *execution, models []string, s Session) cascade.Plan {
	candidates := lo.FilterMap(models, func(m string, _ int) (cascade.Candidate, bool) {
		return cascade.Candidate{Model: m, Price: p.estimates.answerPrice(ex.doc.Model(m).Price)}, s.Versions[m] != ""
	})
	plan := cascade.Plan{Steps: []cascade.Step{{Model: candidates[0].Model}}, Reason: "one model"}
	if len(candidates) > 1 {
		plan = p.Cascade.Decide(cascade.Query{
			Customer: ex.request.Customer, Class: ex.request.Class, Models: candidates,
			QualityTarget: ex.preset.QualityTarget, Judge: ex.preset.Judge && p.Judge != nil,
			JudgeDelay: p.estimates.judgeDelay(), DelayPrice: ex.preset.DelayPrice, ExploreShare: ex.preset.ExploreShare, Now: p.Clock.Now(),
		}, ex.rng)
	}
	ex.record.Plan = plan.Reason
	return plan
}

// runPlan runs the steps of the plan until one delivers its answer. A request has
// one bill, however many steps run.
func (p *Pipeline) runPlan(ctx context.Context, ex *chatExecution, plan cascade.Plan) error {
	ex.bill = ledger.Bill{ID: ex.request.ID, Keyed: ex.request.HasIdempotencyKey, Customer: ex.request.Customer, Instance: p.Instance, OpenedAt: p.Clock.Now()}
	for i, step := range plan.Steps {
		last := i == len(plan.Steps)-1
		if !step.Judge || last {
			return p.runDirect(ctx, ex, step.Model, ratingRequestFor(plan, i))
		}
		done, err := p.runJudged(ctx, ex, step.Model)
		if done {
			return err
		}
	}
	return &call.Refusal{Reason: call.ReasonNoServer, Detail: "the plan has no steps"}
}

func ratingRequestFor(plan cascade.Plan, i int) RatingRequest {
	kind := PlanDirect
	if i > 0 {
		kind = PlanEscalated
	}
	return RatingRequest{Plan: kind, FirstModel: plan.Steps[0].Model}
}

// runDirect runs a step and delivers its answer as it arrives.
func (p *Pipeline) runDirect(ctx context.Context, ex *chatExecution, model string, rating RatingRequest) error {
	d := newDelivery(ex, model)
	answer, err := p.runStep(ctx, ex, model, d.stream)
	p.addToBill(ex, model, answer, d.tokens)
	if err != nil {
		p.closeFailedBill(ctx, ex)
		return ex.refusalFor(err, d.headWritten, retryAfter)
	}
	p.closeBill(ctx, ex.bill)
	p.submitForRating(ex, model, d.text(answer), rating)
	return d.finish(answer)
}

// runJudged runs a step and delivers its answer only if the judge accepts it. It
// reports whether the request is done; otherwise the next step of the plan runs.
func (p *Pipeline) runJudged(ctx context.Context, ex *chatExecution, model string) (bool, error) {
	d := newDelivery(ex, model)
	startedAt := p.Clock.Now()
	answer, err := p.runStep(ctx, ex, model, d.buffer)
	p.addToBill(ex, model, answer, d.tokens)
	if err != nil {
		if ctx.Err() != nil {
			p.closeFailedBill(ctx, ex)
			return true, ex.refusalFor(err, false, retryAfter)
		}
		return false, nil
	}
	text := d.text(answer)
	passed := p.judge(ctx, ex, model, text)
	p.estimates.judgedLatency.observe(int64(p.Clock.Since(startedAt)))
	if !passed {
		return false, nil
	}
	writeErr := d.flushBuffered()
	p.closeBill(ctx, ex.bill)
	p.submitForRating(ex, model, text, RatingRequest{Plan: PlanAccepted, FirstModel: model})
	if writeErr != nil {
		return true, writeErr
	}
	return true, d.finish(answer)
}

// judge reports whether the judge accepts the answer. If the judge is
// unavailable, the answer counts as rejected and the next model answers.
func (p *Pipeline) judge(ctx context.Context, ex *chatExecution, model, text string) bool {
	passed, err := p.Judge.Judge(ctx, JudgeQuery{
		RequestID: ex.request.ID, Model: model, Version: ex.session.Versions[model],
		Class: ex.request.Class, Prompt: ex.chat.Prompt, Answer: text,
	})
	step := &ex.record.Steps[len(ex.record.Steps)-1]
	step.Judged = fmt.Sprint(passed)
	if err != nil {
		step.Judged = "unavailable: " + err.Error()
		passed = false
	}
	p.Cascade.Observe(cascade.Outcome{
		Customer: ex.request.Customer, Class: ex.request.Class, Kind: cascade.Judgement, Model: model, Pass: passed, At: p.Clock.Now(),
	})
	return passed
}

// addToBill adds the usage and cost of one step to the request's bill.
func (p *Pipeline) addToBill(ex *chatExecution, model string, answer attempt.Answer, delivered int) {
	tokens := answer.Usage.CompletionTokens
	if tokens == 0 {
		tokens = delivered
	}
	if answer.Complete && tokens > 0 {
		p.estimates.tokens.observe(int64(tokens))
	}
	ex.bill.Steps++
	ex.bill.Attempts = ex.serverAttempts
	ex.bill.Model, ex.bill.Version = model, ex.session.Versions[model]
	ex.bill.PromptTokens += answer.Usage.PromptTokens
	ex.bill.CompletionTokens += tokens
	ex.bill.Cost += ex.doc.Model(model).Price * float64(tokens) / tokensPerPriceUnit
	ex.record.Cost = ex.bill.Cost
}

func (p *Pipeline) submitForRating(ex *chatExecution, model, text string, a RatingRequest) {
	if p.Ratings == nil {
		return
	}
	a.RequestID, a.Customer, a.Class = ex.request.ID, ex.request.Customer, ex.request.Class
	a.Model, a.Version, a.Answer = model, ex.session.Versions[model], text
	p.Ratings.Submit(a)
}

// closeFailedBill closes the bill of a request whose answer was not delivered
// completely. A request that generated nothing is not billed, so that a retry by
// the caller with the same ID can be billed; the ledger settles its open bill at
// no cost.
func (p *Pipeline) closeFailedBill(ctx context.Context, ex *chatExecution) {
	if ex.bill.CompletionTokens > 0 {
		p.closeBill(ctx, ex.bill)
	}
}

// billTimeout bounds how long the end of an answer waits for its bill to be
// committed.
const billTimeout = 10 * time.Second

// closeBill commits the bill. An error is only logged and counted: the answer is
// delivered anyway, and the ledger keeps retrying a bill that it could neither
// commit nor copy to another instance.
func (p *Pipeline) closeBill(ctx context.Context, b ledger.Bill) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), billTimeout)
	defer cancel()
	closed, err := p.Ledger.Close(ctx, b)
	switch {
	case err != nil:
		bills.Add("NotCommitted", 1)
		p.Log.Warn("BillNotCommitted", zap.String("RequestId", b.ID), zap.Error(err))
	case closed.Duplicate:
		bills.Add("Duplicate", 1)
	case !closed.Committed:
		bills.Add("Copied", 1)
	default:
		bills.Add("Committed", 1)
	}
}

var bills = expvar.NewMap("Bills")
