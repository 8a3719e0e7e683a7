// Package capacity keeps the number of requests at each backend server within
// the server's limits.
//
// A warm server is limited by this instance's share of its concurrency. A
// server in cold start gets only requests for which the instance holds credits.
// Its keeper, the one instance responsible for the server, grants them to the
// instances. The limit of a cold server therefore holds for the sum over all of
// them.
package capacity

import (
	"expvar"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/keeper"
)

// counters counts refused requests, rejected reports and the outcomes of credit
// requests, by reason.
var counters = expvar.NewMap("RoutingCapacity")

// Settings are the bounds and parameters that the package relies on.
type Settings struct {
	// Timing bounds how long instances can disagree on the keeper of a server.
	Timing keeper.Timing
	// ReportTTL is how long after it was made a report allows new work on a
	// server that is believed to be warm.
	ReportTTL time.Duration
	// MaxClockSkew is the largest difference between the clocks of two
	// machines.
	MaxClockSkew time.Duration
	// MaxTransit is the longest time from the last check before a request is
	// sent until the request reaches the server.
	MaxTransit time.Duration
	// MaxRequestDuration is the longest time that a request runs.
	MaxRequestDuration time.Duration
	// CreditRequestInterval is the interval between two rounds of requests for
	// credits.
	CreditRequestInterval time.Duration
	// MaxCreditRequesters is how many instances may start to request credits of
	// one server.
	MaxCreditRequesters int
	// Oversubscription is the factor by which the instances' shares of a warm
	// server together may exceed its concurrency.
	Oversubscription float64
	// SlowFactor is the ratio of the time to first token to the server's
	// baseline above which an answer is slow. SlowAnswers slow answers in a row
	// make the server count as cold.
	SlowFactor  float64
	SlowAnswers int
	// SuspicionTimeout is how long a server counts as cold after a sign of a
	// restart, if there is no further sign.
	SuspicionTimeout time.Duration
}

// DefaultSettings returns the settings that instances use.
func DefaultSettings() Settings {
	return Settings{
		Timing:                keeper.DefaultTiming(),
		ReportTTL:             3 * time.Second,
		MaxClockSkew:          500 * time.Millisecond,
		MaxTransit:            time.Second,
		MaxRequestDuration:    10 * time.Minute,
		CreditRequestInterval: 250 * time.Millisecond,
		MaxCreditRequesters:   16,
		Oversubscription:      1.5,
		SlowFactor:            4,
		SlowAnswers:           5,
		SuspicionTimeout:      10 * time.Second,
	}
}

// QuietPeriod is how long a keeper grants nothing after a server turned cold:
// until no instance still believes that the server is warm.
func (s Settings) QuietPeriod() time.Duration {
	return s.ReportTTL + 2*s.MaxClockSkew + s.MaxTransit
}

// DetectionBound is how long after a server turned cold without notice work may
// still start beyond its limit: until the keeper's last report from before that
// moment is stale and the last credit granted on that report has expired.
func (s Settings) DetectionBound() time.Duration {
	return s.QuietPeriod() + s.Timing.CreditTTL
}
