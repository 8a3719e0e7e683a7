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
	// ReportStale is how long after its making a report allows new work on a
	// server believed warm.
	ReportStale time.Duration
	// ClockSkew is the largest difference between two machines' clocks.
	ClockSkew time.Duration
	// Transit is the longest time from the last check before a request is
	// sent to its arrival at the server.
	Transit time.Duration
	// MaxRequest is the longest time that a request runs.
	MaxRequest time.Duration
	// Tick is the time between two rounds of asking for credits.
	Tick time.Duration
	// Askers is how many instances ask for credits of one server.
	Askers int
	// Slack is how far the shares of warm servers add up over their
	// concurrency.
	Slack float64
	// SlowFactor is the rise of the time to first token over the server's
	// own history that makes it count as cold; SlowAnswers is how many
	// answers it takes.
	SlowFactor  float64
	SlowAnswers int
	// SuspectFor is how long a suspicion lasts with no further sign.
	SuspectFor time.Duration
}

// DefaultSettings returns the settings that instances use.
func DefaultSettings() Settings {
	return Settings{
		Timing:      keeper.DefaultTiming(),
		ReportStale: 3 * time.Second,
		ClockSkew:   500 * time.Millisecond,
		Transit:     time.Second,
		MaxRequest:  10 * time.Minute,
		Tick:        250 * time.Millisecond,
		Askers:      16,
		Slack:       1.5,
		SlowFactor:  4,
		SlowAnswers: 5,
		SuspectFor:  10 * time.Second,
	}
}

// Quiet is how long a keeper hands out nothing after a server turned cold:
// until no instance believes any more that the server is warm.
func (s Settings) Quiet() time.Duration {
	return s.ReportStale + 2*s.ClockSkew + s.Transit
}

// NoticeBound is how long after a server turned cold with no notice work may
// still start beyond its limit: until the keeper's last report from before is
// stale, and the last credit granted on it has expired.
func (s Settings) NoticeBound() time.Duration {
	return s.Quiet() + s.Timing.CreditValid
}
