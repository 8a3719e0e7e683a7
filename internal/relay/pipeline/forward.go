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

// Forward is a call that is passed on as it came, along a route.
type Forward struct {
	// ID is the caller's own; each of the caller's tries has one.
	ID     string
	Method string
	// URI is the path and query as sent; Path is the part before the query.
	URI    string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Key is the customer's key, Customer its owner's name.
	Key      string
	Customer string
	Priority int
	Route    *route.Route
	Arrived  time.Time
	// Deadline is when the caller gives up or the route's timeout is reached.
	Deadline time.Time
	// Model is what the caller named; the router chooses if the route has
	// models of its own.
	Model     string
	Parts     []dispatch.PromptPart
	Read      int
	Generated int
	// ResumeFrom is the last event that the caller has.
	ResumeFrom int
}

// ForwardOutput takes an answer towards the caller. An error means that the
// caller can't be reached any more.
type ForwardOutput interface {
	// Begin comes once, before the first event.
	Begin(head attempt.Head) error
	Event(raw []byte) error
	// Whole delivers an answer that has no events.
	Whole(reply attempt.Reply) error
}

// Stamp is what the router adds to a call for one attempt.
type Stamp struct {
	Server     string
	Customer   string
	Model      string
	Priority   int
	ResumeFrom int
	// Left is the time that the server has.
	Left time.Duration
}

// Envelope writes stamps.
type Envelope interface {
	Header(base http.Header, s Stamp) http.Header
}

// Forwarding is the state of the instance that forwarded calls are decided by.
type Forwarding interface {
	// Table returns the routing table in force, or nil.
	Table() *route.Table
	// IsConfirmed reports whether the table is known to be in force.
	IsConfirmed() bool
	// Place chooses a server and enters the attempt into the account.
	Place(ask Ask) (*dispatch.Assignment, error)
	// Predict returns what an attempt would meet.
	Predict(ask Ask) (dispatch.Prediction, error)
	// Check reports whether the server may still take the request.
	Check(w *dispatch.Assignment, ask Ask) bool
	// Request notes a request of a service, Repeat asks for another attempt.
	Request(service string)
	Repeat(service string, urgent bool) bool
	// Observe notes how an attempt went.
	Observe(o Observation)
	// Ended notes how a call ended.
	Ended(e Ended)
	// Changed is closed when the servers or the table next change.
	Changed() <-chan struct{}
}

// Ask is what is to be placed.
type Ask struct {
	Service string
	Model   string
	Size    int
	Parts   []dispatch.PromptPart
	// Session ties requests that should run on one version.
	Session string
	Exclude []string
}

// Observation is how one attempt went.
type Observation struct {
	Work  *dispatch.Assignment
	Route string
	// Failed says that the server failed the request by itself.
	Failed bool
	// First is the time to the first part of the answer, 0 if there was none.
	First time.Duration
	// Predicted is the wait that was expected.
	Predicted time.Duration
}

// Ended is how one call ended.
type Ended struct {
	Route    *route.Route
	Service  string
	Customer string
	Model    string
	// Read is the prompt's tokens, Parts the events that were delivered.
	Read  int
	Parts int
	// Failed says that the answer is a server's own failure.
	Failed bool
	// Refusal is nil if the answer was delivered.
	Refusal *call.Refusal
	Elapsed time.Duration
	// Waited is the time to the first attempt, 0 if there was none.
	Waited time.Duration
	// First is the time to the first event, LongestPause that between two.
	First        time.Duration
	LongestPause time.Duration
}

// ForwardAttempts carries single attempts.
type ForwardAttempts interface {
	Forward(ctx context.Context, target attempt.Target, f attempt.Forward, sink attempt.EventSink) (attempt.Reply, error)
	Reachable(ctx context.Context, address string, limit time.Duration) bool
}

// Forwarder runs forwarded calls. Build it with NewForwarder.
type Forwarder struct {
	fleet    Forwarding
	carrier  ForwardAttempts
	envelope Envelope
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
func NewForwarder(fleet Forwarding, carrier ForwardAttempts, envelope Envelope, dialect attempt.Dialect, opts ...ForwarderOption) *Forwarder {
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
	call    *Forward
	out     ForwardOutput
	service string
	size    int
	model   string
	query   sizing.Query
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
	failure *attempt.Reply
}

// returnMargin is kept back from the time that a server gets, for the way of
// its answer to the caller.
const returnMargin = 15 * time.Millisecond

// Run carries a call out and delivers its answer. On an error the answer was
// not delivered as whole; the error holds a *call.Refusal.
func (f *Forwarder) Run(ctx context.Context, c *Forward, out ForwardOutput) error {
	p := &forwardFlight{
		Forwarder: f, call: c, out: out, last: c.ResumeFrom, model: c.Model, confidence: -1,
		course: course{now: f.clock.Now, deadline: c.Deadline, idempotent: c.Route.Idempotent(), maxAttempts: c.Route.MaxAttempts},
	}
	p.service = c.Route.Target(c.position())
	f.fleet.Request(p.service)
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
func (p *forwardFlight) deliver(reply attempt.Reply) error {
	if p.begun || reply.Body == nil && p.last > p.call.ResumeFrom {
		return nil
	}
	p.failed = reply.Status >= http.StatusBadRequest
	if err := p.out.Whole(reply); err != nil {
		return &call.Refusal{Reason: call.ReasonCallerGone, State: p.state, Detail: err.Error()}
	}
	return nil
}

// mayFail reports whether a server's own failure may be answered by another
// attempt; if not, it is the answer.
func (p *forwardFlight) mayFail(reply attempt.Reply) bool {
	if reply.Status < http.StatusInternalServerError || !p.call.Route.Idempotent() || p.begun {
		return p.begun
	}
	p.failure = &reply
	return true
}

// session is what ties the call to those before it: the last part of the
// prompt that others share, or nothing but the call itself.
func (c *Forward) session() string {
	if n := len(c.Parts); n > 1 {
		return c.Parts[n-2].ID
	}
	return c.ID
}

// position spreads calls over a split route: those of one session go the same
// way.
func (c *Forward) position() uint64 { return xxhash.Sum64String(c.session()) }

func (p *forwardFlight) ask(model string, size int) Ask {
	return Ask{Service: p.service, Model: model, Size: size, Parts: p.call.Parts, Session: p.call.session(), Exclude: p.tried}
}

// chooseModel picks the first model on routes that leave it to the router.
func (p *forwardFlight) chooseModel() {
	r := p.call.Route
	if len(r.Models) == 0 {
		return
	}
	p.predict()
	p.size = sizing.First(&p.query)
	p.model = r.Models[p.size]
}

// predict renews what the choice of a model depends on.
func (p *forwardFlight) predict() {
	r := p.call.Route
	table := p.fleet.Table()
	p.query = sizing.Query{
		Read: p.call.Read, Generated: p.call.Generated, Steps: r.MaxAttempts - p.attempts - 1,
		Left: p.call.Arrived.Add(r.Goal).Sub(p.clock.Now()),
	}
	for size, name := range r.Models {
		m := sizing.Model{}
		for _, known := range table.Services[p.service].Models {
			if known.Name == name {
				m.Cost = known.Cost
			}
		}
		forecast, err := p.fleet.Predict(p.ask(name, size))
		m.Wait, m.Work, m.Blocked = forecast.Wait, forecast.PrefillTime, err != nil
		p.query.Crowding = max(p.query.Crowding, forecast.MeanBacklog)
		m.Opinion = p.calibration.Of(r.Name, size, len(r.Models))
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
	p.calibration.Observe(r.Name, p.size, len(r.Models), h.Remark.Confidence)
	if p.size >= len(r.Models)-1 {
		return nil
	}
	p.predict()
	if sizing.Keep(&p.query, p.size, h.Remark.Confidence) || !p.fleet.Repeat(p.service, false) {
		return nil
	}
	return errUnsure
}
