// Package rating is a stand-in for the service that rates answers. It reads
// the mark that the engine stand-in puts into its answers, so that its ratings
// are true but for the noise that faults add.
package rating

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/standin/engine"
	"github.com/kingcupyard/kingcupyard/internal/standin/host"
)

// pageLimit is how many ratings one answer carries.
const pageLimit = 1000

// Settings describe the rating service.
type Settings struct {
	// Delay is how long after an answer its rating appears.
	Delay time.Duration
	// JudgeDuration is how long the judging of one answer takes.
	JudgeDuration time.Duration
	// Keep is how many ratings are kept for each reporter.
	Keep int
	Seed uint64
}

// Faults are the faults of the rating service. Silence is a single event.
type Faults struct {
	// Stopped takes answers and rates none.
	Stopped bool
	// Down answers 503.
	Down bool
	// Hang accepts requests and never answers.
	Hang bool
	// Silence makes the connections that are open now silent for good.
	Silence bool
	// LossShare is the share of ratings lost, 0 to 1.
	LossShare float64
	// NoiseShare is the share of ratings and judgements turned round.
	NoiseShare float64
	// DelayMilliseconds is added to the delay of each rating.
	DelayMilliseconds int
}

// Rating is one rated answer.
type Rating struct {
	Sequence  uint64
	RequestID string `json:"RequestId"`
	Model     string
	Version   string
	Customer  string
	Class     string
	Pass      bool
	Score     float64
	At        time.Time
}

// Service is the rating service.
type Service struct {
	settings Settings
	clock    clockwork.Clock
	host     *host.Host
	faults   host.Faults[Faults]

	mu      sync.Mutex
	random  *rand.Rand
	byOwner map[string][]Rating
	next    uint64
}

// Option changes how a rating service is built.
type Option func(*Service)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(s *Service) { s.clock = clock } }

// New returns a rating service that is not listening yet.
func New(settings Settings, opts ...Option) *Service {
	if settings.Keep == 0 {
		settings.Keep = 20000
	}
	s := &Service{
		settings: settings, clock: clockwork.NewRealClock(), host: host.New(),
		random: rand.New(rand.NewPCG(settings.Seed, 1)), byOwner: map[string][]Rating{}, next: 1,
	}
	for _, opt := range opts {
		opt(s)
	}
	s.faults.OnChange = func(f *Faults) {
		s.host.SetHang(f.Hang)
		if f.Silence {
			s.host.Silence()
			f.Silence = false
		}
	}
	s.host.Handle("POST /ratings", s.whenUp(s.serveReport))
	s.host.Handle("GET /ratings", s.whenUp(s.serveRatings))
	s.host.Handle("POST /judge", s.whenUp(s.serveJudge))
	s.host.Control("/faults", &s.faults)
	return s
}

// Start listens on address and returns the address bound.
func (s *Service) Start(address string) (string, error) { return s.host.Start(address) }

// Close stops the service.
func (s *Service) Close() { s.host.Close() }

// SetFaults changes the faults in force.
func (s *Service) SetFaults(change func(*Faults)) { s.faults.Update(change) }

func (s *Service) whenUp(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.faults.Get().Down {
			host.Fail(w, http.StatusServiceUnavailable, "down by fault")
			return
		}
		handler(w, r)
	}
}

// report is the body of POST /ratings and, without the reporter, POST /judge.
type report struct {
	RequestID string `json:"RequestId"`
	Reporter  string
	Model     string
	Version   string
	Customer  string
	Class     string
	Prompt    string
	Answer    string
}

// judge rates an answer; the lock must be held.
func (s *Service) judge(answer string, noise float64) (pass bool, score float64) {
	words := strings.Fields(answer)
	pass = len(words) > 0 && !strings.HasSuffix(words[0], engine.MarkFail)
	if s.random.Float64() < noise {
		pass = !pass
	}
	if pass {
		return true, 0.75 + s.random.Float64()/4
	}
	return false, s.random.Float64() / 4
}

func (s *Service) serveReport(w http.ResponseWriter, r *http.Request) {
	var in report
	if err := host.Decode(r, &in); err != nil {
		host.Fail(w, http.StatusBadRequest, "%v", err)
		return
	}
	f := s.faults.Get()
	s.mu.Lock()
	if !f.Stopped && s.random.Float64() >= f.LossShare {
		s.rate(in, f)
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
}

func (s *Service) rate(in report, f Faults) {
	pass, score := s.judge(in.Answer, f.NoiseShare)
	delay := s.settings.Delay + time.Duration(f.DelayMilliseconds)*time.Millisecond
	list := append(s.byOwner[in.Reporter], Rating{
		Sequence: s.next, RequestID: in.RequestID, Model: in.Model, Version: in.Version,
		Customer: in.Customer, Class: in.Class, Pass: pass, Score: score, At: s.clock.Now().Add(delay),
	})
	s.next++
	if len(list) > s.settings.Keep {
		list = list[len(list)-s.settings.Keep:]
	}
	s.byOwner[in.Reporter] = list
}

// ratingPage is the answer to GET /ratings.
type ratingPage struct {
	Ratings []Rating
}

func (s *Service) serveRatings(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	page := ratingPage{Ratings: []Rating{}}
	s.mu.Lock()
	now := s.clock.Now()
	for _, rating := range s.byOwner[query.Get("reporter")] {
		if rating.Sequence <= after {
			continue
		}
		if rating.At.After(now) || len(page.Ratings) >= pageLimit {
			break
		}
		page.Ratings = append(page.Ratings, rating)
	}
	s.mu.Unlock()
	host.JSON(w, http.StatusOK, page)
}

// judgement is the answer to POST /judge.
type judgement struct {
	Pass  bool
	Score float64
}

func (s *Service) serveJudge(w http.ResponseWriter, r *http.Request) {
	var in report
	if err := host.Decode(r, &in); err != nil {
		host.Fail(w, http.StatusBadRequest, "%v", err)
		return
	}
	if s.settings.JudgeDuration > 0 {
		select {
		case <-s.clock.After(s.settings.JudgeDuration):
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	pass, score := s.judge(in.Answer, s.faults.Get().NoiseShare)
	s.mu.Unlock()
	host.JSON(w, http.StatusOK, judgement{pass, score})
}
