// Package plain is a stand-in for a plain service, such as bookings or work
// orders. It executes every call that reaches it, also one that it has
// executed before, and keeps count.
package plain

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/standin/engine"
	"github.com/kingcupyard/kingcupyard/internal/standin/host"
	"github.com/kingcupyard/kingcupyard/internal/standin/observation"
)

// The headers of the plain services' protocol.
const (
	HeaderAttempt  = "X-Attempt-Id"
	HeaderRequest  = "X-Request-Id"
	HeaderCustomer = "X-Customer"
	HeaderRunState = "X-Run-State"
)

// Settings describe one server of a plain service. Zero fields take the
// defaults.
type Settings struct {
	Name       string
	Service    string
	DataCentre string
	// Duration is how long one call takes.
	Duration time.Duration
	// Concurrency is how many calls it runs at once; further ones get 503.
	Concurrency int
}

// Faults are the faults of a plain service. Silence is a single event.
type Faults struct {
	// LoseAnswers is how many of the next calls run and have their answer
	// lost.
	LoseAnswers int
	// Hang accepts calls and never answers; nothing runs.
	Hang bool
	// Silence makes the connections that are open now silent for good.
	Silence bool
	// Refuse answers 503 with nothing run.
	Refuse bool
	// HangAfterRun runs each call and never answers.
	HangAfterRun bool
}

// Executed counts the executions of one request ID.
type Executed struct {
	RequestID string `json:"RequestId"`
	Count     int
}

// uptime is how long a server reports to have run when it starts.
const uptime = time.Hour

// Server is one server of a plain service.
type Server struct {
	settings Settings
	clock    clockwork.Clock
	log      *observation.Log
	host     *host.Host
	faults   host.Faults[Faults]

	mu        sync.Mutex
	running   int
	sequence  uint64
	startedAt time.Time
	executed  map[string]int
}

// Option changes how a server is built.
type Option func(*Server)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(s *Server) { s.clock = clock } }

// WithLog sets the log that observations go to.
func WithLog(log *observation.Log) Option { return func(s *Server) { s.log = log } }

// New returns a server that is not listening yet.
func New(settings Settings, opts ...Option) *Server {
	if settings.Concurrency == 0 {
		settings.Concurrency = 64
	}
	if settings.Duration == 0 {
		settings.Duration = 5 * time.Millisecond
	}
	s := &Server{
		settings: settings, clock: clockwork.NewRealClock(), log: observation.New(0),
		host: host.New(), executed: map[string]int{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.startedAt = s.clock.Now().Add(-uptime)
	s.faults.OnChange = func(f *Faults) {
		s.host.SetHang(f.Hang)
		if f.Silence {
			s.host.Silence()
			f.Silence = false
		}
	}
	s.host.Handle("GET /load", s.serveLoad)
	s.host.Handle("/", s.serveCall)
	s.host.Control("/faults", &s.faults)
	s.host.Control("GET /observations", s.log)
	s.host.Control("GET /executed", http.HandlerFunc(s.serveExecuted))
	return s
}

// Start listens on address and returns the address bound.
func (s *Server) Start(address string) (string, error) { return s.host.Start(address) }

// Close stops the server.
func (s *Server) Close() { s.host.Close() }

// Observations returns the log of what the server saw.
func (s *Server) Observations() *observation.Log { return s.log }

// SetFaults changes the faults in force.
func (s *Server) SetFaults(change func(*Faults)) { s.faults.Update(change) }

// Executed returns how often a request ID was executed.
func (s *Server) Executed(requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed[requestID]
}

// Doubles lists the request IDs that were executed more than once.
func (s *Server) Doubles() []Executed {
	s.mu.Lock()
	defer s.mu.Unlock()
	doubles := []Executed{}
	for id, count := range s.executed {
		if count > 1 {
			doubles = append(doubles, Executed{id, count})
		}
	}
	return doubles
}

// executedPage is the answer to GET /executed.
type executedPage struct {
	Count   int
	Doubles []Executed
}

func (s *Server) serveExecuted(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	count := len(s.executed)
	s.mu.Unlock()
	host.JSON(w, http.StatusOK, executedPage{count, s.Doubles()})
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.sequence++
	report := engine.Report{
		Server: s.settings.Name, At: s.clock.Now(), Sequence: s.sequence, Generation: 1, StartedAt: s.startedAt,
		Running: s.running, Concurrency: s.settings.Concurrency, ColdConcurrency: s.settings.Concurrency, Loaded: []engine.Loaded{},
	}
	s.mu.Unlock()
	host.JSON(w, http.StatusOK, report)
}

// enter takes a call in; it reports false when the server is full.
func (s *Server) enter(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.settings.Concurrency {
		return false
	}
	s.running++
	s.executed[id]++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) observe(r *http.Request, body []byte, kind observation.Kind) {
	s.log.Add(observation.Event{
		At: s.clock.Now(), Kind: kind, Server: s.settings.Name, Service: s.settings.Service, DataCentre: s.settings.DataCentre,
		AttemptID: r.Header.Get(HeaderAttempt), RequestID: r.Header.Get(HeaderRequest),
		Customer: r.Header.Get(HeaderCustomer), Tag: observation.Tag(string(body)), Method: r.Method, Path: r.URL.Path,
	})
}

// done is the body of a successful call.
type done struct {
	Server    string
	RequestID string `json:"RequestId"`
	Method    string
	Path      string
	Echo      string
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequest)
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.faults.Get().Refuse || !s.enter(id) {
		s.observe(r, body, observation.KindRefused)
		w.Header().Set(HeaderRunState, "NotRun")
		host.Fail(w, http.StatusServiceUnavailable, "busy")
		return
	}
	defer s.leave()
	s.observe(r, body, observation.KindStarted)
	<-s.clock.After(s.settings.Duration)
	s.observe(r, body, observation.KindFinished)
	s.loseAnswer(r)
	host.JSON(w, http.StatusOK, done{s.settings.Name, id, r.Method, r.URL.Path, string(body)})
}

// loseAnswer breaks the connection after the call ran, if a fault says so.
func (s *Server) loseAnswer(r *http.Request) {
	lost := false
	s.faults.Update(func(f *Faults) {
		if lost = f.LoseAnswers > 0; lost {
			f.LoseAnswers--
		}
	})
	if lost {
		panic(http.ErrAbortHandler)
	}
	if s.faults.Get().HangAfterRun || s.host.IsSilent(r.Context()) {
		s.host.Block(r)
	}
}
