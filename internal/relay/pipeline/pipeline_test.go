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

// fixture is a pipeline over the real admission, placement and capacity packages.
// The backend servers, the ledger, the judge and the caller are scripted.
type fixture struct {
	clock *clockwork.FakeClock
	board *board.Board
	// script has one entry per attempt; the last one repeats.
	script []string
	// servers lists the servers of the attempts, in order.
	servers         []string
	resumedFrom     []int
	unstreamedLimit time.Duration
	bills           []ledger.Bill
	claims          map[string]ledger.ClaimState
	finished        []call.RunState
	onBeforeWrite   func(fx *fixture)
	plannedSteps    cascade.Plan
	judgePasses     bool
	out             []string
	// disconnectAfter is the number of chunks after which the caller disconnects, if
	// positive.
	disconnectAfter int
	rated           []RatingRequest
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	raw, err := os.ReadFile("../../../examples/pottyround/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := configuration.Parse(raw, 3)
	if err != nil {
		t.Fatal(err)
	}
	fx := &fixture{clock: clockwork.NewFakeClock(), board: new(board.Board), claims: map[string]ledger.ClaimState{}}
	now := fx.clock.Now()
	fx.board.Configuration.Publish(doc)
	fx.board.Confirmation.Publish(&board.Confirmation{Ready: true, ValidUntil: now.Add(time.Hour)})
	fx.board.Members.Publish(&board.Members{Self: "i", List: []board.Member{{Name: "i", State: board.MemberAlive}}, ListedAt: now})
	fx.board.Servers.Publish(&board.Servers{At: now, List: testServers(now)})
	return fx
}

// testServers returns one warm server of each service in each data centre.
func testServers(now time.Time) []board.Server {
	var list []board.Server
	for _, dc := range []string{"gulberg", "johar", "dha", "shadman"} {
		for _, service := range []string{"kingcup-llm", "rounds-app"} {
			list = append(list, board.Server{
				Name: service + "-" + dc, Address: "127.0.0.1:1", Service: service, DataCentre: dc, Region: "lahore", State: board.ServerLive,
				Report: board.LoadReport{
					ReportedAt: now, ReceivedAt: now, Sequence: 1, Generation: 1, StartedAt: now.Add(-time.Hour), Concurrency: 8, ColdConcurrency: 2,
					Loaded: []board.LoadedVersion{{Model: "kingcup-small", Version: "v1"}, {Model: "kingcup-large", Version: "v1"}},
				},
			})
		}
	}
	return list
}

func (fx *fixture) pipeline() *Pipeline {
	limiter := capacity.NewLimiter(capacity.DefaultSettings())
	limiter.Update(fx.board.Servers.Get(), fx.board.Configuration.Get(), fx.board.Members.Get(), fx.clock.Now())
	gate := admission.NewAdmitter(fx.clock)
	gate.Update(fx.board.Servers.Get(), fx.board.Configuration.Get(), fx.board.Members.Get())
	ejector := admission.NewEjector()
	placer := placement.New(fx.board, load{limiter, ejector}, placement.WithClock(fx.clock))
	placer.Rebuild()
	return New(Dependencies{
		Instance: "i", DataCentre: "gulberg", Board: fx.board, Admission: gate, RetryBudget: admission.NewRetryBudget(0.1, 20),
		Placer: placer, Limiter: limiter, Health: ejector, PrefixTable: fx, Client: fx, Ledger: fx, Cascade: fx, Sessions: fx,
		Judge: fx, Ratings: fx, Evidence: fx, DecisionLog: explanation.New(8), Clock: fx.clock, Log: zap.NewNop(), Seed: 1,
	})
}

type load struct {
	*capacity.Limiter
	*admission.Ejector
}

// parseStep parses the script entry of the attempt: KIND STATE DELIVERED, or "ok".
func (fx *fixture) parseStep() (kind string, state call.RunState, delivered int) {
	entry := fx.script[min(len(fx.servers)-1, len(fx.script)-1)]
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

func (fx *fixture) Chat(_ context.Context, target attempt.Target, c attempt.ChatRequest, sink func(attempt.Chunk) error) (attempt.Answer, error) {
	if fx.onBeforeWrite != nil {
		fx.onBeforeWrite(fx)
	}
	if err := c.BeforeWrite(); err != nil {
		return attempt.Answer{}, &attempt.Error{Kind: attempt.NotStarted, Server: target.Server, Err: err}
	}
	fx.servers = append(fx.servers, target.Server)
	fx.resumedFrom = append(fx.resumedFrom, c.ResumeFrom)
	fx.unstreamedLimit = c.Limits.Unstreamed
	kind, state, delivered := fx.parseStep()
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

func (fx *fixture) Plain(_ context.Context, target attempt.Target, c attempt.PlainRequest) (attempt.PlainAnswer, error) {
	if err := c.BeforeWrite(); err != nil {
		return attempt.PlainAnswer{}, &attempt.Error{Kind: attempt.NotStarted, Server: target.Server, Err: err}
	}
	fx.servers = append(fx.servers, target.Server)
	kind, state, _ := fx.parseStep()
	if kind != "ok" {
		return attempt.PlainAnswer{}, &attempt.Error{Kind: attempt.Kind(kind), Server: target.Server, State: state}
	}
	return attempt.PlainAnswer{Status: 201, Body: []byte("booked")}, nil
}

func (fx *fixture) Open(ledger.Bill) {}

func (fx *fixture) Close(_ context.Context, b ledger.Bill) (ledger.CloseResult, error) {
	fx.bills = append(fx.bills, b)
	return ledger.CloseResult{Committed: true}, nil
}

func (fx *fixture) Claim(_ context.Context, id, _ string, _ uint64) (ledger.ClaimResult, error) {
	switch fx.claims[id] {
	case "":
		fx.claims[id] = ledger.ClaimDuplicate
		return ledger.ClaimResult{State: ledger.ClaimGranted}, nil
	case "Out":
		return ledger.ClaimResult{}, &ledger.ClaimError{ID: id, State: ledger.Unavailable}
	}
	return ledger.ClaimResult{State: fx.claims[id], Existing: ledger.ExistingClaim{State: call.MayHaveRun}}, nil
}

func (fx *fixture) Finish(_ ledger.Ticket, state call.RunState, _ []byte) {
	fx.finished = append(fx.finished, state)
}

func (fx *fixture) Decide(cascade.Query, *rand.Rand) cascade.Plan { return fx.plannedSteps }
func (fx *fixture) Observe(cascade.Outcome)                       {}
func (fx *fixture) Record(rollout.Observation)                    {}
func (fx *fixture) Stored(string, uint64)                         {}
func (fx *fixture) Submit(a RatingRequest)                        { fx.rated = append(fx.rated, a) }

func (fx *fixture) Judge(context.Context, JudgeQuery) (bool, error) { return fx.judgePasses, nil }

func (fx *fixture) Resolve(_ context.Context, q SessionQuery) (Session, error) {
	s := Session{Identifier: "token", Versions: map[string]string{}}
	for _, m := range q.Models {
		s.Versions[m] = "v1"
	}
	return s, nil
}

func (fx *fixture) WriteHead(h Head) error {
	fx.out = append(fx.out, "begin "+h.Model)
	return nil
}

func (fx *fixture) WriteChunk(payload []byte) error {
	if fx.disconnectAfter > 0 && len(fx.out) > fx.disconnectAfter {
		return errCallerDisconnected
	}
	fx.out = append(fx.out, string(payload))
	return nil
}

func (fx *fixture) WriteBody(body []byte) error {
	fx.out = append(fx.out, string(body))
	return nil
}

func (fx *fixture) request(model string, stream bool) *call.Request {
	return &call.Request{
		ID: "r1", Customer: "households", Model: model, Stream: stream, Idempotent: true, Body: []byte("{}"),
		ArrivedAt: fx.clock.Now(), Deadline: fx.clock.Now().Add(time.Minute),
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

// TestAttemptScripts runs the cases of testdata/attempts.txt, whose first lines describe
// the columns.
func TestAttemptScripts(t *testing.T) {
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
			fx := newFixture(t)
			fx.script = strings.Split(f[2], ";")
			r := refusalOf(t, fx.run(f[1]))
			is.Equal(string(r.Reason), f[3])
			if r.Reason != "-" {
				is.Equal(r.State.String(), f[4])
			}
			is.Equal(strconv.Itoa(len(fx.servers)), f[5])
			is.Equal(strconv.Itoa(len(fx.bills)), f[6])
			fx.checkNoServerRepeats(t)
		})
	}
}

// run sends one request of the given kind, as listed in testdata/attempts.txt.
func (fx *fixture) run(kind string) error {
	p := fx.pipeline()
	switch kind {
	case "Stream", "Whole":
		return p.Chat(context.Background(), &ChatRequest{Request: fx.request("kingcup-small", kind == "Stream")}, fx)
	}
	r := fx.request("rounds-app", false)
	r.Idempotent = kind == "Plain"
	_, err := p.Plain(context.Background(), &PlainRequest{Request: r, Service: "rounds-app", Method: "POST", Path: "/bookings"})
	return err
}

// checkNoServerRepeats checks that no server was used for more than one attempt.
func (fx *fixture) checkNoServerRepeats(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, s := range fx.servers {
		is.True(!seen[s])
		seen[s] = true
	}
}

func TestResumedStreamHasNoGapAndOneID(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	fx.script = []string{"Truncated Ran 2", "ok"}
	is.NoErr(fx.run("Stream"))
	is.Equal(fx.resumedFrom, []int{0, 2})
	is.Equal(fx.out, []string{"begin kingcup-small", `{"id":"r1","n":1}`, `{"id":"r1","n":2}`, `{"id":"r1","n":3}`, `{"id":"r1","n":4}`})
	is.Equal(fx.bills[0].CompletionTokens, answerTokens)
}

func TestRecheckRefusesRequest(t *testing.T) {
	for name, c := range map[string]struct {
		change func(doc *configuration.Document)
		reason call.Reason
	}{
		"withdrawn":  {func(d *configuration.Document) { d.Models[0].Versions[0].State = configuration.VersionWithdrawn }, call.ReasonVersionWithdrawn},
		"disallowed": {func(d *configuration.Document) { d.Customers[0].Allowed = nil }, call.ReasonNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t)
			fx.script = []string{"ok"}
			fx.onBeforeWrite = func(fx *fixture) {
				doc := fx.board.Configuration.Get().Clone()
				c.change(doc)
				fx.board.Configuration.Publish(doc)
			}
			r := refusalOf(t, fx.run("Stream"))
			is.Equal(r.Reason, c.reason)
			is.Equal(r.State, call.NotRun)
			is.Equal(len(fx.servers), 0)
			is.Equal(len(fx.bills), 0)
		})
	}
}

func TestRecheckMovesRequest(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	fx.script = []string{"ok"}
	fx.onBeforeWrite = func(fx *fixture) {
		doc := fx.board.Configuration.Get().Clone()
		doc.DataCentre("gulberg").Out = true
		fx.board.Configuration.Publish(doc)
	}
	is.NoErr(fx.run("Stream"))
	is.Equal(len(fx.servers), 1)
	is.True(fx.servers[0] != "kingcup-llm-gulberg")
}

func TestUnconfirmedInstanceSendsNothing(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	fx.script = []string{"ok"}
	fx.onBeforeWrite = func(fx *fixture) {
		fx.board.Confirmation.Publish(&board.Confirmation{Ready: true, ValidUntil: fx.clock.Now()})
	}
	r := refusalOf(t, fx.run("Stream"))
	is.Equal(r.Reason, call.ReasonNotReady)
	is.Equal(r.State, call.NotRun)
	is.Equal(len(fx.servers), 0)
}

var errCallerDisconnected = errors.New("caller hung up")

func TestDisconnectedCallerIsBilledForGeneratedTokens(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	fx.script = []string{"ok"}
	fx.disconnectAfter = 2
	r := refusalOf(t, fx.run("Stream"))
	is.Equal(r.State, call.Ran)
	is.Equal(len(fx.servers), 1) // the stream is cancelled and not resumed at another server
	is.Equal(len(fx.bills), 1)
	is.Equal(fx.bills[0].CompletionTokens, 3) // the third had been generated
}

func TestClaims(t *testing.T) {
	for state, want := range map[ledger.ClaimState]call.Reason{
		"Out": call.ReasonClaimUnavailable, ledger.ClaimDuplicate: call.ReasonDuplicate, ledger.ClaimMismatch: call.ReasonBodyMismatch,
	} {
		is := is.New(t)
		fx := newFixture(t)
		fx.script = []string{"ok"}
		fx.claims["r1"] = state
		r := refusalOf(t, fx.run("Once"))
		is.Equal(r.Reason, want)
		is.Equal(len(fx.servers), 0)
	}
}

// TestUndecidedClaimIsNotReportedAsNotRun guards against reporting NotRun to a caller
// that sent an idempotency key while the ledger is unavailable: an earlier request
// with the same key may have run.
func TestUndecidedClaimIsNotReportedAsNotRun(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		is := is.New(t)
		fx := newFixture(t)
		fx.claims["r1"] = "Out"
		r := fx.request("rounds-app", false)
		r.Idempotent, r.HasIdempotencyKey = false, keyed
		_, err := fx.pipeline().Plain(context.Background(), &PlainRequest{Request: r, Service: "rounds-app", Method: "POST", Path: "/bookings"})
		is.Equal(refusalOf(t, err).State == call.NotRun, !keyed)
	}
}

// TestUnstreamedAnswerIsBoundByDeadline guards against an attempt without streaming
// that outlasts its request: on a silent connection no progress limit applies.
func TestUnstreamedAnswerIsBoundByDeadline(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	fx.script = []string{"ok"}
	is.NoErr(fx.run("Whole"))
	is.Equal(fx.unstreamedLimit, time.Minute)
}

func TestCascadeEscalatesUnderOneBill(t *testing.T) {
	is := is.New(t)
	for _, passes := range []bool{true, false} {
		fx := newFixture(t)
		fx.script = []string{"ok"}
		fx.judgePasses = passes
		fx.plannedSteps = cascade.Plan{Steps: []cascade.Step{{Model: "kingcup-small", Judge: true}, {Model: "kingcup-large"}}}
		is.NoErr(fx.pipeline().Chat(context.Background(), &ChatRequest{Request: fx.request("auto", true)}, fx))
		is.Equal(len(fx.bills), 1)
		model, steps, tokens := "kingcup-small", 1, answerTokens
		if !passes {
			model, steps, tokens = "kingcup-large", 2, 2*answerTokens
		}
		is.Equal(fx.out[0], "begin "+model)
		is.Equal(len(fx.out), 1+answerTokens)
		is.Equal(fx.bills[0].Steps, steps)
		is.Equal(fx.bills[0].CompletionTokens, tokens)
		is.Equal(fx.rated[0].FirstModel, "kingcup-small")
	}
}
