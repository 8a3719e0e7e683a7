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

// Admitter admits requests, or refuses them when the service is overloaded.
type Admitter interface {
	Admit(ctx context.Context, req admission.Request) (*admission.Ticket, error)
}

// RetryBudget limits retries to a share of first attempts. Withdraw reports
// whether a retry is allowed.
type RetryBudget interface {
	Deposit()
	Withdraw() bool
}

// Placer chooses a backend server. Recheck reports why a server that was chosen
// earlier is no longer eligible.
type Placer interface {
	Choose(q *placement.Query, rng placement.Rand) (placement.Choice, error)
	Recheck(q *placement.Query, server string) error
}

// Limiter grants permits to start requests at backend servers.
type Limiter interface {
	Acquire(server string, now time.Time) (*capacity.Permit, bool)
	Observe(server string, firstToken time.Duration, now time.Time)
	// Suspect records that the server may have restarted.
	Suspect(server string, now time.Time)
}

// Health records the results of attempts for outlier ejection. pool is the
// number of live servers of the failed server's service.
type Health interface {
	Record(server string, ok bool, pool int, now time.Time)
}

// PrefixTable records which backend server has cached a prompt's prefix.
type PrefixTable interface {
	Stored(server string, prefix uint64)
}

// AttemptClient carries out single attempts at backend servers.
type AttemptClient interface {
	Chat(ctx context.Context, target attempt.Target, chat attempt.ChatRequest, sink func(attempt.Chunk) error) (attempt.Answer, error)
	Plain(ctx context.Context, target attempt.Target, plain attempt.PlainRequest) (attempt.PlainAnswer, error)
}

// Ledger stores bills, and the claims of requests that must run at most once.
type Ledger interface {
	Open(b ledger.Bill)
	Close(ctx context.Context, b ledger.Bill) (ledger.CloseResult, error)
	Claim(ctx context.Context, id, customer string, bodyHash uint64) (ledger.ClaimResult, error)
	Finish(t ledger.Ticket, outcome call.RunState, answer []byte)
}

// Cascade plans which models to try, and learns from the outcomes.
type Cascade interface {
	Decide(q cascade.Query, rng *rand.Rand) cascade.Plan
	Observe(o cascade.Outcome)
}

// SessionResolver returns the model versions that a session runs on, and stores
// those of a new session.
type SessionResolver interface {
	Resolve(ctx context.Context, q SessionQuery) (Session, error)
}

// Judge reports whether an answer is good enough to be delivered.
type Judge interface {
	Judge(ctx context.Context, q JudgeQuery) (bool, error)
}

// RatingSubmitter sends delivered answers to the rating service. Submit does
// not block.
type RatingSubmitter interface {
	Submit(a RatingRequest)
}

// Evidence records the outcomes of versions that are being rolled out.
type Evidence interface {
	Record(o rollout.Observation)
}

// DecisionLog stores decision records.
type DecisionLog interface {
	Add(r *explanation.Record)
}

// Dependencies holds what a Pipeline is built from. Judge and Ratings may be nil.
// Seed seeds the random number generators.
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

// Pipeline runs chat completions and calls of plain services. Create one with
// New.
type Pipeline struct {
	Dependencies
	rngs      sync.Pool
	estimates estimates
}

var retries = expvar.NewMap("Retries")

// New returns a Pipeline that uses the given dependencies.
func New(deps Dependencies) *Pipeline {
	p := &Pipeline{Dependencies: deps}
	var mu sync.Mutex
	seeds := rand.New(rand.NewPCG(deps.Seed, deps.Seed^0x9e3779b97f4a7c15))
	p.rngs.New = func() any {
		mu.Lock()
		defer mu.Unlock()
		return rand.New(rand.NewPCG(seeds.Uint64(), seeds.Uint64()))
	}
	return p
}

// execution is the state of one request in progress.
type execution struct {
	request  *call.Request
	doc      *configuration.Document
	customer *configuration.Customer
	preset   *configuration.Preset
	record   *explanation.Record
	rng      *rand.Rand
	retryLoop
	// claimUndecided is true while an earlier request with the same idempotency
	// key may have run: the caller sent a key and the ledger has not answered yet.
	claimUndecided bool
}

// begin returns the execution of a request. The request is planned with the
// configuration that is in force now.
func (p *Pipeline) begin(r *call.Request) (*execution, error) {
	doc := p.Board.Configuration.Get()
	if doc == nil {
		return nil, &call.Refusal{Reason: call.ReasonNotReady, Detail: "no configuration", RetryAfter: time.Second}
	}
	customer := doc.Customer(r.Customer)
	if customer == nil {
		return nil, &call.Refusal{Reason: call.ReasonNotAllowed, Detail: "the customer is not configured any more"}
	}
	return &execution{
		retryLoop: retryLoop{now: p.Clock.Now, deadline: r.Deadline, idempotent: r.Idempotent, resumeAfterDeadline: true, maxAttempts: maxAttempts},
		request:   r, doc: doc, customer: customer, preset: doc.ActivePreset(),
		rng: p.rngs.Get().(*rand.Rand),
		record: &explanation.Record{
			RequestID: r.ID, Trace: r.CallerRequestID, Instance: p.Instance, Customer: r.Customer, Model: r.Model,
			Class: r.Class, Session: r.Session, Revision: doc.Revision, Preset: doc.Preset, ArrivedAt: r.ArrivedAt,
		},
	}, nil
}

// end stores the decision record and sets the run state of the refusal, if any.
func (p *Pipeline) end(ex *execution, err error) error {
	p.rngs.Put(ex.rng)
	ex.record.Elapsed = p.Clock.Since(ex.request.ArrivedAt)
	ex.record.RunState = ex.state.String()
	var r *call.Refusal
	if errors.As(err, &r) {
		r.State = max(r.State, ex.state)
		if ex.claimUndecided {
			r.State = max(r.State, call.MayHaveRun)
		}
		ex.record.Reason = string(r.Reason)
		ex.record.RunState = r.State.String()
	}
	p.DecisionLog.Add(ex.record)
	p.log(ex, err)
	return err
}

func (p *Pipeline) log(ex *execution, err error) {
	fields := []zap.Field{
		zap.String("RequestId", ex.request.ID), zap.String("Customer", ex.request.Customer), zap.String("Model", ex.request.Model),
		zap.Int("Attempts", ex.serverAttempts), zap.String("RunState", ex.record.RunState), zap.Duration("Elapsed", ex.record.Elapsed),
	}
	if err != nil {
		p.Log.Info("RequestEnded", append(fields, zap.Error(err))...)
		return
	}
	p.Log.Debug("RequestAnswered", fields...)
}

// admit asks for admission to the service that the request needs.
func (p *Pipeline) admit(ctx context.Context, ex *execution, service string, inSession bool) (*admission.Ticket, error) {
	return p.Admission.Admit(ctx, admission.Request{
		Customer: ex.request.Customer, Priority: ex.request.Priority, Session: inSession, Deadline: ex.request.Deadline, Service: service,
	})
}

// admissionOutcome returns how a request ended, as admission control counts it.
func admissionOutcome(ex *execution, err error) admission.Outcome {
	switch {
	case err == nil:
		return admission.Answered
	case ex.state == call.NotRun:
		return admission.Abandoned
	}
	return admission.Failed
}
