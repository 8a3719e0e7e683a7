package pipeline

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
	"github.com/kingcupyard/kingcupyard/internal/routing/sizing"
)

// ForwardRequest is a call that is passed on as it came, along a route.
type ForwardRequest struct {
	// ID is the caller's own; each of the caller's tries has one.
	ID     string
	Method string
	// URI is the path and query as sent; Path is the part before the query.
	URI    string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// APIKey is the customer's key, Customer its owner's name.
	APIKey    string
	Customer  string
	Priority  int
	Route     *route.Route
	ArrivedAt time.Time
	// Deadline is when the caller gives up or the route's timeout is reached.
	Deadline time.Time
	// Model is what the caller named; the router chooses if the route has
	// models of its own.
	Model               string
	PromptParts         []dispatch.PromptPart
	PromptTokens        int
	MaxCompletionTokens int
	// ResumeFrom is the last event that the caller has.
	ResumeFrom int
}

// ForwardResponseWriter takes an answer towards the caller. An error means that the
// caller can't be reached any more.
type ForwardResponseWriter interface {
	// WriteHead comes once, before the first event.
	WriteHead(head attempt.Head) error
	WriteEvent(raw []byte) error
	// WriteAnswer delivers an answer that has no events.
	WriteAnswer(reply attempt.ForwardAnswer) error
}

// AttemptMetadata is what the router adds to a call for one attempt.
type AttemptMetadata struct {
	Server     string
	Customer   string
	Model      string
	Priority   int
	ResumeFrom int
	// Timeout is the time that the server has.
	Timeout time.Duration
}

// HeaderEncoder writes stamps.
type HeaderEncoder interface {
	Header(base http.Header, s AttemptMetadata) http.Header
}

// Fleet is the state of the instance that forwarded calls are decided by.
type Fleet interface {
	// Table returns the routing table in force, or nil.
	Table() *route.Table
	// IsConfirmed reports whether the table is known to be in force.
	IsConfirmed() bool
	// Place chooses a server and enters the attempt into the account.
	Place(ask PlacementRequest) (*dispatch.Assignment, error)
	// Predict returns what an attempt would meet.
	Predict(ask PlacementRequest) (dispatch.Prediction, error)
	// StillEligible reports whether the server may still take the request.
	StillEligible(w *dispatch.Assignment, ask PlacementRequest) bool
	// RecordRequest notes a request of a service, Repeat asks for another attempt.
	RecordRequest(service string)
	TryRetry(service string, urgent bool) bool
	// ObserveAttempt notes how an attempt went.
	ObserveAttempt(o AttemptOutcome)
	// ObserveCall notes how a call ended.
	ObserveCall(e CallOutcome)
	// Changed is closed when the servers or the table next change.
	Changed() <-chan struct{}
}

// PlacementRequest is what is to be placed.
type PlacementRequest struct {
	Service     string
	Model       string
	SizeRank    int
	PromptParts []dispatch.PromptPart
	// Session ties requests that should run on one version.
	Session        string
	ExcludeServers []string
}

// AttemptOutcome is how one attempt went.
type AttemptOutcome struct {
	Assignment *dispatch.Assignment
	Route      string
	// Failed says that the server failed the request by itself.
	Failed bool
	// FirstEvent is the time to the first part of the answer, 0 if there was none.
	FirstEvent time.Duration
	// PredictedWait is the wait that was expected.
	PredictedWait time.Duration
}

// CallOutcome is how one call ended.
type CallOutcome struct {
	Route    *route.Route
	Service  string
	Customer string
	Model    string
	// PromptTokens is the prompt's tokens, Parts the events that were delivered.
	PromptTokens int
	Events       int
	// Failed says that the answer is a server's own failure.
	Failed bool
	// Refusal is nil if the answer was delivered.
	Refusal *call.Refusal
	Elapsed time.Duration
	// QueueTime is the time to the first attempt, 0 if there was none.
	QueueTime time.Duration
	// FirstEvent is the time to the first event, LongestPause that between two.
	FirstEvent   time.Duration
	LongestPause time.Duration
}

// ForwardClient carries single attempts.
type ForwardClient interface {
	Forward(ctx context.Context, target attempt.Target, f attempt.ForwardRequest, sink attempt.EventSink) (attempt.ForwardAnswer, error)
	Reachable(ctx context.Context, address string, limit time.Duration) bool
}

// Forwarder runs forwarded calls. Build it with NewForwarder.
type Forwarder struct {
	fleet    Fleet
	carrier  ForwardClient
	envelope HeaderEncoder
	dialect  attempt.Dialect
	clock    clockwork.Clock
	log      *zap.Logger
	random   func() float64
	// calibration learns what the models' confidence is worth.
	calibration *sizing.Calibration
}

// ForwarderOption changes a Forwarder.
type ForwarderOption func(*Forwarder)

// WithForwardClock sets the clock.
func WithForwardClock(c clockwork.Clock) ForwarderOption { return func(f *Forwarder) { f.clock = c } }

// WithForwardLogger sets the log.
func WithForwardLogger(l *zap.Logger) ForwarderOption { return func(f *Forwarder) { f.log = l } }

// WithForwardRandom sets the source of random numbers, 0 to 1.
func WithForwardRandom(r func() float64) ForwarderOption { return func(f *Forwarder) { f.random = r } }

// NewForwarder returns a Forwarder.
func NewForwarder(fleet Fleet, carrier ForwardClient, envelope HeaderEncoder, dialect attempt.Dialect, opts ...ForwarderOption) *Forwarder {
	f := &Forwarder{
		fleet: fleet, carrier: carrier, envelope: envelope, dialect: dialect,
		clock: clockwork.NewRealClock(), log: zap.NewNop(), random: rand.Float64,
		calibration: sizing.NewCalibration(),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// forwardFlight is one forwarded call under way.
type forwardFlight struct {
	*Forwarder
	course
	call    *ForwardRequest
	out     ForwardResponseWriter
	service string
	size    int
	model   string
	query   sizing.Request
	// last is the last event delivered; begun says that the caller has the
	// head of the answer.
	last  int
	begun bool
	// confidence is the model's opinion of the answer delivered, -1 if it has
	// not said.
	confidence int
	// failed says that the answer delivered is a server's own failure.
	failed bool
	// eventAt is when the last event was delivered, longestPause the longest
	// time between two.
	eventAt      time.Time
	firstAfter   time.Duration
	waited       time.Duration
	longestPause time.Duration
	// prepaid says that the next attempt's repeat was taken already.
	prepaid atomic.Bool
	// failure is a server's own failure, kept for the case that no attempt
	// does better.
	failure *attempt.ForwardAnswer
}

// returnMargin is kept back from the time that a server gets, for the way of
// its answer to the caller.
const returnMargin = 15 * time.Millisecond

// Run carries a call out and delivers its answer. On an error the answer was
// not delivered as whole; the error holds a *call.Refusal.
func (f *Forwarder) Run(ctx context.Context, c *ForwardRequest, out ForwardResponseWriter) error {
	p := &forwardFlight{
		Forwarder: f, call: c, out: out, last: c.ResumeFrom, model: c.Model, confidence: -1,
		course: course{now: f.clock.Now, deadline: c.Deadline, idempotent: c.Route.Idempotent(), maxAttempts: c.Route.MaxAttempts},
	}
	p.service = c.Route.Target(c.position())
	f.fleet.RecordRequest(p.service)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := f.clock.AfterFunc(c.Deadline.Sub(f.clock.Now()), cancel)
	defer timer.Stop()
	p.chooseModel()
	err := p.run(ctx, p)
	if err != nil {
		err = p.giveUp(ctx, err)
	}
	p.note(err)
	return err
}

// attempt implements policy.
func (p *forwardFlight) attempt(ctx context.Context) error {
	work, err := p.place(ctx)
	if err != nil {
		return err
	}
	reply, err := p.send(ctx, work)
	var e *attempt.Error
	if err == nil || errors.As(err, &e) && e.Kind == attempt.Status && !p.mayFail(reply) {
		return p.deliver(reply)
	}
	return err
}

// deliver hands an answer without events to the caller.
func (p *forwardFlight) deliver(reply attempt.ForwardAnswer) error {
	if p.begun || reply.Body == nil && p.last > p.call.ResumeFrom {
		return nil
	}
	p.failed = reply.Status >= http.StatusBadRequest
	if err := p.out.WriteAnswer(reply); err != nil {
		return &call.Refusal{Reason: call.ReasonCallerGone, State: p.state, Detail: err.Error()}
	}
	return nil
}

// mayFail reports whether a server's own failure may be answered by another
// attempt; if not, it is the answer.
func (p *forwardFlight) mayFail(reply attempt.ForwardAnswer) bool {
	if reply.Status < http.StatusInternalServerError || !p.call.Route.Idempotent() || p.begun {
		return p.begun
	}
	p.failure = &reply
	return true
}

// session is what ties the call to those before it: the last part of the
// prompt that others share, or nothing but the call itself.
func (c *ForwardRequest) session() string {
	if n := len(c.PromptParts); n > 1 {
		return c.PromptParts[n-2].ID
	}
	return c.ID
}

// position spreads calls over a split route: those of one session go the same
// way.
func (c *ForwardRequest) position() uint64 { return xxhash.Sum64String(c.session()) }

func (p *forwardFlight) ask(model string, size int) PlacementRequest {
	return PlacementRequest{Service: p.service, Model: model, SizeRank: size, PromptParts: p.call.PromptParts, Session: p.call.session(), ExcludeServers: p.tried}
}

// chooseModel picks the first model on routes that leave it to the router.
func (p *forwardFlight) chooseModel() {
	r := p.call.Route
	if len(r.Models) == 0 {
		return
	}
	p.predict()
	p.size = sizing.ChooseFirst(&p.query)
	p.model = r.Models[p.size]
}

// predict renews what the choice of a model depends on.
func (p *forwardFlight) predict() {
	r := p.call.Route
	table := p.fleet.Table()
	p.query = sizing.Request{
		PromptTokens: p.call.PromptTokens, MaxCompletionTokens: p.call.MaxCompletionTokens, EscalationsLeft: r.MaxAttempts - p.attempts - 1,
		TimeLeft: p.call.ArrivedAt.Add(r.Goal).Sub(p.clock.Now()),
	}
	for size, name := range r.Models {
		m := sizing.Model{}
		for _, known := range table.Services[p.service].Models {
			if known.Name == name {
				m.Cost = known.Cost
			}
		}
		forecast, err := p.fleet.Predict(p.ask(name, size))
		m.PredictedWait, m.PrefillTime, m.Blocked = forecast.Wait, forecast.PrefillTime, err != nil
		p.query.MeanBacklog = max(p.query.MeanBacklog, forecast.MeanBacklog)
		m.Confidence = p.calibration.Profile(r.Name, size, len(r.Models))
		p.query.Models = append(p.query.Models, m)
	}
}

// errUnsure declines a small model's answer for a larger one's.
var errUnsure = errors.New("the model is not confident of its answer")

// decide keeps or declines an answer by its head.
func (p *forwardFlight) decide(h attempt.Head) error {
	r := p.call.Route
	if len(r.Models) == 0 || p.begun {
		return nil
	}
	p.calibration.Observe(r.Name, p.size, len(r.Models), h.Metadata.Confidence)
	if p.size >= len(r.Models)-1 {
		return nil
	}
	p.predict()
	if sizing.AcceptAnswer(&p.query, p.size, h.Metadata.Confidence) || !p.fleet.TryRetry(p.service, false) {
		return nil
	}
	return errUnsure
}
