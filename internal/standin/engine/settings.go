// Package engine is a stand-in for a model engine: continuous batching, a
// prefix cache in limited memory, cold start, a lagged load report, orders,
// and faults that are set while it runs.
package engine

import (
	"time"
)

// Loaded is one version that an engine runs.
type Loaded struct {
	Model   string
	Version string
}

// String returns MODEL@VERSION.
func (l Loaded) String() string { return l.Model + "@" + l.Version }

// Settings describe one engine. Zero fields take the defaults.
type Settings struct {
	Name       string
	Service    string
	DataCentre string
	Loaded     []Loaded
	// Concurrency is how many requests it runs at once when warm.
	Concurrency int
	// ColdConcurrency is how many it bears in cold start.
	ColdConcurrency int
	// QueueLimit is how many requests may wait.
	QueueLimit int
	// ColdDuration is how long a cold start lasts.
	ColdDuration time.Duration
	// StartsWarm skips the cold start of the first generation.
	StartsWarm bool
	// ColdFactor multiplies every duration while it is cold.
	ColdFactor float64
	// FallOverDuration is how long it refuses after an overload while cold.
	FallOverDuration time.Duration
	// FirstToken is the time to first token with the whole prompt cached.
	FirstToken time.Duration
	// PrefillPerBlock is the time added for each prompt block not cached.
	PrefillPerBlock time.Duration
	// TokenInterval is the time between tokens at a batch of one.
	TokenInterval time.Duration
	// BatchSlope is the share by which each further request in the batch
	// lengthens the token interval.
	BatchSlope float64
	// CacheBlocks is the size of the prefix cache.
	CacheBlocks int
	// CacheEventLag is how late cache events are published.
	CacheEventLag time.Duration
	// ReportInterval is the age that a load report may reach.
	ReportInterval time.Duration
	// LoadDuration is how long an order to load a version takes.
	LoadDuration time.Duration
	// FencingChecked makes it refuse orders with an old fencing number.
	FencingChecked bool
	// DefaultTokens is the length of an answer with no max_tokens.
	DefaultTokens int
	// Quality is the share of answers that pass, by MODEL@VERSION or
	// MODEL@VERSION/CLASS; the longer name goes first, and 1 is assumed.
	Quality map[string]float64
}

// Faults are the faults of an engine. TurnCold and Silence are single events.
type Faults struct {
	// TurnCold makes a warm server cold with no warning.
	TurnCold bool
	// Silence makes the connections that are open now silent for good.
	Silence bool
	// Hang accepts requests and never answers.
	Hang bool
	// Refuse answers 503 with nothing run.
	Refuse bool
	// CrossAnswers sends answers under another attempt's ID.
	CrossAnswers bool
	// DropCacheEvents loses cache events, which leaves gaps.
	DropCacheEvents bool
	// BreakAfterTokens breaks each stream after so many tokens, if positive.
	BreakAfterTokens int
	// StallAfterTokens stops each stream after so many tokens, if positive,
	// and keeps its connection open.
	StallAfterTokens int
	// SlowFactor multiplies every duration, if positive.
	SlowFactor float64
	// FailEvery answers each Nth request with 500 after it ran, if positive.
	FailEvery int
	// Quality replaces the quality of the settings, name by name.
	Quality map[string]float64
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.Name, "engine")
	setDefault(&s.Concurrency, 8)
	setDefault(&s.ColdConcurrency, 2)
	setDefault(&s.QueueLimit, 32)
	setDefault(&s.ColdFactor, 3)
	setDefault(&s.FallOverDuration, 500*time.Millisecond)
	setDefault(&s.FirstToken, 10*time.Millisecond)
	setDefault(&s.PrefillPerBlock, 200*time.Microsecond)
	setDefault(&s.TokenInterval, 2*time.Millisecond)
	setDefault(&s.BatchSlope, 0.05)
	setDefault(&s.CacheBlocks, 4096)
	setDefault(&s.CacheEventLag, 200*time.Millisecond)
	setDefault(&s.ReportInterval, 100*time.Millisecond)
	setDefault(&s.LoadDuration, 100*time.Millisecond)
	setDefault(&s.DefaultTokens, 16)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
