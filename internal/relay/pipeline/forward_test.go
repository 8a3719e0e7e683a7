package pipeline

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
	"github.com/kingcupyard/kingcupyard/internal/routing/shedding"
	"github.com/kingcupyard/kingcupyard/internal/routing/turn"
)

// fakeFleet is a Fleet whose state the test sets.
type fakeFleet struct {
	table       *route.Table
	unconfirmed bool
	dispatcher  *dispatch.Dispatcher
	listing     *backend.Listing
	clock       clockwork.Clock
	retries     int
	noRetries   bool
	ineligible  map[string]bool
	quarantined map[string]bool
	observed    []AttemptOutcome

	mu      sync.Mutex
	answers []AnswerObservation
	pricer  *shedding.Pricer
	line    *turn.Line
	// exceeding is the customer that exceeds its share, if any.
	exceeding string
}

// skippingClock is a clock on which each wait is over at once and takes its time.
type skippingClock struct{ *clockwork.FakeClock }

func (c *skippingClock) After(d time.Duration) <-chan time.Time {
	c.Advance(d)
	return c.FakeClock.After(0)
}

// lateAfter is after which time a fakeFleet counts an answer as late.
const lateAfter = 300 * time.Millisecond

func (f *fakeFleet) Table() *route.Table { return f.table }
func (f *fakeFleet) IsConfirmed() bool   { return !f.unconfirmed }
func (f *fakeFleet) query(req PlacementRequest) *dispatch.Query {
	return &dispatch.Query{Service: req.Service, Model: req.Model, SizeRank: req.SizeRank, PromptParts: req.PromptParts, ExcludeServers: req.ExcludeServers, Members: []string{"a"}}
}

func (f *fakeFleet) Place(req PlacementRequest) (*dispatch.Assignment, error) {
	return f.dispatcher.Place(f.listing, f.query(req), f.clock.Now())
}

func (f *fakeFleet) Predict(req PlacementRequest) (dispatch.Prediction, error) {
	return f.dispatcher.Predict(f.listing, f.query(req), f.clock.Now())
}
func (f *fakeFleet) StillEligible(w *dispatch.Assignment, _ PlacementRequest) bool {
	return !f.ineligible[w.Server.ID]
}
func (f *fakeFleet) Line(string) *turn.Line {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.line == nil {
		f.line = turn.NewLine(&skippingClock{FakeClock: clockwork.NewFakeClockAt(f.clock.Now())})
	}
	return f.line
}
func (f *fakeFleet) ObserveUse(string, string, time.Duration) {}
func (f *fakeFleet) ExceedsShare(_, customer string) (this, anyone bool) {
	return f.exceeding == customer, f.exceeding != ""
}
func (f *fakeFleet) RecordRequest(string) {}
func (f *fakeFleet) Pricer(string) *shedding.Pricer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pricer == nil {
		f.pricer = shedding.NewPricer()
	}
	return f.pricer
}
func (f *fakeFleet) TryRetry(string, bool) bool {
	if f.noRetries {
		return false
	}
	f.retries++
	return true
}
func (f *fakeFleet) IsQuarantined(parts []dispatch.PromptPart) bool {
	return slices.ContainsFunc(parts, func(p dispatch.PromptPart) bool { return f.quarantined[p.ID] })
}
func (f *fakeFleet) LateAfter(AnswerObservation, time.Duration) time.Duration { return lateAfter }
func (f *fakeFleet) ObserveAnswer(o AnswerObservation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers = append(f.answers, o)
}

// observations returns the observed answers so far.
func (f *fakeFleet) observations() []AnswerObservation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.answers)
}
func (f *fakeFleet) ObserveAttempt(o AttemptOutcome) { f.observed = append(f.observed, o) }
func (f *fakeFleet) ObserveCall(CallOutcome)         {}
func (f *fakeFleet) Changed() <-chan struct{}        { return nil }

// fakeClient answers attempts with the functions in steps, in order; the last one
// repeats.
type fakeClient struct {
	steps     []func(f attempt.ForwardRequest, sink attempt.EventSink) (attempt.ForwardAnswer, error)
	sent      []attempt.ForwardRequest
	servers   []string
	reachable bool
	crashed   map[string]bool // by address
}

func (c *fakeClient) Forward(_ context.Context, target attempt.Target, f attempt.ForwardRequest, sink attempt.EventSink) (attempt.ForwardAnswer, error) {
	if err := f.BeforeWrite(); err != nil {
		return attempt.ForwardAnswer{}, &attempt.Error{Kind: attempt.NotStarted, Err: err}
	}
	n := len(c.sent)
	c.sent, c.servers = append(c.sent, f), append(c.servers, target.Server)
	return c.steps[min(n, len(c.steps)-1)](f, sink)
}

func (c *fakeClient) Refuses(_ context.Context, address string, _ time.Duration) bool {
	return c.crashed[address]
}

func (c *fakeClient) Reachable(context.Context, string, time.Duration) bool { return c.reachable }

// fakeResponseWriter records what the caller receives.
type fakeResponseWriter struct {
	heads  int
	events []string
	answer *attempt.ForwardAnswer
}

func (o *fakeResponseWriter) WriteHead(attempt.Head) error { o.heads++; return nil }

func (o *fakeResponseWriter) WriteEvent(raw []byte) error {
	o.events = append(o.events, string(raw))
	return nil
}

func (o *fakeResponseWriter) WriteAnswer(r attempt.ForwardAnswer) error {
	o.answer = &r
	return nil
}

type modelHeaderEncoder struct{}

func (modelHeaderEncoder) Header(base http.Header, m AttemptMetadata) http.Header {
	h := base.Clone()
	h.Set("Model", m.Model)
	return h
}

// forwardFixture is a Forwarder with two servers and one route.
type forwardFixture struct {
	fleet     *fakeFleet
	client    *fakeClient
	out       *fakeResponseWriter
	forwarder *Forwarder
	call      *ForwardRequest
	clock     *clockwork.FakeClock
}

func newForwardFixture(change func(r *route.Route)) *forwardFixture {
	clock := clockwork.NewFakeClock()
	r := route.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: route.Safe, MaxAttempts: 3, LatencyTarget: time.Second, MaxEventGap: time.Second, Timeout: 5 * time.Second,
		Targets: []route.Target{{Service: "assistant", Weight: 1}},
	}
	change(&r)
	table := &route.Table{Version: 1, Routes: []route.Route{r}, Customers: []route.Customer{{Name: "c", Keys: []string{"k"}}}}
	table.Services = map[string]route.Service{"assistant": {Models: []route.Model{{Name: "small", Cost: 0.02}, {Name: "large", Cost: 0.26}}}}
	table.Index()
	d := backend.NewDirectory()
	for _, id := range []string{"s1", "s2"} {
		d.Announce(backend.Server{ID: id, Service: "assistant", Address: id, State: backend.Ready, Slots: 6, Revision: revision.Revision{Number: 1}}, clock.Now())
	}
	fx := &forwardFixture{
		fleet:  &fakeFleet{table: table, dispatcher: dispatch.New(dispatch.Settings{}), listing: d.Listing(), clock: clock, ineligible: map[string]bool{}},
		client: &fakeClient{reachable: true}, out: &fakeResponseWriter{}, clock: clock,
	}
	fx.forwarder = NewForwarder(fx.fleet, fx.client, modelHeaderEncoder{}, nil, WithForwardClock(clock))
	fx.call = &ForwardRequest{
		ID: "id", Method: "POST", URI: "/x", Path: "/x", Host: "h", Header: http.Header{}, APIKey: "k", Customer: "c", Route: &table.Routes[0],
		ArrivedAt: clock.Now(), Deadline: clock.Now().Add(4 * time.Second), PromptTokens: 9000, MaxCompletionTokens: 50,
	}
	return fx
}

func (fx *forwardFixture) run(t *testing.T) *call.Refusal {
	t.Helper()
	err := fx.forwarder.Run(t.Context(), fx.call, fx.out)
	if err == nil {
		return nil
	}
	var r *call.Refusal
	is.New(t).True(errors.As(err, &r))
	return r
}

func fails(kind attempt.Kind, state call.RunState) func(attempt.ForwardRequest, attempt.EventSink) (attempt.ForwardAnswer, error) {
	return func(attempt.ForwardRequest, attempt.EventSink) (attempt.ForwardAnswer, error) {
		return attempt.ForwardAnswer{}, &attempt.Error{Kind: kind, State: state}
	}
}

func answers(status int) func(attempt.ForwardRequest, attempt.EventSink) (attempt.ForwardAnswer, error) {
	return func(attempt.ForwardRequest, attempt.EventSink) (attempt.ForwardAnswer, error) {
		r := attempt.ForwardAnswer{Head: attempt.Head{Status: status}, Body: []byte("body"), FirstEvent: time.Millisecond}
		if status >= http.StatusInternalServerError {
			return r, &attempt.Error{Kind: attempt.Status, State: call.Ran, Status: status}
		}
		return r, nil
	}
}

// sends returns an attempt that delivers the events after its resume point up to
// last and ends with err.
func sends(last, confidence int, err error) func(attempt.ForwardRequest, attempt.EventSink) (attempt.ForwardAnswer, error) {
	return func(f attempt.ForwardRequest, sink attempt.EventSink) (attempt.ForwardAnswer, error) {
		r := attempt.ForwardAnswer{Head: attempt.Head{Status: http.StatusOK, Metadata: attempt.Metadata{Confidence: confidence}}, LastEvent: f.ResumeFrom, FirstEvent: time.Millisecond}
		if headErr := sink.Head(r.Head); headErr != nil {
			return r, &attempt.Error{Kind: attempt.Unwanted, State: call.Ran, Err: headErr}
		}
		for n := f.ResumeFrom + 1; n <= last; n++ {
			if sinkErr := sink.Event(n, []byte{byte('0' + n)}); sinkErr != nil {
				return r, &attempt.Error{Kind: attempt.CallerGone, State: call.Ran, Err: sinkErr}
			}
			r.LastEvent = n
		}
		return r, err
	}
}

// TestForwardRetries checks which failed attempts are retried, and what the caller
// is told, for idempotent and other calls.
func TestForwardRetries(t *testing.T) {
	unsafe := func(r *route.Route) { r.Kind, r.MaxAttempts = route.Unsafe, 3 }
	safe := func(*route.Route) {}
	for _, c := range []struct {
		name   string
		route  func(*route.Route)
		kind   attempt.Kind
		state  call.RunState
		sent   int
		reason call.Reason
		ran    call.RunState
	}{
		{"unsafe after its bytes went out", unsafe, attempt.Reset, call.MayHaveRun, 1, call.ReasonBackendFailed, call.MayHaveRun},
		{"unsafe without an answer in time", unsafe, attempt.FirstByteTimeout, call.MayHaveRun, 1, call.ReasonBackendTimeout, call.MayHaveRun},
		{"unsafe that the servers did not run", unsafe, attempt.Refused503, call.NotRun, maxTotalAttempts, call.ReasonOverloaded, call.NotRun},
		{"unsafe that reached no server", unsafe, attempt.DialTimeout, call.NotRun, maxTotalAttempts, call.ReasonBackendTimeout, call.NotRun},
		{"unsafe that a server may have run before its refusal", unsafe, attempt.UnprovenRefusal, call.Ran, 1, call.ReasonBackendFailed, call.Ran},
		{"safe after unproven refusals", safe, attempt.UnprovenRefusal, call.Ran, 3, call.ReasonBackendFailed, call.Ran},
		{"safe up to the most attempts", safe, attempt.Reset, call.MayHaveRun, 3, call.ReasonBackendFailed, call.MayHaveRun},
		{"the caller left", safe, attempt.Cancelled, call.MayHaveRun, 1, call.ReasonCallerGone, call.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fx := newForwardFixture(c.route)
			fx.client.steps = append(fx.client.steps, fails(c.kind, c.state))
			r := fx.run(t)
			is.Equal(len(fx.client.sent), c.sent)
			is.Equal(r.Reason, c.reason)
			is.Equal(r.State, c.ran)
			is.Equal(r.RetryAfter > 0, c.ran == call.NotRun)
		})
	}
}

func TestForwardWithoutRetryBudget(t *testing.T) {
	is := is.New(t)
	fx := newForwardFixture(func(*route.Route) {})
	fx.fleet.noRetries = true
	fx.client.steps = append(fx.client.steps, fails(attempt.Reset, call.MayHaveRun))
	fx.run(t)
	is.Equal(len(fx.client.sent), 1)
}

// TestForwardReturnsServerFailure checks that the error answer of a server is
// passed on if no later attempt succeeds.
func TestForwardReturnsServerFailure(t *testing.T) {
	is := is.New(t)
	fx := newForwardFixture(func(*route.Route) {})
	fx.client.steps = append(fx.client.steps, answers(500), fails(attempt.Reset, call.MayHaveRun))
	is.True(fx.run(t) == nil)
	is.Equal(fx.out.answer.Status, 500)
	fx = newForwardFixture(func(*route.Route) {})
	fx.client.steps = append(fx.client.steps, answers(500), answers(200))
	is.True(fx.run(t) == nil)
	is.Equal(fx.out.answer.Status, 200)
	is.True(fx.client.servers[0] != fx.client.servers[1])
}

// TestForwardRecheck guards against sending a call that was allowed on arrival but
// is not right before the first byte.
func TestForwardRecheck(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(fx *forwardFixture)
		reason call.Reason
	}{
		{"no confirmation", func(fx *forwardFixture) { fx.fleet.unconfirmed = true }, call.ReasonNotReady},
		{"the key was taken away", func(fx *forwardFixture) { fx.fleet.table.Customers[0].Keys = nil; fx.fleet.table.Index() }, call.ReasonUnauthorised},
		{"the route was taken away", func(fx *forwardFixture) { fx.fleet.table.Routes[0].Prefix = "/other/" }, call.ReasonUnknownPath},
		{"all servers left", func(fx *forwardFixture) { fx.fleet.ineligible = map[string]bool{"s1": true, "s2": true} }, call.ReasonNoServer},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fx := newForwardFixture(func(*route.Route) {})
			fx.client.steps = append(fx.client.steps, answers(200))
			c.change(fx)
			r := fx.run(t)
			is.Equal(r.Reason, c.reason)
			is.Equal(r.State, call.NotRun)
			is.Equal(len(fx.client.sent), 0)
		})
	}
}

func streaming(r *route.Route) {
	r.Kind, r.Resumable, r.Models = route.Streaming, true, []string{"small", "large"}
}

func TestForwardResumes(t *testing.T) {
	is := is.New(t)
	fx := newForwardFixture(streaming)
	broken := &attempt.Error{Kind: attempt.Reset, State: call.Ran}
	fx.client.steps = append(fx.client.steps, sends(2, 95, broken), sends(5, 95, nil))
	is.True(fx.run(t) == nil)
	is.Equal(fx.out.events, []string{"1", "2", "3", "4", "5"})
	is.Equal(fx.out.heads, 1)
	is.Equal(fx.client.sent[1].ResumeFrom, 2)
	is.True(fx.client.sent[0].AllowReuse)
	is.Equal(fx.client.sent[1].Header.Get("Model"), fx.client.sent[0].Header.Get("Model"))
}

// TestOldVersionStopsAtOnce guards against losing streams at the end of a rollout: the servers
// of the old version stop all at once, and refuse connections until the instance has heard of
// it. On sauravyapaar-grown scale-1, eight of them refused a stream within 12 ms.
func TestOldVersionStopsAtOnce(t *testing.T) {
	is := is.New(t)
	fx := newForwardFixture(streaming)
	fx.forwarder.clock = &skippingClock{FakeClock: fx.clock}
	const news = 400 * time.Millisecond
	heardAt := fx.clock.Now().Add(news)
	refused := fails(attempt.DialRefused, call.NotRun)
	resumed := sends(5, 95, nil)
	fx.client.steps = append(fx.client.steps, sends(2, 95, &attempt.Error{Kind: attempt.Reset, State: call.Ran}), func(f attempt.ForwardRequest, sink attempt.EventSink) (attempt.ForwardAnswer, error) {
		if fx.clock.Now().Before(heardAt) {
			return refused(f, sink)
		}
		return resumed(f, sink)
	})
	is.True(fx.run(t) == nil)
	is.Equal(fx.out.events, []string{"1", "2", "3", "4", "5"})
	is.True(fx.clock.Since(heardAt) < news) // and soon

	// A single server that has crashed delays nothing.
	fx = newForwardFixture(streaming)
	fx.forwarder.clock = &skippingClock{FakeClock: fx.clock}
	began := fx.clock.Now()
	fx.client.steps = append(fx.client.steps, refused, resumed)
	is.True(fx.run(t) == nil)
	is.Equal(fx.clock.Now(), began)
}

// TestLastAttemptOpensNewConnection guards against losing a request because its last attempt
// used a pooled connection that the server had just closed. In the Pottyround
// scenario streams-lost, the third attempt of a resumed stream ended with a reset
// after 5 ms.
func TestLastAttemptOpensNewConnection(t *testing.T) {
	is := is.New(t)
	fx := newForwardFixture(func(*route.Route) {})
	fx.client.steps = append(fx.client.steps, fails(attempt.Reset, call.MayHaveRun))
	fx.run(t)
	is.Equal(len(fx.client.sent), 3)
	is.True(fx.client.sent[0].AllowReuse && fx.client.sent[1].AllowReuse && !fx.client.sent[2].AllowReuse)
	fx = newForwardFixture(func(r *route.Route) { r.Kind = route.Unsafe })
	fx.client.steps = append(fx.client.steps, answers(200))
	fx.run(t)
	is.True(!fx.client.sent[0].AllowReuse)
}

// TestForwardEscalates checks that an answer of the small model with low confidence is
// replaced by the large model's before the caller has received any of it, and that
// this takes a retry from the budget.
func TestForwardEscalates(t *testing.T) {
	is := is.New(t)
	fx := newForwardFixture(streaming)
	fx.client.steps = append(fx.client.steps, sends(3, 2, nil))
	is.True(fx.run(t) == nil)
	is.Equal(len(fx.client.sent), 2)
	is.Equal(fx.client.sent[0].Header.Get("Model"), "small")
	is.Equal(fx.client.sent[1].Header.Get("Model"), "large")
	is.Equal(fx.out.heads, 1)
	is.Equal(fx.fleet.retries, 1)
	fx = newForwardFixture(streaming)
	fx.fleet.noRetries = true
	fx.client.steps = append(fx.client.steps, sends(3, 2, nil))
	is.True(fx.run(t) == nil)
	is.Equal(len(fx.client.sent), 1) // without retry budget the answer of the small model is kept
	is.Equal(fx.out.events, []string{"1", "2", "3"})
}

// TestForwardKeepsLastAnswer checks that an answer of the small model is kept, whatever its
// confidence, if the request may not run again.
func TestForwardKeepsLastAnswer(t *testing.T) {
	for name, change := range map[string]func(r *route.Route){
		"neither idempotent nor resumable": func(r *route.Route) { r.Resumable = false },
		"one attempt":                      func(r *route.Route) { r.MaxAttempts = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newForwardFixture(func(r *route.Route) {
				streaming(r)
				change(r)
			})
			fx.client.steps = append(fx.client.steps, sends(3, 2, nil))
			is.True(fx.run(t) == nil)
			is.Equal(len(fx.client.sent), 1)
			is.Equal(fx.out.events, []string{"1", "2", "3"})
		})
	}
}

// TestForwardStall checks that an attempt at a silent server is abandoned only if
// another attempt may follow at once. Otherwise streams are cut, as in the
// Csatornakep scenario trouble-2, or prompts are prefilled again and again, as in
// trouble-1.
func TestForwardStall(t *testing.T) {
	silence := attempt.Stall{Elapsed: 600 * time.Millisecond, Limit: 600 * time.Millisecond}
	long := attempt.Stall{Elapsed: 1200 * time.Millisecond, Limit: 600 * time.Millisecond}
	for _, c := range []struct {
		name string
		// change is applied while the server is silent; nil makes the call one
		// that is not idempotent.
		change func(fx *forwardFixture)
		silent attempt.Stall
		want   bool
	}{
		{"a server that is gone", func(fx *forwardFixture) { fx.client.reachable = false }, silence, true},
		{"a server that is busy", func(*forwardFixture) {}, silence, false},
		{"a busy server, silent for long, with another one free", func(*forwardFixture) {}, long, true},
		{"no allowance", func(fx *forwardFixture) { fx.client.reachable, fx.fleet.noRetries = false, true }, silence, false},
		{"no other server", func(fx *forwardFixture) { fx.client.reachable = false; fx.fleet.listing = &backend.Listing{} }, silence, false},
		{"the key was taken away", func(fx *forwardFixture) { fx.fleet.table.Customers[0].Keys = nil; fx.fleet.table.Index() }, long, false},
		{"no confirmation", func(fx *forwardFixture) { fx.fleet.unconfirmed = true }, long, false},
		{"an unsafe call", nil, long, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fx := newForwardFixture(func(r *route.Route) {
				if c.change == nil {
					r.Kind = route.Unsafe
				}
			})
			fx.client.steps = append(fx.client.steps, func(f attempt.ForwardRequest, _ attempt.EventSink) (attempt.ForwardAnswer, error) {
				if c.change != nil {
					c.change(fx)
				}
				is.Equal(f.ConfirmTimeout(c.silent), c.want)
				return answers(200)(f, nil)
			})
			fx.run(t)
		})
	}
}

// promptOf returns a prompt with the given parts.
func promptOf(ids ...string) []dispatch.PromptPart {
	var parts []dispatch.PromptPart
	for _, id := range ids {
		parts = append(parts, dispatch.PromptPart{ID: id, Tokens: 10})
	}
	return parts
}

// A prompt that crashes servers used to be sent to as many of them as its route allows
// attempts. It is given up after two, one of which crashed after its answer had been
// declined.
func TestPromptThatCrashesServersIsGivenUp(t *testing.T) {
	lost := func(attempt.ForwardRequest, attempt.EventSink) (attempt.ForwardAnswer, error) {
		return attempt.ForwardAnswer{}, &attempt.Error{Kind: attempt.Reset, State: call.MayHaveRun}
	}
	declined := func(attempt.ForwardRequest, attempt.EventSink) (attempt.ForwardAnswer, error) {
		return attempt.ForwardAnswer{}, &attempt.Error{Kind: attempt.Unwanted, State: call.Ran}
	}
	type steps = []func(attempt.ForwardRequest, attempt.EventSink) (attempt.ForwardAnswer, error)
	for _, c := range []struct {
		name    string
		steps   steps
		crashed map[string]bool
		sent    int
		crashes int
	}{
		{"servers crash", steps{lost}, map[string]bool{"s1": true, "s2": true}, 2, 2},
		{"a declined answer's server crashes too", steps{declined, lost}, map[string]bool{"s1": true, "s2": true}, 2, 2},
		{"connections are lost", steps{lost}, nil, 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fx := newForwardFixture(func(r *route.Route) {
				r.Kind, r.Resumable, r.Models = route.Streaming, true, []string{"small", "large"}
			})
			fx.call.PromptParts = promptOf("shared", "own")
			fx.client.steps, fx.client.crashed = c.steps, c.crashed
			is.True(fx.forwarder.Run(t.Context(), fx.call, fx.out) != nil)
			is.Equal(len(fx.client.sent), c.sent)
			crashes := 0
			for _, o := range fx.fleet.observed {
				crashes += len(o.Crashed)
			}
			is.Equal(crashes, c.crashes)
		})
	}
}

// A call whose prompt is quarantined is refused without being sent, also if that becomes
// known between two attempts. The refusal says whether it has run.
func TestQuarantinedPromptIsRefused(t *testing.T) {
	for _, c := range []struct {
		name  string
		after int // attempts
		state call.RunState
	}{{"at once", 0, call.NotRun}, {"between two attempts", 1, call.MayHaveRun}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fx := newForwardFixture(func(*route.Route) {})
			fx.call.PromptParts = promptOf("bad", "own")
			fx.fleet.quarantined = map[string]bool{"bad": c.after == 0}
			fx.client.steps = append(fx.client.steps, func(attempt.ForwardRequest, attempt.EventSink) (attempt.ForwardAnswer, error) {
				fx.fleet.quarantined["bad"] = true
				return attempt.ForwardAnswer{}, &attempt.Error{Kind: attempt.Reset, State: call.MayHaveRun}
			})
			err := fx.forwarder.Run(t.Context(), fx.call, fx.out)
			var refusal *call.Refusal
			is.True(errors.As(err, &refusal))
			is.Equal(refusal.Reason, call.ReasonPromptQuarantined)
			is.Equal(refusal.State, c.state)
			is.True(refusal.RetryAfter > 0)
			is.Equal(len(fx.client.sent), c.after)
		})
	}
}

// Each attempt is observed once, as soon as its answer is late, has its first few events
// or has ended. One that is given up while its server is silent counts as late.
func TestAnswersAreObservedEarly(t *testing.T) {
	const pace, took = 20 * time.Millisecond, 30 * time.Millisecond
	type step func(fx *forwardFixture, sink attempt.EventSink) (attempt.ForwardAnswer, error)
	events := func(n int) step {
		return func(fx *forwardFixture, sink attempt.EventSink) (attempt.ForwardAnswer, error) {
			fx.clock.Advance(took)
			for i := 1; i <= n; i++ {
				if err := sink.Event(i, nil); err != nil {
					return attempt.ForwardAnswer{}, err
				}
				fx.clock.Advance(pace)
			}
			return attempt.ForwardAnswer{FirstEvent: time.Millisecond, LastEvent: n}, nil
		}
	}
	silence := func(fx *forwardFixture) {
		fx.clock.Advance(lateAfter)
		for len(fx.fleet.observations()) == 0 {
			time.Sleep(time.Millisecond) // the timer runs on a goroutine of its own
		}
	}
	whole := func(after time.Duration) step {
		return func(fx *forwardFixture, _ attempt.EventSink) (attempt.ForwardAnswer, error) {
			fx.clock.Advance(after)
			return attempt.ForwardAnswer{FirstEvent: time.Millisecond}, nil
		}
	}
	fails := func(kind attempt.Kind) step {
		return func(fx *forwardFixture, _ attempt.EventSink) (attempt.ForwardAnswer, error) {
			fx.clock.Advance(took)
			return attempt.ForwardAnswer{FirstEvent: time.Millisecond}, &attempt.Error{Kind: kind, State: call.Ran, Status: http.StatusInternalServerError}
		}
	}
	for _, c := range []struct {
		name string
		kind route.Kind
		step step
		want AnswerObservation
	}{
		{"paced", route.Streaming, events(paceGaps + 3), AnswerObservation{Took: took, Pace: pace}},
		{"too short for a pace", route.Streaming, events(paceGaps), AnswerObservation{Took: took}},
		{"late", route.Streaming, func(fx *forwardFixture, sink attempt.EventSink) (attempt.ForwardAnswer, error) {
			silence(fx)
			return events(paceGaps+1)(fx, sink)
		}, AnswerObservation{Late: true, Took: lateAfter}},
		{"failed", route.Streaming, fails(attempt.Status), AnswerObservation{Failed: true}},
		{"whole", route.Unsafe, whole(took), AnswerObservation{Took: took}},
		{"whole and late", route.Unsafe, func(fx *forwardFixture, sink attempt.EventSink) (attempt.ForwardAnswer, error) {
			silence(fx)
			return whole(took)(fx, sink)
		}, AnswerObservation{Late: true, Took: lateAfter}},
		{"given up", route.Safe, func(fx *forwardFixture, _ attempt.EventSink) (attempt.ForwardAnswer, error) {
			silence(fx)
			return attempt.ForwardAnswer{}, &attempt.Error{Kind: attempt.FirstByteTimeout, State: call.MayHaveRun}
		}, AnswerObservation{Late: true, Took: lateAfter}},
		{"not run", route.Safe, fails(attempt.Refused503), AnswerObservation{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fx := newForwardFixture(func(r *route.Route) { r.Kind, r.MaxAttempts = c.kind, 1 })
			fx.client.steps = append(fx.client.steps, func(_ attempt.ForwardRequest, sink attempt.EventSink) (attempt.ForwardAnswer, error) {
				return c.step(fx, sink)
			})
			_ = fx.forwarder.Run(t.Context(), fx.call, fx.out) // the error status is delivered
			is.Equal(len(fx.fleet.answers), 1)
			got := fx.fleet.answers[0]
			got.Server = nil
			c.want.Route, c.want.Stream = "r", c.kind == route.Streaming
			is.Equal(got, c.want)
		})
	}
}

// A request that makes its servers fail does so in each attempt. Counted by attempts, the
// failures of few requests looked certain, and a good version was reverted.
func TestFurtherAttemptsAreRepeats(t *testing.T) {
	is := is.New(t)
	fx := newForwardFixture(func(*route.Route) {})
	fx.client.steps = append(fx.client.steps, fails(attempt.DialRefused, call.NotRun), answers(http.StatusInternalServerError))
	_ = fx.forwarder.Run(t.Context(), fx.call, fx.out) // the error status is delivered
	observed := fx.fleet.observations()
	is.Equal(len(observed), 3) // the refused connection says nothing
	for i, o := range observed {
		is.True(o.Failed)
		is.Equal(o.Repeat, i > 0)
	}
}

// An attempt after an answer that was declined for a larger model's is no repeat. Taken for
// one, most answers of the larger model were no evidence.
func TestEscalationIsNoRepeat(t *testing.T) {
	is := is.New(t)
	fx := newForwardFixture(streaming)
	fx.client.steps = append(fx.client.steps, sends(3, 2, nil))
	is.True(fx.run(t) == nil)
	observed := fx.fleet.observations()
	is.Equal(len(observed), 2)
	is.Equal(observed[1].Model, "large")
	is.True(!observed[1].Repeat)
}

// A further attempt at the same server opens a new connection: the server may repeat its
// answer to the attempt before on the old one.
func TestSameServerGetsNewConnection(t *testing.T) {
	is := is.New(t)
	fx := newForwardFixture(func(*route.Route) {})
	d := backend.NewDirectory()
	d.Announce(backend.Server{ID: "s1", Service: "assistant", Address: "s1", State: backend.Ready, Slots: 6, Revision: revision.Revision{Number: 1}}, fx.clock.Now())
	fx.fleet.listing = d.Listing()
	fx.client.steps = append(fx.client.steps, fails(attempt.Refused503, call.NotRun), answers(200))
	is.True(fx.run(t) == nil)
	is.True(fx.client.sent[0].AllowReuse)
	is.True(!fx.client.sent[1].AllowReuse)
}

// What a server answers after a stream has begun elsewhere and broken off doesn't reach
// the caller, and the stream doesn't end as if it were complete.
func TestErrorAfterBrokenStream(t *testing.T) {
	broken := &attempt.Error{Kind: attempt.Reset, State: call.Ran}
	for name, next := range map[string]func(attempt.ForwardRequest, attempt.EventSink) (attempt.ForwardAnswer, error){
		"an error of the server": answers(500),
		"an unknown path":        answersWithStatusError(404),
		"a redirect":             answersWithStatusError(302),
		"a refusal":              fails(attempt.Refused503, call.NotRun),
		"another server":         fails(attempt.Misdirected, call.NotRun),
		"no signature":           fails(attempt.Unsigned, call.MayHaveRun),
		"a repeated event":       fails(attempt.SequenceRepeat, call.Ran),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newForwardFixture(streaming)
			fx.client.steps = append(fx.client.steps, sends(2, 95, broken), next)
			refusal := fx.run(t)
			is.Equal(refusal.Reason, call.ReasonIncomplete)
			is.Equal(fx.out.events, []string{"1", "2"})
			is.Equal(fx.out.heads, 1)
			is.True(fx.out.answer == nil)
		})
	}
}

// answersWithStatusError answers with a status below 500 that is an error.
func answersWithStatusError(status int) func(attempt.ForwardRequest, attempt.EventSink) (attempt.ForwardAnswer, error) {
	return func(f attempt.ForwardRequest, sink attempt.EventSink) (attempt.ForwardAnswer, error) {
		answer, _ := answers(status)(f, sink)
		return answer, &attempt.Error{Kind: attempt.Status, State: call.Ran, Status: status}
	}
}

// shortage makes the fleet's servers short of room for a fixture's call.
func (fx *forwardFixture) shortage(wait time.Duration) {
	pricer, now := fx.fleet.Pricer("assistant"), fx.clock.Now().Add(-3*time.Second)
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		pricer.ObserveLoad(backend.Load{Running: 6, Waiting: 1, Slots: 6}, now)
		pricer.ObserveRequest(shedding.Request{PredictedWait: wait, Priority: fx.call.Priority, Work: 50 * time.Millisecond, Value: 1}, time.Second, now)
	}
}

// In a shortage a call is refused before anything is sent, with a time to come back, unless
// the servers state free places or the call's customer is within its share.
func TestShortageRefuses(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func(fx *forwardFixture)
		isRefused bool
	}{
		{"room", func(fx *forwardFixture) { fx.shortage(100 * time.Millisecond) }, false},
		{"shortage", func(fx *forwardFixture) { fx.shortage(3 * time.Second) }, true},
		{"free places", func(fx *forwardFixture) {
			fx.shortage(3 * time.Second)
			for range 100 {
				fx.fleet.Pricer("assistant").ObserveLoad(backend.Load{Running: 1, Slots: 6}, fx.clock.Now())
			}
		}, false},
		{"others exceed their share", func(fx *forwardFixture) { fx.shortage(3 * time.Second); fx.fleet.exceeding = "other" }, false},
		{"over its share", func(fx *forwardFixture) { fx.shortage(3 * time.Second); fx.fleet.exceeding = "c" }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fx := newForwardFixture(func(r *route.Route) { r.Timeout = 4 * time.Second })
			fx.forwarder.random = func() float64 { return 0 }
			fx.client.steps = append(fx.client.steps, answers(http.StatusOK))
			c.change(fx)
			refusal := fx.run(t)
			is.Equal(refusal != nil, c.isRefused)
			if refusal != nil {
				is.Equal(refusal.Reason, call.ReasonOverloaded)
				is.Equal(refusal.State, call.NotRun)
				is.True(refusal.RetryAfter > 0)
				is.Equal(len(fx.client.sent), 0)
			}
		})
	}
}

// A call that waits for full servers until it has no hope is refused as not run, and no
// later than that.
func TestWaitsForItsTurn(t *testing.T) {
	is := is.New(t)
	fx := newForwardFixture(func(r *route.Route) { r.Kind = route.Unsafe })
	for range 10 {
		fx.fleet.Line("assistant").Full()
	}
	fx.client.steps = append(fx.client.steps, answers(http.StatusOK))
	is.Equal(fx.run(t), nil) // its turn comes
	fx = newForwardFixture(func(r *route.Route) { r.Kind = route.Unsafe })
	for range 10 {
		fx.fleet.Line("assistant").Full()
	}
	fx.call.Deadline = fx.clock.Now().Add(500 * time.Millisecond)
	fx.client.steps = append(fx.client.steps, answers(http.StatusOK))
	refusal := fx.run(t)
	is.Equal(refusal.Reason, call.ReasonOverloaded)
	is.Equal(refusal.State, call.NotRun)
	is.True(refusal.RetryAfter > 0)
	is.Equal(len(fx.client.sent), 0)
}
