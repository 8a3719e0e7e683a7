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

// tokensPerPriceUnit is how many tokens a model's price is for.
const tokensPerPriceUnit = 1000

// chatExecution is a chat completion under way.
type chatExecution struct {
	*execution
	chat    *ChatRequest
	session Session
	out     ResponseWriter
	bill    ledger.Bill
}

// Chat runs a chat completion and delivers its answer to out. On an error the
// answer was not delivered as whole; the error holds a *call.Refusal.
func (p *Pipeline) Chat(ctx context.Context, c *ChatRequest, out ResponseWriter) (err error) {
	ex, err := p.begin(c.Request)
	if err != nil {
		return err
	}
	defer func() { err = p.end(ex, err) }()
	target, err := resolveModels(ex)
	if err != nil {
		return err
	}
	session, err := p.Sessions.Resolve(ctx, SessionQuery{
		Document: ex.doc, Customer: ex.customer, Identifier: c.Request.Session,
		Models: target.models, ExactVersion: target.exactVersion, Now: p.Clock.Now(),
	})
	if err != nil {
		return err
	}
	plan := p.plan(ex, target.models, session)
	ticket, err := p.admit(ctx, ex, ex.doc.Model(plan.Steps[0].Model).Service, session.InProgress)
	if err != nil {
		return err
	}
	defer func() { ticket.Done(admissionOutcome(ex, err)) }()
	return p.runPlan(ctx, &chatExecution{execution: ex, chat: c, session: session, out: out}, plan)
}

// requestedModels is what the caller's model field stands for.
type requestedModels struct {
	models []string
	// exactVersion is set if the caller named a version.
	exactVersion string
}

// resolveModels resolves the model field: a cascade, a model, or MODEL@VERSION.
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

// plan asks the cascade which models to try, among those with a version.
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

// runPlan goes through the steps until one delivers its answer. However many
// run, one bill is written.
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

// runDirect delivers the step's answer as it arrives.
func (p *Pipeline) runDirect(ctx context.Context, ex *chatExecution, model string, rated RatingRequest) error {
	d := newDelivery(ex, model)
	answer, err := p.runStep(ctx, ex, model, d.stream)
	p.addToBill(ex, model, answer, d.tokens)
	if err != nil {
		p.closeFailedBill(ctx, ex)
		return ex.refusalFor(err, d.headWritten, retryAfter)
	}
	p.closeBill(ctx, ex.bill)
	p.submitForRating(ex, model, d.text(answer), rated)
	return d.finish(answer)
}

// runJudged keeps the step's answer back until the judge has passed it. It
// reports whether the request is done; otherwise the next step runs.
func (p *Pipeline) runJudged(ctx context.Context, ex *chatExecution, model string) (bool, error) {
	d := newDelivery(ex, model)
	began := p.Clock.Now()
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
	p.estimates.judgedLatency.observe(int64(p.Clock.Since(began)))
	if !passed {
		return false, nil
	}
	gone := d.flushBuffered()
	p.closeBill(ctx, ex.bill)
	p.submitForRating(ex, model, text, RatingRequest{Plan: PlanAccepted, FirstModel: model})
	if gone != nil {
		return true, gone
	}
	return true, d.finish(answer)
}

// judge asks whether the answer may be delivered. An answer that can't be
// judged is not delivered: the next model's is.
func (p *Pipeline) judge(ctx context.Context, ex *chatExecution, model, text string) bool {
	pass, err := p.Judge.Judge(ctx, JudgeQuery{
		RequestID: ex.request.ID, Model: model, Version: ex.session.Versions[model],
		Class: ex.request.Class, Prompt: ex.chat.Prompt, Answer: text,
	})
	step := &ex.record.Steps[len(ex.record.Steps)-1]
	step.Judged = fmt.Sprint(pass)
	if err != nil {
		step.Judged = "unavailable: " + err.Error()
		pass = false
	}
	p.Cascade.Observe(cascade.Outcome{
		Customer: ex.request.Customer, Class: ex.request.Class, Kind: cascade.Judgement, Model: model, Pass: pass, At: p.Clock.Now(),
	})
	return pass
}

// addToBill adds what one step generated to the request's bill.
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

// closeFailedBill bills what ran although no whole answer was delivered. A request
// that generated nothing is not billed, so that its repeat under the same ID
// can be; the ledger settles its opening record at no cost.
func (p *Pipeline) closeFailedBill(ctx context.Context, ex *chatExecution) {
	if ex.bill.CompletionTokens > 0 {
		p.closeBill(ctx, ex.bill)
	}
}

// billTimeout bounds how long an answer's end waits for its bill.
const billTimeout = 10 * time.Second

// closeBill commits the bill. The ledger goes on sending a bill that can't be
// committed or copied now; its error is no reason to keep the answer from the
// caller.
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
