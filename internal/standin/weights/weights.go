// Package weights is a stand-in for the platform's weight store, which is
// rate-limited.
package weights

import (
	"net/http"
	"strconv"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/kingcupyard/kingcupyard/internal/standin/host"
)

// Settings describe the weight store. Zero fields take the defaults.
type Settings struct {
	// ReadsPerSecond is the rate; reads above it get 429.
	ReadsPerSecond int
	// Bytes is the length of each version's weights.
	Bytes int
}

// Faults are the faults of the weight store.
type Faults struct {
	// Down answers 503.
	Down bool
	// Hang accepts requests and never answers.
	Hang bool
}

// Store is the weight store.
type Store struct {
	settings Settings
	clock    clockwork.Clock
	host     *host.Host
	faults   host.Faults[Faults]
	limit    *rate.Limiter
}

// Option changes how a weight store is built.
type Option func(*Store)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(s *Store) { s.clock = clock } }

// New returns a weight store that is not listening yet.
func New(settings Settings, opts ...Option) *Store {
	if settings.ReadsPerSecond == 0 {
		settings.ReadsPerSecond = 4
	}
	if settings.Bytes == 0 {
		settings.Bytes = 64 << 10
	}
	s := &Store{settings: settings, clock: clockwork.NewRealClock(), host: host.New()}
	for _, opt := range opts {
		opt(s)
	}
	s.limit = rate.NewLimiter(rate.Limit(settings.ReadsPerSecond), settings.ReadsPerSecond)
	s.faults.OnChange = func(f *Faults) { s.host.SetHang(f.Hang) }
	s.host.Handle("GET /weights/{model}/{version}", s.serveWeights)
	s.host.Control("/faults", &s.faults)
	return s
}

// Start listens on address and returns the address bound.
func (s *Store) Start(address string) (string, error) { return s.host.Start(address) }

// Close stops the weight store.
func (s *Store) Close() { s.host.Close() }

// SetFaults changes the faults in force.
func (s *Store) SetFaults(change func(*Faults)) { s.faults.Update(change) }

func (s *Store) serveWeights(w http.ResponseWriter, _ *http.Request) {
	if s.faults.Get().Down {
		host.Fail(w, http.StatusServiceUnavailable, "down by fault")
		return
	}
	if !s.limit.AllowN(s.clock.Now(), 1) {
		w.Header().Set("Retry-After", "1")
		host.Fail(w, http.StatusTooManyRequests, "more than %d reads a second", s.settings.ReadsPerSecond)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(s.settings.Bytes))
	_, _ = w.Write(make([]byte, s.settings.Bytes))
}
