package pipeline

import (
	"context"
	"errors"
	"expvar"
	"math"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/memory"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
	"github.com/kingcupyard/kingcupyard/internal/routing/shedding"
	"github.com/kingcupyard/kingcupyard/internal/routing/sizing"
	"github.com/kingcupyard/kingcupyard/internal/routing/turn"
)

// ForwardRequest is a call that is passed on unchanged along a route.
type ForwardRequest struct {
	// ID is set by the caller, which uses a new one for each of its own retries.
	ID     string
	Method string
	// URI is the path and query as sent; Path is the part before the query.
	URI    string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// APIKey is the key that the caller sent, Customer the name of its owner.
	APIKey    string
	Customer  string
	Priority  int
	Route     *route.Route
	ArrivedAt time.Time
	// Deadline is the earlier of the caller's deadline and the end of the route's
	// timeout.
	Deadline time.Time
	// Model is the model that the caller named. The Forwarder chooses the model
	// instead if the route lists models.
	Model               string
	PromptParts         []dispatch.PromptPart
	PromptTokens        int
	MaxCompletionTokens int
	// CompletionTokens is the length that the caller expects of the answer.
	CompletionTokens int
	// ResumeFrom is the number of the last event that the caller has received, 0
	// for none.
	ResumeFrom int
}

// ForwardResponseWriter writes an answer to the caller. An error means that the
// caller can no longer be reached.
type ForwardResponseWriter interface {
	// WriteHead is called once, before the first event.
	WriteHead(head attempt.Head) error
	WriteEvent(raw []byte) error
	// WriteAnswer writes an answer that is not an event stream.
	WriteAnswer(answer attempt.ForwardAnswer) error
}

// AttemptMetadata holds what is added to the headers of a call for one attempt.
type AttemptMetadata struct {
	Server     string
	Customer   string
	Model      string
	Priority   int
	ResumeFrom int
	// Timeout is the time that the server has for its answer.
	Timeout time.Duration
}

// HeaderEncoder encodes the metadata of an attempt into a copy of the headers.
type HeaderEncoder interface {
	Header(base http.Header, m AttemptMetadata) http.Header
}

// Fleet gives a Forwarder access to the instance's routing table, servers and retry
// budgets, and takes in the outcomes of its attempts.
type Fleet interface {
	// Table returns the latest routing table known to this instance, or nil.
	Table() *route.Table
	// IsConfirmed reports whether that table was recently confirmed to be the one in
	// force.
	IsConfirmed() bool
	// Place assigns the attempt to a server and adds it to that server's load.
	Place(req PlacementRequest) (*dispatch.Assignment, error)
	// Predict returns the wait and load that an attempt would face, without placing
	// it.
	Predict(req PlacementRequest) (dispatch.Prediction, error)
	// StillEligible reports whether the assigned server may still take the request. If so,
	// the request counts as sent.
	StillEligible(assigned *dispatch.Assignment, req PlacementRequest) bool
	// RecordRequest counts a request of a service towards its retry budget.
	RecordRequest(service string)
	// TryRetry takes a retry out of the budget of a service and reports whether the
	// budget allows it. urgent is false for a retry that only improves the answer;
	// such retries leave a reserve for those after failures.
	TryRetry(service string, urgent bool) bool
	// IsQuarantined reports whether a part of a prompt is known to crash servers.
	IsQuarantined(parts []dispatch.PromptPart) bool
	// Pricer returns the pricer of a service's room.
	Pricer(service string) *shedding.Pricer
	// Line returns the line in which calls wait for the servers of a plain service.
	Line(service string) *turn.Line
	// ObserveUse takes in that a customer asks for the given work of a service.
	ObserveUse(service, customer string, work time.Duration)
	// ExceedsShare reports whether the customer uses more than its share of a service,
	// and whether any customer does.
	ExceedsShare(service, customer string) (this, anyone bool)
	// LateAfter returns how long after its request was sent an answer is late. Of the
	// observation only what is known before the answer is set.
	LateAfter(o AnswerObservation, predictedWait time.Duration) time.Duration
	// ObserveAnswer records how a server answers. It is called once for an attempt, as
	// soon as that can be told.
	ObserveAnswer(o AnswerObservation)
	// ObserveAttempt records the outcome of an attempt.
	ObserveAttempt(o AttemptOutcome)
	// ObserveCall records the outcome of a call.
	ObserveCall(c CallOutcome)
	// Changed returns a channel that is closed at the next change of the servers or
	// the table.
	Changed() <-chan struct{}
}

// PlacementRequest holds the properties of an attempt that is to be placed.
type PlacementRequest struct {
	Service     string
	Model       string
	SizeRank    int
	PromptParts []dispatch.PromptPart
	// OutputTokens is the largest length of the answer.
	OutputTokens int
	// Goal is the time within which the caller wants the answer, or its first event.
	Goal time.Duration
	// Session identifies requests that should run on the same version.
	Session        string
	ExcludeServers []string
	// Refused is set if several servers have refused connections in a row, so that those of
	// a version may have stopped.
	Refused bool
}

// AnswerObservation tells how a server answers one attempt.
type AnswerObservation struct {
	Server *backend.Server
	Route  string
	Model  string
	// Stream is set if the answer consists of events.
	Stream bool
	// Repeat is set if an earlier attempt of the call was observed as failed or late. A
	// request that makes servers fail does so each time, whatever their version.
	Repeat bool
	// Failed is set if the server answered with an error status of its own.
	Failed bool
	// Late is set if LateAfter has passed before the first event of the answer, or
	// before its end if it has no events.
	Late bool
	// Took is the time until then, how long that has taken so far if the answer is late,
	// or 0 if the server failed.
	Took time.Duration
	// Pace is the usual time between the first events; 0 if there are too few.
	Pace time.Duration
}

// AttemptOutcome is the outcome of one attempt.
type AttemptOutcome struct {
	PromptParts []dispatch.PromptPart
	// Begun is set if an event of the answer arrived.
	Begun bool
	// Crashed lists the servers that have crashed while they worked on the call,
	// without an event of the answer.
	Crashed []*backend.Server
}

// CallOutcome is the outcome of one call.
type CallOutcome struct {
	Route    *route.Route
	Service  string
	Customer string
	Model    string
	// PromptTokens is the length of the prompt, Events the number of events that
	// were delivered.
	PromptTokens int
	Events       int
	// Failed is set if the answer is an error status of the server.
	Failed bool
	// Refusal is nil if the answer was delivered.
	Refusal *call.Refusal
	Elapsed time.Duration
	// QueueTime is the time from arrival to the first attempt, 0 if there was none.
	QueueTime time.Duration
	// FirstEvent is the time from arrival to the first event, LongestPause the
	// longest time between two events.
	FirstEvent   time.Duration
	LongestPause time.Duration
}

// ForwardClient carries out single attempts and checks whether servers can be
// reached.
type ForwardClient interface {
	Forward(ctx context.Context, target attempt.Target, f attempt.ForwardRequest, sink attempt.EventSink) (attempt.ForwardAnswer, error)
	Reachable(ctx context.Context, address string, limit time.Duration) bool
	// Refuses reports whether the address refuses new connections.
	Refuses(ctx context.Context, address string, limit time.Duration) bool
}

// Forwarder runs forwarded calls. Create one with NewForwarder.
type Forwarder struct {
	fleet   Fleet
	client  ForwardClient
	headers HeaderEncoder
	dialect attempt.Dialect
	clock   clockwork.Clock
	log     *zap.Logger
	random  func() float64
	// memory is what the answers of all calls in progress may take.
	memory *memory.Budget
	// calibration relates the confidence that models report to the quality of
	// their answers.
	calibration *sizing.Calibration
	// sizes holds the usual size of each route's requests.
	sizes *sizing.Sizes
	// sampleShare is the fraction of the calls that go to the largest model first, whatever
	// is known of the smaller ones.
	sampleShare float64
}

// ForwarderOption configures a Forwarder.
type ForwarderOption func(*Forwarder)

// WithForwardClock sets the clock.
func WithForwardClock(c clockwork.Clock) ForwarderOption { return func(f *Forwarder) { f.clock = c } }

// WithForwardLogger sets the logger.
func WithForwardLogger(l *zap.Logger) ForwarderOption { return func(f *Forwarder) { f.log = l } }

// WithForwardRandom sets the source of random numbers in [0, 1).
func WithForwardRandom(r func() float64) ForwarderOption { return func(f *Forwarder) { f.random = r } }

// WithAnswerMemory bounds the memory of the answers of all calls in progress. Small answers
// are not counted.
func WithAnswerMemory(b *memory.Budget) ForwarderOption {
	return func(f *Forwarder) { f.memory = b }
}

// WithCalibration sets what is known of the models' confidence, which other instances may
// share.
func WithCalibration(c *sizing.Calibration) ForwarderOption {
	return func(f *Forwarder) { f.calibration = c }
}

// WithSampleShare sets the fraction of the calls, from 0 to 1, that go to the largest model
// first while there is room, so that a wrong belief about the smaller ones is found out.
func WithSampleShare(share float64) ForwarderOption {
	return func(f *Forwarder) { f.sampleShare = share }
}

// samples counts the calls that went to the largest model as a sample.
var samples = expvar.NewInt("ModelSamples")

// NewForwarder returns a Forwarder with the given dependencies. Without options
// it uses the real clock, no logger, the default random source and any amount of memory.
func NewForwarder(fleet Fleet, client ForwardClient, headers HeaderEncoder, dialect attempt.Dialect, opts ...ForwarderOption) *Forwarder {
	f := &Forwarder{
		fleet: fleet, client: client, headers: headers, dialect: dialect,
		clock: clockwork.NewRealClock(), log: zap.NewNop(), random: rand.Float64,
		calibration: sizing.NewCalibration(), sizes: sizing.NewSizes(), memory: memory.New(math.MaxInt64),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// forwardExecution is the state of one forwarded call in progress.
type forwardExecution struct {
	*Forwarder
	retryLoop
	call *ForwardRequest
	// memory holds what the answers to the call take.
	memory   *memory.Account
	out      ForwardResponseWriter
	service  string
	sizeRank int
	model    string
	query    sizing.Request
	// lastEvent is the number of the last event delivered. headWritten is set once
	// the caller has the head of the answer.
	lastEvent   int
	headWritten bool
	// confidence is the confidence that the model reported for the answer, -1 if it
	// reported none.
	confidence int
	// serverFailure is set if the delivered answer is an error status of the server.
	serverFailure bool
	// lastEventAt is when the last event was delivered, firstEvent the time from
	// arrival to the first event, longestPause the longest time between two events.
	lastEventAt  time.Time
	firstEvent   time.Duration
	queueTime    time.Duration
	longestPause time.Duration
	// retryReserved is set if the retry for the next attempt was already taken out of
	// the budget.
	retryReserved atomic.Bool
	// failureAnswer is an error answer of a server, which is delivered if no later
	// attempt succeeds.
	failureAnswer *attempt.ForwardAnswer
	// triedServers lists the servers of all attempts.
	triedServers []string
	// declinedServers lists the servers whose answers were declined for a larger model's.
	declinedServers []*backend.Server
	// crashes is the number of servers that have crashed under the call.
	crashes int
	// answeredBadly is set once an attempt was observed as failed or late.
	answeredBadly bool
	// refusedDials is the number of attempts in a row whose connections were refused.
	refusedDials int
	// foundFull is set once a server has refused the call because it was full.
	foundFull bool
}

// responseMargin is subtracted from the time that a server gets. It leaves time to
// return the answer to the caller.
const responseMargin = 15 * time.Millisecond

// ErrStopping is the cause with which the context of a call ends if the instance stops
// before the call does.
var ErrStopping = errors.New("the instance stops")

// Run runs a call and writes its answer to out. An error means that the answer was
// not delivered completely; errors.As finds a *call.Refusal in it.
func (f *Forwarder) Run(ctx context.Context, c *ForwardRequest, out ForwardResponseWriter) error {
	ex := &forwardExecution{
		Forwarder: f, call: c, memory: f.memory.Open(), out: out, lastEvent: c.ResumeFrom, model: c.Model, confidence: -1,
		retryLoop: retryLoop{now: f.clock.Now, deadline: c.Deadline, idempotent: c.Route.IsIdempotent(), maxAttempts: c.Route.MaxAttempts},
	}
	defer ex.memory.Close()
	ex.service = c.Route.Target(c.splitHash())
	f.fleet.RecordRequest(ex.service)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := f.clock.AfterFunc(c.Deadline.Sub(f.clock.Now()), cancel)
	defer timer.Stop()
	ex.chooseModel()
	err := ex.run(ctx, ex)
	if err != nil {
		err = ex.finalError(ctx, err)
	}
	ex.recordCall(err)
	return err
}

// attempt implements retryPolicy.
func (ex *forwardExecution) attempt(ctx context.Context) error {
	if err := ex.checkQuarantine(); err != nil {
		return err
	}
	ex.awaitNews(ctx)
	if err := ex.awaitTurn(ctx); err != nil {
		return err
	}
	assigned, err := ex.place(ctx)
	if err != nil {
		return err
	}
	answer, err := ex.send(ctx, assigned)
	var e *attempt.Error
	if err == nil || errors.As(err, &e) && e.Kind == attempt.Status && !ex.mayRetryFailure(answer) {
		return ex.deliver(answer)
	}
	return err
}

// deliver writes an answer that is not an event stream to the caller. It does
// nothing if the answer was streamed.
func (ex *forwardExecution) deliver(answer attempt.ForwardAnswer) error {
	if ex.headWritten || answer.Body == nil && ex.lastEvent > ex.call.ResumeFrom {
		return nil
	}
	ex.serverFailure = answer.Status >= http.StatusBadRequest
	if err := ex.out.WriteAnswer(answer); err != nil {
		return &call.Refusal{Reason: call.ReasonCallerGone, State: ex.state, Detail: err.Error()}
	}
	return nil
}

// mayRetryFailure reports whether an error status of a server is not to be delivered:
// it may be retried, or the caller already has a head. It keeps an answer that may be
// retried in failureAnswer.
func (ex *forwardExecution) mayRetryFailure(answer attempt.ForwardAnswer) bool {
	if answer.Status < http.StatusInternalServerError || !ex.call.Route.IsIdempotent() || ex.headWritten {
		return ex.headWritten
	}
	ex.failureAnswer = &answer
	return true
}

// session returns what identifies the session of the call. It is the ID of the last
// prompt part that other calls share, which is the last but one, or the ID of the
// call if there is no such part.
func (c *ForwardRequest) session() string {
	if n := len(c.PromptParts); n > 1 {
		return c.PromptParts[n-2].ID
	}
	return c.ID
}

// splitHash returns the hash that chooses the service on a route that is split
// between several. Calls of one session have the same hash.
func (c *ForwardRequest) splitHash() uint64 { return xxhash.Sum64String(c.session()) }

func (ex *forwardExecution) placementRequest(model string, rank int) PlacementRequest {
	return PlacementRequest{
		Service: ex.service, Model: model, SizeRank: rank, PromptParts: ex.call.PromptParts, OutputTokens: ex.call.MaxCompletionTokens, Goal: ex.call.Route.LatencyTarget,
		Session: ex.call.session(), ExcludeServers: ex.failedServers, Refused: ex.refusedDials >= freeRefusedDials,
	}
}

// chooseModel chooses the model for the first attempt if the route lists models.
func (ex *forwardExecution) chooseModel() {
	r := ex.call.Route
	if len(r.Models) == 0 {
		return
	}
	ex.sizes.Observe(r.Name, sizing.Size(ex.call.PromptTokens, ex.call.CompletionTokens))
	ex.updatePredictions()
	ex.sizeRank = sizing.ChooseFirst(&ex.query)
	if ex.random() < ex.sampleShare && sizing.MaySample(&ex.query) {
		ex.sizeRank = len(r.Models) - 1
		samples.Add(1)
	}
	ex.model = r.Models[ex.sizeRank]
}

// updatePredictions rebuilds ex.query from the current predictions for each model of
// the route.
func (ex *forwardExecution) updatePredictions() {
	r := ex.call.Route
	table := ex.fleet.Table()
	ex.query = sizing.Request{
		PromptTokens: ex.call.PromptTokens, CompletionTokens: ex.call.CompletionTokens, MeanSize: ex.sizes.Mean(r.Name),
		TimeLeft: ex.call.ArrivedAt.Add(r.LatencyTarget).Sub(ex.clock.Now()),
	}
	if r.IsIdempotent() {
		ex.query.EscalationsLeft = r.MaxAttempts - ex.serverAttempts - 1
	}
	for rank, name := range r.Models {
		m := sizing.Model{}
		for _, known := range table.Services[ex.service].Models {
			if known.Name == name {
				m.Cost = known.Cost
			}
		}
		prediction, err := ex.fleet.Predict(ex.placementRequest(name, rank))
		m.PredictedWait, m.PrefillTime, m.Blocked = prediction.Wait, prediction.PrefillTime, err != nil
		ex.query.MeanBacklog = max(ex.query.MeanBacklog, prediction.MeanBacklog)
		m.Confidence = ex.calibration.Profile(r.Name, r.Models, rank, ex.clock.Now())
		ex.query.Models = append(ex.query.Models, m)
	}
}

// errLowConfidence is returned for an answer of a small model that is declined in
// favour of a larger model's.
var errLowConfidence = errors.New("the model is not confident of its answer")

// checkConfidence returns errLowConfidence if the answer with the head h is declined
// for a larger model. Answers of the largest model, and answers whose head the
// caller has already received, are kept.
func (ex *forwardExecution) checkConfidence(h attempt.Head) error {
	r := ex.call.Route
	if len(r.Models) == 0 || ex.headWritten {
		return nil
	}
	ex.calibration.Observe(r.Name, ex.model, h.Metadata.Confidence, ex.clock.Now())
	if ex.sizeRank >= len(r.Models)-1 {
		return nil
	}
	ex.updatePredictions()
	if sizing.AcceptAnswer(&ex.query, ex.sizeRank, h.Metadata.Confidence) || !ex.fleet.TryRetry(ex.service, false) {
		return nil
	}
	return errLowConfidence
}
