package pipeline

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
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

// world is a pipeline over real admission, placement and capacity, with the
// outside scripted.
type world struct {
	clock *clockwork.FakeClock
	board *board.Board
	// script has one entry for each attempt; the last one repeats.
	script []string
	// servers lists where attempts went, in order.
	servers []string
	resumed []int
	whole   time.Duration
	bills   []ledger.Bill
	claims  map[string]ledger.ClaimState
	ended   []call.RunState
	onCheck func(w *world)
	plan    cascade.Plan
	judged  bool
	out     []string
	// hangUpAfter is after how many chunks the caller is gone, if positive.
	hangUpAfter int
	rated       []RatingRequest
}

func newWorld(t *testing.T) *world {
	t.Helper()
	raw, err := os.ReadFile("../../../examples/pottyround/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := configuration.Parse(raw, 3)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{clock: clockwork.NewFakeClock(), board: new(board.Board), claims: map[string]ledger.ClaimState{}}
	now := w.clock.Now()
	w.board.Configuration.Publish(doc)
	w.board.Confirmation.Publish(&board.Confirmation{Ready: true, Until: now.Add(time.Hour)})
	w.board.Members.Publish(&board.Members{Self: "i", List: []board.Member{{Name: "i", State: board.MemberAlive}}, ListedAt: now})
	w.board.Servers.Publish(&board.Servers{At: now, List: testServers(now)})
	return w
}

// testServers are warm servers, one of each service in each data centre.
func testServers(now time.Time) []board.Server {
	var list []board.Server
	for _, dc := range []string{"gulberg", "johar", "dha", "shadman"} {
		for _, service := range []string{"kingcup-llm", "rounds-app"} {
			list = append(list, board.Server{
				Name: service + "-" + dc, Address: "127.0.0.1:1", Service: service, DataCentre: dc, Region: "lahore", State: board.ServerLive,
				Report: board.Report{
					At: now, ReceivedAt: now, Sequence: 1, Generation: 1, StartedAt: now.Add(-time.Hour), Concurrency: 8, ColdConcurrency: 2,
					Loaded: []board.Loaded{{Model: "kingcup-small", Version: "v1"}, {Model: "kingcup-large", Version: "v1"}},
				},
			})
		}
	}
	return list
}

func (w *world) pipeline() *Pipeline {
	limiter := capacity.NewLimiter(capacity.DefaultSettings())
	limiter.Update(w.board.Servers.Get(), w.board.Configuration.Get(), w.board.Members.Get(), w.clock.Now())
	gate := admission.NewAdmitter(w.clock)
	gate.Update(w.board.Servers.Get(), w.board.Configuration.Get(), w.board.Members.Get())
	ejector := admission.NewEjector()
	placer := placement.New(w.board, load{limiter, ejector}, placement.WithClock(w.clock))
	placer.Rebuild()
	return New(Dependencies{
		Instance: "i", DataCentre: "gulberg", Board: w.board, Admission: gate, RetryBudget: admission.NewRetryBudget(0.1, 20),
		Placer: placer, Limiter: limiter, Health: ejector, PrefixTable: w, Client: w, Ledger: w, Cascade: w, Sessions: w,
		Judge: w, Ratings: w, Evidence: w, DecisionLog: explanation.New(8), Clock: w.clock, Log: zap.NewNop(), Seed: 1,
	})
}

type load struct {
	*capacity.Limiter
	*admission.Ejector
}

// step is one scripted attempt: KIND STATE DELIVERED, or "ok".
func (w *world) step() (kind string, state call.RunState, delivered int) {
	entry := w.script[min(len(w.servers)-1, len(w.script)-1)]
	f := strings.Fields(entry)
	if len(f) < 3 {
		return f[0], call.Ran, 0
	}
	states := map[string]call.RunState{"NotRun": call.NotRun, "MayHaveRun": call.MayHaveRun, "Ran": call.Ran}
	n, err := strconv.Atoi(f[2])
	if err != nil {
		panic(err)
	}
	return f[0], states[f[1]], n
}

const answerTokens = 4

func (w *world) Chat(_ context.Context, target attempt.Target, c attempt.ChatRequest, sink func(attempt.Chunk) error) (attempt.Answer, error) {
	if w.onCheck != nil {
		w.onCheck(w)
	}
	if err := c.BeforeWrite(); err != nil {
		return attempt.Answer{}, &attempt.Error{Kind: attempt.NotStarted, Server: target.Server, Err: err}
	}
	w.servers = append(w.servers, target.Server)
	w.resumed = append(w.resumed, c.ResumeFrom)
	w.whole = c.Limits.Unstreamed
	kind, state, delivered := w.step()
	last := answerTokens
	if kind != "ok" {
		last = delivered
	}
	if c.Stream {
		for n := c.ResumeFrom + 1; n <= last; n++ {
			chunk := attempt.Chunk{Token: n, Content: fmt.Sprint(n), Raw: []byte(fmt.Sprintf(`{"id":"%s","n":%d}`, c.AttemptID, n))}
			if n == answerTokens {
				chunk.Finish = "stop"
			}
			if err := sink(chunk); err != nil {
				return attempt.Answer{Tokens: n}, &attempt.Error{Kind: attempt.CallerGone, State: call.Ran, LastDelivered: n, Err: err}
			}
		}
	}
	if kind != "ok" {
		return attempt.Answer{Tokens: last}, &attempt.Error{Kind: attempt.Kind(kind), Server: target.Server, State: state, LastDelivered: last, Status: 500}
	}
	body := []byte(`{"id":"` + c.AttemptID + `","choices":[{"message":{"content":"yes"}}]}`)
	return attempt.Answer{Body: body, Complete: true, Tokens: answerTokens, Usage: attempt.Usage{CompletionTokens: answerTokens}, FirstToken: time.Millisecond}, nil
}

func (w *world) Plain(_ context.Context, target attempt.Target, c attempt.PlainRequest) (attempt.PlainAnswer, error) {
	if err := c.BeforeWrite(); err != nil {
		return attempt.PlainAnswer{}, &attempt.Error{Kind: attempt.NotStarted, Server: target.Server, Err: err}
	}
	w.servers = append(w.servers, target.Server)
	kind, state, _ := w.step()
	if kind != "ok" {
		return attempt.PlainAnswer{}, &attempt.Error{Kind: attempt.Kind(kind), Server: target.Server, State: state}
	}
	return attempt.PlainAnswer{Status: 201, Body: []byte("booked")}, nil
}

func (w *world) Open(ledger.Bill) {}

func (w *world) Close(_ context.Context, b ledger.Bill) (ledger.Closed, error) {
	w.bills = append(w.bills, b)
	return ledger.Closed{Committed: true}, nil
}

func (w *world) Claim(_ context.Context, id, _ string, _ uint64) (ledger.ClaimResult, error) {
	switch w.claims[id] {
	case "":
		w.claims[id] = ledger.ClaimDuplicate
		return ledger.ClaimResult{State: ledger.ClaimGranted}, nil
	case "Out":
		return ledger.ClaimResult{}, &ledger.ClaimError{ID: id, State: ledger.Unavailable}
	}
	return ledger.ClaimResult{State: w.claims[id], Existing: ledger.Existing{State: call.MayHaveRun}}, nil
}

func (w *world) Finish(_ ledger.Ticket, state call.RunState, _ []byte) {
	w.ended = append(w.ended, state)
}

func (w *world) Decide(cascade.Query, *rand.Rand) cascade.Plan { return w.plan }
func (w *world) Observe(cascade.Outcome)                       {}
func (w *world) Record(rollout.Observation)                    {}
func (w *world) Stored(string, uint64)                         {}
func (w *world) Submit(a RatingRequest)                        { w.rated = append(w.rated, a) }

func (w *world) Judge(context.Context, JudgeQuery) (bool, error) { return w.judged, nil }

func (w *world) Resolve(_ context.Context, q SessionQuery) (Session, error) {
	s := Session{Identifier: "token", Versions: map[string]string{}}
	for _, m := range q.Models {
		s.Versions[m] = "v1"
	}
	return s, nil
}

func (w *world) WriteHead(h Head) error {
	w.out = append(w.out, "begin "+h.Model)
	return nil
}

func (w *world) WriteChunk(payload []byte) error {
	if w.hangUpAfter > 0 && len(w.out) > w.hangUpAfter {
		return errHungUp
	}
	w.out = append(w.out, string(payload))
	return nil
}

func (w *world) WriteBody(body []byte) error {
	w.out = append(w.out, string(body))
	return nil
}

func (w *world) request(model string, stream bool) *call.Request {
	return &call.Request{
		ID: "r1", Customer: "households", Model: model, Stream: stream, Idempotent: true, Body: []byte("{}"),
		ArrivedAt: w.clock.Now(), Deadline: w.clock.Now().Add(time.Minute),
	}
}

func refusalOf(t *testing.T, err error) *call.Refusal {
	t.Helper()
	if err == nil {
		return &call.Refusal{Reason: "-"}
	}
	var r *call.Refusal
	if !errors.As(err, &r) {
		t.Fatalf("not a refusal: %v", err)
	}
	return r
}

// TestScripts goes through testdata/attempts.txt, whose head says what the
// columns are.
func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/attempts.txt")
	is.New(t).NoErr(err)
	for line := range strings.Lines(string(data)) {
		f := strings.Split(strings.TrimSpace(line), "|")
		if len(f) != 7 || strings.HasPrefix(line, "#") {
			continue
		}
		for i := range f {
			f[i] = strings.TrimSpace(f[i])
		}
		t.Run(f[0], func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.script = strings.Split(f[2], ";")
			r := refusalOf(t, w.run(f[1]))
			is.Equal(string(r.Reason), f[3])
			if r.Reason != "-" {
				is.Equal(r.State.String(), f[4])
			}
			is.Equal(strconv.Itoa(len(w.servers)), f[5])
			is.Equal(strconv.Itoa(len(w.bills)), f[6])
			w.checkServers(t)
		})
	}
}

// run sends one request of a kind.
func (w *world) run(kind string) error {
	p := w.pipeline()
	switch kind {
	case "Stream", "Whole":
		return p.Chat(context.Background(), &ChatRequest{Request: w.request("kingcup-small", kind == "Stream")}, w)
	}
	r := w.request("rounds-app", false)
	r.Idempotent = kind == "Plain"
	_, err := p.Plain(context.Background(), &PlainRequest{Request: r, Service: "rounds-app", Method: "POST", Path: "/bookings"})
	return err
}

// checkServers checks that no attempt went where one had failed, and that the
// second went to another data centre.
func (w *world) checkServers(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, s := range w.servers {
		is.True(!seen[s])
		seen[s] = true
	}
}

func TestResumedStreamHasNoGapAndOneID(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.script = []string{"Truncated Ran 2", "ok"}
	is.NoErr(w.run("Stream"))
	is.Equal(w.resumed, []int{0, 2})
	is.Equal(w.out, []string{"begin kingcup-small", `{"id":"r1","n":1}`, `{"id":"r1","n":2}`, `{"id":"r1","n":3}`, `{"id":"r1","n":4}`})
	is.Equal(w.bills[0].CompletionTokens, answerTokens)
}

func TestSecondCheckStopsRequest(t *testing.T) {
	for name, c := range map[string]struct {
		change func(doc *configuration.Document)
		reason call.Reason
	}{
		"withdrawn":  {func(d *configuration.Document) { d.Models[0].Versions[0].State = configuration.VersionWithdrawn }, call.ReasonVersionWithdrawn},
		"disallowed": {func(d *configuration.Document) { d.Customers[0].Allowed = nil }, call.ReasonNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.script = []string{"ok"}
			w.onCheck = func(w *world) {
				doc := w.board.Configuration.Get().Clone()
				c.change(doc)
				w.board.Configuration.Publish(doc)
			}
			r := refusalOf(t, w.run("Stream"))
			is.Equal(r.Reason, c.reason)
			is.Equal(r.State, call.NotRun)
			is.Equal(len(w.servers), 0)
			is.Equal(len(w.bills), 0)
		})
	}
}

func TestSecondCheckMovesRequest(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.script = []string{"ok"}
	w.onCheck = func(w *world) {
		doc := w.board.Configuration.Get().Clone()
		doc.DataCentre("gulberg").Out = true
		w.board.Configuration.Publish(doc)
	}
	is.NoErr(w.run("Stream"))
	is.Equal(len(w.servers), 1)
	is.True(w.servers[0] != "kingcup-llm-gulberg")
}

func TestUnconfirmedInstanceSendsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.script = []string{"ok"}
	w.onCheck = func(w *world) {
		w.board.Confirmation.Publish(&board.Confirmation{Ready: true, Until: w.clock.Now()})
	}
	r := refusalOf(t, w.run("Stream"))
	is.Equal(r.Reason, call.ReasonNotReady)
	is.Equal(r.State, call.NotRun)
	is.Equal(len(w.servers), 0)
}

var errHungUp = errors.New("caller hung up")

func TestCallerThatHangsUpIsBilledForWhatRan(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.script = []string{"ok"}
	w.hangUpAfter = 2
	r := refusalOf(t, w.run("Stream"))
	is.Equal(r.State, call.Ran)
	is.Equal(len(w.servers), 1) // its stream is cancelled and not taken up elsewhere
	is.Equal(len(w.bills), 1)
	is.Equal(w.bills[0].CompletionTokens, 3) // the third had been generated
}

func TestClaims(t *testing.T) {
	for state, want := range map[ledger.ClaimState]call.Reason{
		"Out": call.ReasonClaimUnavailable, ledger.ClaimDuplicate: call.ReasonDuplicate, ledger.ClaimMismatch: call.ReasonBodyMismatch,
	} {
		is := is.New(t)
		w := newWorld(t)
		w.script = []string{"ok"}
		w.claims["r1"] = state
		r := refusalOf(t, w.run("Once"))
		is.Equal(r.Reason, want)
		is.Equal(len(w.servers), 0)
	}
}

// TestUndecidedClaimIsNotCalledNotRun refuses a call whose ID the caller named
// while the ledger can't say whether an earlier arrival ran.
func TestUndecidedClaimIsNotCalledNotRun(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		is := is.New(t)
		w := newWorld(t)
		w.claims["r1"] = "Out"
		r := w.request("rounds-app", false)
		r.Idempotent, r.HasIdempotencyKey = false, keyed
		_, err := w.pipeline().Plain(context.Background(), &PlainRequest{Request: r, Service: "rounds-app", Method: "POST", Path: "/bookings"})
		is.Equal(refusalOf(t, err).State == call.NotRun, !keyed)
	}
}

// TestWholeAnswerIsBoundByItsDeadline gives the attempt no longer than the
// request has, since a whole answer on a silent connection shows no progress.
func TestWholeAnswerIsBoundByItsDeadline(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.script = []string{"ok"}
	is.NoErr(w.run("Whole"))
	is.Equal(w.whole, time.Minute)
}

func TestCascadeEscalatesUnderOneBill(t *testing.T) {
	is := is.New(t)
	for _, passes := range []bool{true, false} {
		w := newWorld(t)
		w.script = []string{"ok"}
		w.judged = passes
		w.plan = cascade.Plan{Steps: []cascade.Step{{Model: "kingcup-small", Judge: true}, {Model: "kingcup-large"}}}
		is.NoErr(w.pipeline().Chat(context.Background(), &ChatRequest{Request: w.request("auto", true)}, w))
		is.Equal(len(w.bills), 1)
		model, steps, tokens := "kingcup-small", 1, answerTokens
		if !passes {
			model, steps, tokens = "kingcup-large", 2, 2*answerTokens
		}
		is.Equal(w.out[0], "begin "+model)
		is.Equal(len(w.out), 1+answerTokens)
		is.Equal(w.bills[0].Steps, steps)
		is.Equal(w.bills[0].CompletionTokens, tokens)
		is.Equal(w.rated[0].FirstModel, "kingcup-small")
	}
}
