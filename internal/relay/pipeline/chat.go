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

// tokensPerPrice is how many tokens a model's price is for.
const tokensPerPrice = 1000

// chatFlight is a chat completion under way.
type chatFlight struct {
	*flight
	chat    *ChatRequest
	session Session
	out     ResponseWriter
	bill    ledger.Bill
}

// Chat runs a chat completion and delivers its answer to out. On an error the
// answer was not delivered as whole; the error holds a *call.Refusal.
func (p *Pipeline) Chat(ctx context.Context, c *ChatRequest, out ResponseWriter) (err error) {
	f, err := p.begin(c.Request)
	if err != nil {
		return err
	}
	defer func() { err = p.end(f, err) }()
	target, err := findModels(f)
	if err != nil {
		return err
	}
	session, err := p.Sessions.Resolve(ctx, SessionQuery{
		Document: f.doc, Customer: f.customer, Identifier: c.Request.Session,
		Models: target.models, ExactVersion: target.exact, Now: p.Clock.Now(),
	})
	if err != nil {
		return err
	}
	plan := p.plan(f, target.models, session)
	ticket, err := p.admit(ctx, f, f.doc.Model(plan.Steps[0].Model).Service, session.InProgress)
	if err != nil {
		return err
	}
	defer func() { ticket.Done(outcomeOf(f, err)) }()
	return p.runPlan(ctx, &chatFlight{flight: f, chat: c, session: session, out: out}, plan)
}

// wanted is what the caller's model field stands for.
type wanted struct {
	models []string
	// exact is set if the caller named a version.
	exact string
}

// findModels resolves the model field: a cascade, a model, or MODEL@VERSION.
func findModels(f *flight) (wanted, error) {
	name := f.request.Model
	if c := f.doc.Cascade(name); c != nil {
		models := lo.Filter(c.Models, func(m string, _ int) bool { return mayUse(f, m) })
		if len(models) == 0 {
			return wanted{}, &call.Refusal{Reason: call.ReasonNotAllowed, Field: "model", Detail: "none of the models of " + name + " is allowed and active"}
		}
		return wanted{models: models}, nil
	}
	model, version, named := strings.Cut(name, "@")
	m := f.doc.Model(model)
	if m == nil || (named && m.Version(version) == nil) {
		return wanted{}, &call.Refusal{Reason: call.ReasonUnknownModel, Field: "model", Detail: "no model is called " + name}
	}
	if named {
		if err := checkVersion(f.doc, f.request.Customer, model, version); err != nil {
			return wanted{}, err
		}
	}
	return wanted{models: []string{model}, exact: version}, nil
}

func mayUse(f *flight, model string) bool {
	return lo.SomeBy(f.doc.Model(model).Versions, func(v configuration.Version) bool {
		return f.doc.MayRun(f.request.Customer, model, v.Name)
	})
}

// plan asks the cascade which models to try, among those with a version.
func (p *Pipeline) plan(f *flight, models []string, s Session) cascade.Plan {
	candidates := lo.FilterMap(models, func(m string, _ int) (cascade.Candidate, bool) {
		return cascade.Candidate{Model: m, Price: p.estimates.answerPrice(f.doc.Model(m).Price)}, s.Versions[m] != ""
	})
	plan := cascade.Plan{Steps: []cascade.Step{{Model: candidates[0].Model}}, Reason: "one model"}
	if len(candidates) > 1 {
		plan = p.Cascade.Decide(cascade.Query{
			Customer: f.request.Customer, Class: f.request.Class, Models: candidates,
			QualityTarget: f.preset.QualityTarget, Judge: f.preset.Judge && p.Judge != nil,
			JudgeDelay: p.estimates.judgeDelay(), DelayPrice: f.preset.DelayPrice, ExploreShare: f.preset.ExploreShare, Now: p.Clock.Now(),
		}, f.rnd)
	}
	f.record.Plan = plan.Reason
	return plan
}

// runPlan goes through the steps until one delivers its answer. However many
// run, one bill is written.
func (p *Pipeline) runPlan(ctx context.Context, f *chatFlight, plan cascade.Plan) error {
	f.bill = ledger.Bill{ID: f.request.ID, Keyed: f.request.HasIdempotencyKey, Customer: f.request.Customer, Instance: p.Instance, OpenedAt: p.Clock.Now()}
	for i, step := range plan.Steps {
		last := i == len(plan.Steps)-1
		if !step.Judge || last {
			return p.runDirect(ctx, f, step.Model, deliveredBy(plan, i))
		}
		done, err := p.runJudged(ctx, f, step.Model)
		if done {
			return err
		}
	}
	return &call.Refusal{Reason: call.ReasonNoServer, Detail: "the plan has no steps"}
}

func deliveredBy(plan cascade.Plan, i int) RatingRequest {
	kind := PlanDirect
	if i > 0 {
		kind = PlanEscalated
	}
	return RatingRequest{Plan: kind, FirstModel: plan.Steps[0].Model}
}

// runDirect delivers the step's answer as it arrives.
func (p *Pipeline) runDirect(ctx context.Context, f *chatFlight, model string, rated RatingRequest) error {
	d := newDelivery(f, model)
	answer, err := p.runStep(ctx, f, model, d.take)
	p.charge(f, model, answer, d.tokens)
	if err != nil {
		p.closeFailed(ctx, f)
		return f.refuse(err, d.begun, retryAfter)
	}
	p.closeBill(ctx, f.bill)
	p.submit(f, model, d.text(answer), rated)
	return d.finish(answer)
}

// runJudged keeps the step's answer back until the judge has passed it. It
// reports whether the request is done; otherwise the next step runs.
func (p *Pipeline) runJudged(ctx context.Context, f *chatFlight, model string) (bool, error) {
	d := newDelivery(f, model)
	began := p.Clock.Now()
	answer, err := p.runStep(ctx, f, model, d.hold)
	p.charge(f, model, answer, d.tokens)
	if err != nil {
		if ctx.Err() != nil {
			p.closeFailed(ctx, f)
			return true, f.refuse(err, false, retryAfter)
		}
		return false, nil
	}
	text := d.text(answer)
	passed := p.judge(ctx, f, model, text)
	p.estimates.judged.observe(int64(p.Clock.Since(began)))
	if !passed {
		return false, nil
	}
	gone := d.release()
	p.closeBill(ctx, f.bill)
	p.submit(f, model, text, RatingRequest{Plan: PlanAccepted, FirstModel: model})
	if gone != nil {
		return true, gone
	}
	return true, d.finish(answer)
}

// judge asks whether the answer may be delivered. An answer that can't be
// judged is not delivered: the next model's is.
func (p *Pipeline) judge(ctx context.Context, f *chatFlight, model, text string) bool {
	pass, err := p.Judge.Judge(ctx, JudgeQuery{
		RequestID: f.request.ID, Model: model, Version: f.session.Versions[model],
		Class: f.request.Class, Prompt: f.chat.Prompt, Answer: text,
	})
	step := &f.record.Steps[len(f.record.Steps)-1]
	step.Judged = fmt.Sprint(pass)
	if err != nil {
		step.Judged = "unavailable: " + err.Error()
		pass = false
	}
	p.Cascade.Observe(cascade.Outcome{
		Customer: f.request.Customer, Class: f.request.Class, Kind: cascade.Judgement, Model: model, Pass: pass, At: p.Clock.Now(),
	})
	return pass
}

// charge adds what one step generated to the request's bill.
func (p *Pipeline) charge(f *chatFlight, model string, answer attempt.Answer, delivered int) {
	tokens := answer.Usage.CompletionTokens
	if tokens == 0 {
		tokens = delivered
	}
	if answer.Complete && tokens > 0 {
		p.estimates.tokens.observe(int64(tokens))
	}
	f.bill.Steps++
	f.bill.Attempts = f.attempts
	f.bill.Model, f.bill.Version = model, f.session.Versions[model]
	f.bill.PromptTokens += answer.Usage.PromptTokens
	f.bill.CompletionTokens += tokens
	f.bill.Cost += f.doc.Model(model).Price * float64(tokens) / tokensPerPrice
	f.record.Cost = f.bill.Cost
}

func (p *Pipeline) submit(f *chatFlight, model, text string, a RatingRequest) {
	if p.Ratings == nil {
		return
	}
	a.RequestID, a.Customer, a.Class = f.request.ID, f.request.Customer, f.request.Class
	a.Model, a.Version, a.Answer = model, f.session.Versions[model], text
	p.Ratings.Submit(a)
}

// closeFailed bills what ran although no whole answer was delivered. A request
// that generated nothing is not billed, so that its repeat under the same ID
// can be; the ledger settles its opening record at no cost.
func (p *Pipeline) closeFailed(ctx context.Context, f *chatFlight) {
	if f.bill.CompletionTokens > 0 {
		p.closeBill(ctx, f.bill)
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
