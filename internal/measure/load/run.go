package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// progressInterval is the time between progress lines.
const progressInterval = time.Second

// run is one run in progress.
type run struct {
	settings   Settings
	clock      clockwork.Clock
	client     *http.Client
	random     *rand.Rand
	began      time.Time
	histograms histograms
	tally      tally
	inFlight   chan struct{}
	wait       sync.WaitGroup
	next       int

	mu       sync.Mutex
	sessions []*session
}

// session is a conversation whose requests follow one another.
type session struct {
	name   string
	caller Caller
	model  string
	// named sessions send their own name; others echo the token they got.
	named bool
	token string
	turn  int
	busy  bool
}

// Run sends requests until the duration is over or the context ends, waits for
// the answers and returns the report.
func Run(ctx context.Context, settings Settings, clock clockwork.Clock) (Report, error) {
	settings, err := settings.withDefaults()
	if err != nil {
		return Report{}, err
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 512,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	r := &run{
		settings: settings, clock: clock, client: &http.Client{Transport: transport},
		random: rand.New(rand.NewPCG(settings.Seed, 0)), began: clock.Now(),
		histograms: histograms{newHistogram(), newHistogram(), newHistogram()},
		tally:      tally{report: Report{Reasons: map[string]int{}}},
		inFlight:   make(chan struct{}, settings.MaxInFlight),
	}
	stopped := make(chan struct{})
	if settings.Progress != nil {
		go r.reportProgress(stopped)
	}
	r.arrive(ctx)
	r.wait.Wait()
	close(stopped)
	return r.summary(), nil
}

// arrive starts requests at the times of a Poisson process.
func (r *run) arrive(ctx context.Context) {
	end := r.began.Add(r.settings.Duration)
	at := r.began
	for {
		at = at.Add(time.Duration(r.random.ExpFloat64() / r.settings.Rate * float64(time.Second)))
		if !at.Before(end) {
			return
		}
		if wait := at.Sub(r.clock.Now()); wait > 0 {
			select {
			case <-r.clock.After(wait):
			case <-ctx.Done():
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
		r.start(ctx)
	}
}

// start draws one request and sends it.
func (r *run) start(ctx context.Context) {
	r.next++
	caller := r.drawCaller()
	kind := r.drawKind()
	if kind == KindSession && caller.NoSessions {
		kind = KindStreamed
	}
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.tally.add(func(rep *Report) { rep.Dropped++ })
		return
	}
	switch kind {
	case KindSession:
		s := r.drawSession(caller)
		r.launch(ctx, r.chatRequest(s.caller, kind, s), s)
	case KindPlain, KindNonIdempotent:
		q := r.plainRequest(caller, kind)
		if kind == KindNonIdempotent && r.random.Float64() < r.settings.DuplicateShare {
			r.inFlight <- struct{}{}
			twin := q
			twin.outcome.Target = r.pick()
			twin.outcome.Turn = 2
			r.launch(ctx, twin, nil)
		}
		r.launch(ctx, q, nil)
	default:
		r.launch(ctx, r.chatRequest(caller, kind, nil), nil)
	}
}

func (r *run) launch(ctx context.Context, q request, s *session) {
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		out := r.send(ctx, q)
		<-r.inFlight
		if s != nil {
			r.returnSession(s, out)
		}
		r.count(out)
		if r.settings.OnOutcome != nil {
			r.settings.OnOutcome(out)
		}
	}()
}

func (r *run) pick() string {
	if r.settings.Pick != nil {
		return r.settings.Pick()
	}
	return r.settings.Targets[r.next%len(r.settings.Targets)]
}

func (r *run) drawCaller() Caller {
	total := 0.0
	for _, c := range r.settings.Callers {
		total += weight(c)
	}
	x := r.random.Float64() * total
	for _, c := range r.settings.Callers {
		if x -= weight(c); x < 0 {
			return c
		}
	}
	return r.settings.Callers[0]
}

func weight(c Caller) float64 {
	if c.Weight == 0 {
		return 1
	}
	return c.Weight
}

func (r *run) drawKind() Kind {
	m := r.settings.Mix
	x := r.random.Float64() * (m.Streamed + m.Whole + m.Session + m.Plain + m.NonIdempotent)
	for _, k := range []struct {
		kind   Kind
		weight float64
	}{{KindStreamed, m.Streamed}, {KindWhole, m.Whole}, {KindSession, m.Session}, {KindPlain, m.Plain}} {
		if x -= k.weight; x < 0 {
			return k.kind
		}
	}
	return KindNonIdempotent
}

func (r *run) drawModel(c Caller) string {
	models := c.Models
	if len(models) == 0 {
		models = r.settings.Models
	}
	if len(models) == 0 {
		return ""
	}
	return models[r.random.IntN(len(models))]
}

// drawSession takes an idle session of the caller up, or begins one.
func (r *run) drawSession(c Caller) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		if !s.busy && s.caller.Key == c.Key {
			s.busy = true
			s.turn++
			return s
		}
	}
	s := &session{
		name: fmt.Sprintf("s%d-%d", r.settings.Seed, r.next), caller: c, model: r.drawModel(c),
		named: r.random.IntN(2) == 0, turn: 1, busy: true,
	}
	r.sessions = append(r.sessions, s)
	return s
}

// returnSession makes a session idle again, at the end of the line, or ends it.
func (r *run) returnSession(s *session, out Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.busy = false
	if out.Token != "" {
		s.token = out.Token
	}
	kept := r.sessions[:0]
	for _, o := range r.sessions {
		if o != s {
			kept = append(kept, o)
		}
	}
	r.sessions = kept
	over := s.turn >= r.settings.SessionTurns || out.Reason == "SessionVersionWithdrawn"
	if !over && (s.named || s.token != "") {
		r.sessions = append(r.sessions, s)
	}
}

func (r *run) newOutcome(kind Kind, caller Caller) Outcome {
	return Outcome{
		Kind: kind, Customer: caller.Customer, Target: r.pick(), Turn: 1,
		RequestID: fmt.Sprintf("load-%d-%d", r.settings.Seed, r.next),
	}
}

func (r *run) chatRequest(caller Caller, kind Kind, s *session) request {
	q := request{outcome: r.newOutcome(kind, caller), caller: caller, method: http.MethodPost, path: "/v1/chat/completions"}
	out := &q.outcome
	out.Model = r.drawModel(caller)
	q.stream = kind == KindStreamed || r.random.IntN(2) == 0 && kind == KindSession
	if s != nil {
		out.Model, out.Session, out.Turn = s.model, s.name, s.turn
		q.session = s.token
		if s.named {
			q.session = s.name
		}
	}
	question := fmt.Sprintf("question %s", out.RequestID)
	out.Tag = tagOf(question)
	out.Asked = r.settings.MinTokens + r.random.IntN(r.settings.MaxTokens-r.settings.MinTokens+1)
	prompt := strings.Repeat("You assist customer "+caller.Customer+". ", r.settings.PromptBytes/24+1)
	body := chatBody{
		Model: out.Model, Stream: q.stream, MaxTokens: out.Asked,
		Messages: []chatMessage{{"system", prompt}, {"user", question}},
	}
	q.body, _ = json.Marshal(body)
	return q
}

// booking is the body of a call to the plain service.
type booking struct {
	Reference string
}

func (r *run) plainRequest(caller Caller, kind Kind) request {
	q := request{outcome: r.newOutcome(kind, caller), caller: caller, method: http.MethodPost}
	q.path = "/services/" + r.settings.Service + r.settings.PlainPath
	if kind == KindNonIdempotent {
		q.path = "/services/" + r.settings.Service + r.settings.NonIdempotentPath
		q.key = q.outcome.RequestID
	}
	q.body, _ = json.Marshal(booking{q.outcome.RequestID})
	q.outcome.Tag = tagOf(string(q.body))
	return q
}

// reportProgress prints a line each second until stopped.
func (r *run) reportProgress(stopped <-chan struct{}) {
	ticker := r.clock.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-ticker.Chan():
			rep := r.summary()
			fmt.Fprintf(r.settings.Progress, "Event=Progress Seconds=%.0f Requests=%d Answered=%d Refused=%d Failed=%d InFlight=%d FirstTokenP95=%s\n",
				rep.Duration.Seconds(), rep.Requests, rep.Answered, rep.Refused, rep.Failed, len(r.inFlight), rep.FirstToken.P95)
		}
	}
}
