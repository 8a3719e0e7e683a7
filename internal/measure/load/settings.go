// Package load sends a seeded, open-loop mix of requests to the callers'
// interface and reports what came back: latencies, refusals by reason, and for
// each request an outcome that checks can be judged from.
package load

import (
	"fmt"
	"io"
	"time"
)

// Kind is the kind of a request.
type Kind string

// The kinds of request.
const (
	KindStreamed      Kind = "Streamed"
	KindWhole         Kind = "Whole"
	KindSession       Kind = "Session"
	KindPlain         Kind = "Plain"
	KindNonIdempotent Kind = "NonIdempotent"
)

// Mix gives the weight of each kind of request.
type Mix struct {
	Streamed      float64
	Whole         float64
	Session       float64
	Plain         float64
	NonIdempotent float64
}

// DefaultMix is used when no weight is set.
var DefaultMix = Mix{Streamed: 40, Whole: 15, Session: 25, Plain: 10, NonIdempotent: 10}

// Caller is one customer as a caller.
type Caller struct {
	Customer string
	Key      string
	// Models are the models it asks for; those of the settings if empty.
	Models []string
	// Weight is its share of the requests; 1 if zero.
	Weight float64
	// Session is false for callers that only send single requests.
	NoSessions bool
}

// Settings describe one run. Zero fields take the defaults.
type Settings struct {
	// Targets are the base URLs or host:port addresses of instances.
	Targets []string
	// Keys are API keys of callers that need no further description.
	Keys    []string
	Callers []Caller
	// Rate is the mean number of arrivals a second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Mix      Mix
	Models   []string
	// Service is the plain service; PlainPath and NonIdempotentPath are paths
	// within it.
	Service           string
	PlainPath         string
	NonIdempotentPath string
	// DuplicateShare is the share of non-idempotent requests that are sent
	// twice under one idempotency key.
	DuplicateShare float64
	// MinTokens and MaxTokens bound the answers asked for.
	MinTokens int
	MaxTokens int
	// SessionTurns is the number of requests of one session.
	SessionTurns int
	// PromptBytes is the length of the system prompt that a caller's requests
	// share.
	PromptBytes int
	// Timeout bounds one request.
	Timeout time.Duration
	// MaxInFlight bounds the requests in flight; arrivals above it are counted
	// as dropped.
	MaxInFlight int
	// Progress gets a line each second, if set.
	Progress io.Writer
	// Pick chooses the target of each request, if set, in place of round
	// robin. An empty choice counts as a refused connection.
	Pick func() string
	// OnSent and OnOutcome are called for each request, if set.
	OnSent    func(Outcome)
	OnOutcome func(Outcome)
}

// SettingError reports a setting that a run can't be made with.
type SettingError struct {
	Field   string
	Value   string
	Allowed string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("load: %s: value %q is not allowed: %s", e.Field, e.Value, e.Allowed)
}

func (s Settings) withDefaults() (Settings, error) {
	if len(s.Targets) == 0 && s.Pick == nil {
		return s, &SettingError{"Targets", "", "one address or more"}
	}
	for _, key := range s.Keys {
		s.Callers = append(s.Callers, Caller{Key: key})
	}
	if len(s.Callers) == 0 {
		return s, &SettingError{"Keys", "", "one API key or more"}
	}
	if s.Rate <= 0 {
		return s, &SettingError{"Rate", fmt.Sprint(s.Rate), "above 0"}
	}
	if s.Duration <= 0 {
		return s, &SettingError{"Duration", s.Duration.String(), "above 0"}
	}
	if s.Mix == (Mix{}) {
		s.Mix = DefaultMix
	}
	setDefault(&s.PlainPath, "/rounds")
	setDefault(&s.NonIdempotentPath, "/bookings")
	setDefault(&s.MinTokens, 8)
	setDefault(&s.MaxTokens, max(32, s.MinTokens))
	setDefault(&s.SessionTurns, 6)
	setDefault(&s.PromptBytes, 1024)
	setDefault(&s.Timeout, 30*time.Second)
	setDefault(&s.MaxInFlight, 4000)
	if s.MinTokens > s.MaxTokens {
		return s, &SettingError{"MinTokens", fmt.Sprint(s.MinTokens), fmt.Sprintf("1 to %d", s.MaxTokens)}
	}
	if s.Service == "" {
		s.Mix.Plain, s.Mix.NonIdempotent = 0, 0
	}
	return s, nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
