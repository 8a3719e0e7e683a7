// Package capacity keeps work within what each backend server bears. Warm
// servers are limited by a share of their concurrency; servers in cold start
// take work only under credits that their keeper hands out, so that the limit
// holds for the sum over all instances.
package capacity

import (
	"expvar"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/keeper"
)

// counters counts refusals, bad reports and credit outcomes by reason.
var counters = expvar.NewMap("RoutingCapacity")

// Settings bounds what the package relies on.
type Settings struct {
	// Timing bounds the disagreement on who keeps a server.
	Timing keeper.Timing
	// ReportTTL is how long after its making a report allows new work on a
	// server believed warm.
	ReportTTL time.Duration
	// MaxClockSkew is the largest difference between two machines' clocks.
	MaxClockSkew time.Duration
	// MaxTransit is the longest time from the last check before a request is
	// sent to its arrival at the server.
	MaxTransit time.Duration
	// MaxRequestDuration is the longest time that a request runs.
	MaxRequestDuration time.Duration
	// Tick is the time between two rounds of asking for credits.
	Tick time.Duration
	// MaxAskers is how many instances ask for credits of one server.
	MaxAskers int
	// Oversubscription is how far the shares of warm servers add up over their
	// concurrency.
	Oversubscription float64
	// SlowFactor is the rise of the time to first token over the server's
	// own history that makes it count as cold; SlowAnswers is how many
	// answers it takes.
	SlowFactor  float64
	SlowAnswers int
	// SuspicionTimeout is how long a suspicion lasts with no further sign.
	SuspicionTimeout time.Duration
}

// DefaultSettings returns the settings that instances use.
func DefaultSettings() Settings {
	return Settings{
		Timing:             keeper.DefaultTiming(),
		ReportTTL:          3 * time.Second,
		MaxClockSkew:       500 * time.Millisecond,
		MaxTransit:         time.Second,
		MaxRequestDuration: 10 * time.Minute,
		Tick:               250 * time.Millisecond,
		MaxAskers:          16,
		Oversubscription:   1.5,
		SlowFactor:         4,
		SlowAnswers:        5,
		SuspicionTimeout:   10 * time.Second,
	}
}

// QuietPeriod is how long a keeper hands out nothing after a server turned cold:
// until no instance believes any more that the server is warm.
func (s Settings) QuietPeriod() time.Duration {
	return s.ReportTTL + 2*s.MaxClockSkew + s.MaxTransit
}

// DetectionBound is how long after a server turned cold with no notice work may
// still start beyond its limit: until the keeper's last report from before is
// stale, and the last credit granted on it has expired.
func (s Settings) DetectionBound() time.Duration {
	return s.QuietPeriod() + s.Timing.CreditValid
}
