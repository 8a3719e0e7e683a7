package pipeline

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/billing/ledger"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/explanation"
	"github.com/kingcupyard/kingcupyard/internal/release/rollout"
	"github.com/kingcupyard/kingcupyard/internal/routing/admission"
	"github.com/kingcupyard/kingcupyard/internal/routing/capacity"
	"github.com/kingcupyard/kingcupyard/internal/routing/cascade"
	"github.com/kingcupyard/kingcupyard/internal/routing/placement"
)

// Admitter admits requests or refuses them under overload.
type Admitter interface {
	Admit(ctx context.Context, ask admission.Request) (*admission.Ticket, error)
}

// RetryBudget bounds retries to a share of first attempts.
type RetryBudget interface {
	Deposit()
	Withdraw() bool
}

// Placer chooses a backend server and checks the choice again.
type Placer interface {
	Choose(q *placement.Query, rnd placement.Rand) (placement.Choice, error)
	Recheck(q *placement.Query, server string) error
}

// Limiter grants the right to start work at a backend server.
type Limiter interface {
	Acquire(server string, now time.Time) (*capacity.Permit, bool)
	Observe(server string, firstToken time.Duration, now time.Time)
	// Suspect records a sign that the server may have restarted.
	Suspect(server string, now time.Time)
}

// Health learns which backend servers fail.
type Health interface {
	Record(server string, ok bool, pool int, now time.Time)
}

// PrefixTable remembers which backend server holds a prompt's prefix.
type PrefixTable interface {
	Stored(server string, prefix uint64)
}

// AttemptClient carries single attempts to backend servers.
type AttemptClient interface {
	Chat(ctx context.Context, target attempt.Target, chat attempt.ChatRequest, sink func(attempt.Chunk) error) (attempt.Answer, error)
	Plain(ctx context.Context, target attempt.Target, plain attempt.PlainRequest) (attempt.PlainAnswer, error)
}

// Ledger keeps bills and the claims of requests that must run at most once.
type Ledger interface {
	Open(b ledger.Bill)
	Close(ctx context.Context, b ledger.Bill) (ledger.Closed, error)
	Claim(ctx context.Context, id, customer string, bodyHash uint64) (ledger.ClaimResult, error)
	Finish(t ledger.Ticket, outcome call.RunState, answer []byte)
}

// Cascade plans which models to ask.
type Cascade interface {
	Decide(q cascade.Query, rnd *rand.Rand) cascade.Plan
	Observe(o cascade.Outcome)
}

// SessionResolver finds and keeps the versions of a session.
type SessionResolver interface {
	Resolve(ctx context.Context, q SessionQuery) (Session, error)
}

// Judge says whether an answer is good enough.
type Judge interface {
	Judge(ctx context.Context, q JudgeQuery) (bool, error)
}

// RatingSubmitter send delivered answers to be rated. Submit does not block.
type RatingSubmitter interface {
	Submit(a RatingRequest)
}

// Evidence records outcomes of versions under roll-out.
type Evidence interface {
	Record(o rollout.Observation)
}

// DecisionLog keeps decision records.
type DecisionLog interface {
	Add(r *explanation.Record)
}

// Dependencies is what a pipeline is built from. Judge and Raters may be nil.
type Dependencies struct {
	Instance    string
	DataCentre  string
	Board       *board.Board
	Admission   Admitter
	RetryBudget RetryBudget
	Placer      Placer
	Limiter     Limiter
	Health      Health
	PrefixTable PrefixTable
	Client      AttemptClient
	Ledger      Ledger
	Cascade     Cascade
	Sessions    SessionResolver
	Judge       Judge
	Ratings     RatingSubmitter
	Evidence    Evidence
	DecisionLog DecisionLog
	Clock       clockwork.Clock
	Log         *zap.Logger
	Seed        uint64
}

// Pipeline runs requests. Build it with New.
type Pipeline struct {
	Dependencies
	rands     sync.Pool
	estimates estimates
}

var retries = expvar.NewMap("Retries")

// New returns a Pipeline.
func New(parts Dependencies) *Pipeline {
	p := &Pipeline{Dependencies: parts}
	var mu sync.Mutex
	seed := rand.New(rand.NewPCG(parts.Seed, parts.Seed^0x9e3779b97f4a7c15))
	p.rands.New = func() any {
		mu.Lock()
		defer mu.Unlock()
		return rand.New(rand.NewPCG(seed.Uint64(), seed.Uint64()))
	}
	return p
}

// flight is one request under way.
type flight struct {
	request  *call.Request
	doc      *configuration.Document
	customer *configuration.Customer
	preset   *configuration.Preset
	record   *explanation.Record
	rnd      *rand.Rand
	course
	// undecided says that the caller named the request's ID and the ledger has
	// not said yet whether an earlier arrival under it ran.
	undecided bool
}

// begin fixes the configuration that the request is planned under.
func (p *Pipeline) begin(r *call.Request) (*flight, error) {
	doc := p.Board.Configuration.Get()
	if doc == nil {
		return nil, &call.Refusal{Reason: call.ReasonNotReady, Detail: "no configuration", RetryAfter: time.Second}
	}
	customer := doc.Customer(r.Customer)
	if customer == nil {
		return nil, &call.Refusal{Reason: call.ReasonNotAllowed, Detail: "the customer is not configured any more"}
	}
	return &flight{
		course:  course{now: p.Clock.Now, deadline: r.Deadline, idempotent: r.Idempotent, lateResume: true, maxAttempts: maxAttempts},
		request: r, doc: doc, customer: customer, preset: doc.PresetInForce(),
		rnd: p.rands.Get().(*rand.Rand),
		record: &explanation.Record{
			RequestID: r.ID, Trace: r.CallerRequestID, Instance: p.Instance, Customer: r.Customer, Model: r.Model,
			Class: r.Class, Session: r.Session, Revision: doc.Revision, Preset: doc.Preset, ArrivedAt: r.ArrivedAt,
		},
	}, nil
}

// end files the decision record and gives the refusal its run state.
func (p *Pipeline) end(f *flight, err error) error {
	p.rands.Put(f.rnd)
	f.record.Elapsed = p.Clock.Since(f.request.ArrivedAt)
	f.record.RunState = f.state.String()
	var r *call.Refusal
	if errors.As(err, &r) {
		r.State = max(r.State, f.state)
		if f.undecided {
			r.State = max(r.State, call.MayHaveRun)
		}
		f.record.Reason = string(r.Reason)
		f.record.RunState = r.State.String()
	}
	p.DecisionLog.Add(f.record)
	p.log(f, err)
	return err
}

func (p *Pipeline) log(f *flight, err error) {
	fields := []zap.Field{
		zap.String("RequestId", f.request.ID), zap.String("Customer", f.request.Customer), zap.String("Model", f.request.Model),
		zap.Int("Attempts", f.attempts), zap.String("RunState", f.record.RunState), zap.Duration("Elapsed", f.record.Elapsed),
	}
	if err != nil {
		p.Log.Info("RequestEnded", append(fields, zap.Error(err))...)
		return
	}
	p.Log.Debug("RequestAnswered", fields...)
}

// admit passes the request through the gate of the service it needs.
func (p *Pipeline) admit(ctx context.Context, f *flight, service string, inSession bool) (*admission.Ticket, error) {
	return p.Admission.Admit(ctx, admission.Request{
		Customer: f.request.Customer, Priority: f.request.Priority, Session: inSession, Deadline: f.request.Deadline, Service: service,
	})
}

// outcomeOf sorts how a request ended for the gate.
func outcomeOf(f *flight, err error) admission.Outcome {
	switch {
	case err == nil:
		return admission.Answered
	case f.state == call.NotRun:
		return admission.Abandoned
	}
	return admission.Failed
}
