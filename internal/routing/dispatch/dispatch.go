// Package dispatch chooses the backend server for each attempt of a forwarded
// request: the one with the lowest predicted time to the first event of the
// answer, plus penalties for recent failures and for leaving the data centre.
// The prediction uses this instance's own requests in flight, the backlog that
// other instances report, the load that servers state in their answers, the
// prompt parts that a server has cached, and the network distance. In a service with many
// servers it looks at a few of them: at random ones, at those that may have the prompt
// cached, and at all only if none of these can take the attempt.
//
// It is built for these load patterns: bursts of long prompts, which are spread
// by pending work rather than by number of requests; a few prompts that recur,
// which stay on the server that has them cached until it is too busy; servers
// that return in cold start; and servers that fail although they report ready.
package dispatch

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/routing/speed"
)

// Settings configures a Dispatcher.
type Settings struct {
	Instance   string
	DataCentre string
	// LocalRoundTrip and RemoteRoundTrip are the network round-trip times within
	// this instance's data centre and to any other.
	LocalRoundTrip  time.Duration
	RemoteRoundTrip time.Duration
	// CrossDataCentreCost is added to the cost of servers in other data centres,
	// since traffic between data centres is paid for: an attempt leaves its data
	// centre only if that saves more than this wait. It is less for a query whose Goal
	// is short.
	CrossDataCentreCost time.Duration
	// FailureCost is the time lost by an attempt that fails. It is weighted with
	// the server's recent failure rate.
	FailureCost time.Duration
	// ColdOverrun and ColdSlack give the limit on the requests that all instances
	// together send to a cold server in a second:
	// Query.ColdRate * ColdOverrun + ColdSlack.
	ColdOverrun float64
	ColdSlack   float64
	// Random returns a random number in [0, n). It chooses the servers that are
	// considered in a large service; nil stands for that of math/rand/v2.
	Random func(n int) int
}

// coldQuotaShare is the fraction of the limit on a cold server that is divided
// among the instances. The rest is headroom for requests that are delayed on the way.
const coldQuotaShare = 0.75

// connectionQuotaShare is the fraction of a server's connections that is divided
// among the instances. The rest is headroom for instances that disagree on the membership.
const connectionQuotaShare = 0.8

// VersionConstraint restricts the versions that a request may run on.
type VersionConstraint struct {
	// Only is the one version allowed, if not empty.
	Only string
	// Except is the one version that is not allowed, if not empty.
	Except string
}

// Allows reports whether the version may be used.
func (v VersionConstraint) Allows(version string) bool {
	return (v.Only == "" || v.Only == version) && (v.Except == "" || v.Except != version)
}

// Query describes an attempt to place and the limits that apply to it.
type Query struct {
	Service string
	// Model is the model to run. It is empty for services without models.
	Model string
	// SizeRank is the model's position among the route's models by size; 0 is
	// the smallest.
	SizeRank    int
	PromptParts []PromptPart
	// OutputTokens is the largest length of the answer.
	OutputTokens int
	// Goal is the time within which callers want the answer, or its first event; 0 if
	// unknown.
	Goal     time.Duration
	Versions VersionConstraint
	// ClosedDataCentres is the set of data centres taken out of service.
	ClosedDataCentres map[string]bool
	ExcludeServers    []string
	// OnlyServers holds the IDs of the servers that may be used, if not empty.
	OnlyServers []string
	// Members lists the names of the instances among which the limits of servers are
	// divided, including this one.
	Members []string
	// KnownFor is for how long all other instances have known this one. Limits on the
	// requests of a window are divided so that this instance has no share before.
	KnownFor time.Duration
	// MaxConnections limits the concurrent requests to one server, over all
	// instances; 0 means no limit. ColdRate is the number of requests per second
	// that a server can take during cold start; 0 means no limit.
	MaxConnections int
	ColdRate       float64
}

// NoServerError reports that no server can take the attempt now.
type NoServerError struct {
	Service string
	// Listed is the number of servers that the service has. The other fields
	// count the servers ruled out, by reason.
	Listed, Draining, Closed, OtherVersion, Excluded, Cold, Full, Limited, Paused int
	// PausedFor is the shortest time for which a server wants no request of this
	// instance; 0 if there are others.
	PausedFor time.Duration
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("no server of %s: %d listed, %d draining, %d in closed data centres, %d of other versions, %d tried before, %d cold, %d full, %d at their limit, %d that asked to wait",
		e.Service, e.Listed, e.Draining, e.Closed, e.OtherVersion, e.Excluded, e.Cold, e.Full, e.Limited, e.Paused)
}

// Dispatcher chooses servers and tracks this instance's requests on them. It is
// safe for concurrent use: placements share no lock but those of single servers and of
// short look-ups.
type Dispatcher struct {
	settings Settings
	cold     atomic.Pointer[coldBounds]
	// scanLimit is the number of servers of a service up to which all of them are
	// considered.
	scanLimit int

	// latest is the roster of the listing that was last used.
	latest atomic.Pointer[roster]
	// mu guards states.
	mu     sync.Mutex
	states map[string]*serverState

	cache   *prefixCache
	others  *otherBacklogs
	prefill *prefillModel
	calls   *callTimes
	speeds  *speed.Estimates
	// meanPrefillTime is the moving average of the predicted prefill time of placed
	// attempts.
	meanPrefillTime atomic.Int64
}

// coldBounds holds ColdOverrun and ColdSlack of the Settings, which can change.
type coldBounds struct{ overrun, slack float64 }

// initialPrefillTime is the meanPrefillTime before the first attempt.
const initialPrefillTime = 100 * time.Millisecond

// New returns a Dispatcher that knows of no requests yet.
func New(settings Settings) *Dispatcher {
	if settings.Random == nil {
		settings.Random = rand.IntN
	}
	d := &Dispatcher{settings: settings, scanLimit: maxScannedServers, states: map[string]*serverState{}, cache: newPrefixCache(), others: newOtherBacklogs(), prefill: newPrefillModel(), calls: newCallTimes(), speeds: speed.New()}
	d.meanPrefillTime.Store(int64(initialPrefillTime))
	d.SetColdBounds(settings.ColdOverrun, settings.ColdSlack)
	return d
}

// Assignment is an attempt that has been placed on a server. The caller must call
// Done once when the attempt has ended.
type Assignment struct {
	Server *backend.Server
	// PredictedWait is the predicted time to the first event of the answer.
	PredictedWait time.Duration
	// CachedTokens is the number of prompt tokens that the server probably has
	// cached.
	CachedTokens int

	dispatcher     *Dispatcher
	state          *serverState
	query          *Query
	work           time.Duration
	uncachedTokens int
	serverIdle     bool
	// pace and distance are those of the server, as of the placement. slotFree is set if
	// the attempt is a call that was predicted to find a slot free.
	pace           float64
	distance       time.Duration
	slotFree       bool
	firstEventSeen bool
	sent           bool
}

// candidate is a server that may take the attempt.
type candidate struct {
	entry        *entry
	wait         time.Duration
	work         time.Duration
	cachedTokens int
	cost         time.Duration
	distance     time.Duration
	// pace is the expected pace of the server.
	pace float64
	// backlog is the predicted work that waits at the server; meanBacklog is its
	// mean over all candidates.
	backlog     time.Duration
	meanBacklog time.Duration
	// slotFree is set if a call to a service without models is predicted to find a slot
	// free.
	slotFree bool
}

// maxPlacementTries bounds the choices of one placement. Another one is needed if
// concurrent placements have used up what the chosen server takes.
const maxPlacementTries = 8

// Place chooses a server and counts the attempt as in flight there. The error is
// a *NoServerError.
func (d *Dispatcher) Place(l *backend.Listing, q *Query, now time.Time) (*Assignment, error) {
	prompt := newPromptKeys(q)
	for tries := 1; ; tries++ {
		c, err := d.choose(l, q, &prompt, now)
		if err != nil {
			return nil, err
		}
		a := &Assignment{
			Server: c.best.entry.server, PredictedWait: c.best.wait, CachedTokens: c.best.cachedTokens, dispatcher: d, state: c.best.entry.state, query: q,
			work: c.best.work, pace: c.best.pace, distance: c.best.distance, slotFree: c.best.slotFree, uncachedTokens: tokens(q.PromptParts) - c.best.cachedTokens,
		}
		if c.begin(a) {
			d.recordPlacement(&c)
			return a, nil
		}
		if tries == maxPlacementTries {
			return nil, c.none
		}
	}
}

// begin counts the attempt as in flight at its server. It reports false if the server is
// no longer eligible: what it takes may have been used up since it was chosen.
func (c *choice) begin(a *Assignment) bool {
	st := a.state
	st.mu.Lock()
	defer st.mu.Unlock()
	if !c.isEligible(a.Server, st) {
		return false
	}
	a.serverIdle = st.ownBacklog == 0 && st.decayedOtherLoad(c.now) < 1
	st.inFlight++
	st.ownBacklog += a.work
	st.awaitingFirstEvent[a] = c.now
	st.sends.planned++
	return true
}

// recordPlacement records that the chosen server will have the prompt cached.
func (d *Dispatcher) recordPlacement(c *choice) {
	if c.query.Model == "" {
		return
	}
	d.cache.store(c.best.entry, c.prompt, c.now)
	mean := time.Duration(d.meanPrefillTime.Load())
	d.meanPrefillTime.Store(int64(mean + (c.best.work-mean)/16))
}

// Prediction is the outlook for an attempt that has not been placed.
type Prediction struct {
	// Wait is the predicted time to the first event of the answer at the best
	// server, and PrefillTime the predicted time that it takes to process the prompt.
	Wait        time.Duration
	PrefillTime time.Duration
	// MeanBacklog is the predicted work that waits at a server, averaged over the
	// servers that may take the attempt.
	MeanBacklog time.Duration
}

// Predict returns the outlook for an attempt at the server that Place would
// choose, without placing it. The error is a *NoServerError.
func (d *Dispatcher) Predict(l *backend.Listing, q *Query, now time.Time) (Prediction, error) {
	prompt := newPromptKeys(q)
	c, err := d.choose(l, q, &prompt, now)
	return Prediction{Wait: c.best.wait, PrefillTime: c.best.work, MeanBacklog: c.best.meanBacklog}, err
}

// sharedTokens returns the number of tokens that a prompt's preferred server is
// expected to have cached: all parts but the last, which other prompts share.
func sharedTokens(parts []PromptPart) int { return tokens(parts[:len(parts)-1]) }

func tokens(parts []PromptPart) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// Work returns the predicted time that the server needs for the attempt before the first
// event of the answer.
func (a *Assignment) Work() time.Duration { return a.work }

// StillEligible reports whether the server may still take the attempt: it is
// listed with the same address and run, usable, in an open data centre and of an
// allowed version, and hasn't said that it doesn't want it.
func (a *Assignment) StillEligible(l *backend.Listing, versions VersionConstraint, closed map[string]bool, now time.Time) bool {
	s := l.ByID[a.Server.ID]
	return s != nil && s.Address == a.Server.Address && s.StartedAt == a.Server.StartedAt && s.IsUsable(now) &&
		!closed[s.DataCentre] && versions.Allows(s.Version) && !a.isUnwanted(now)
}

// Send counts the attempt as sent now, right before it is. It reports false if the server's
// limit or cold start doesn't allow it any more: since the placement the server may have
// turned cold, or this instance may have lost its share. l is the newest listing and q as for
// Place.
func (a *Assignment) Send(l *backend.Listing, q *Query, now time.Time) bool {
	s := l.ByID[a.Server.ID]
	c := choice{Dispatcher: a.dispatcher, query: q, now: now}
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.unplan()
	if s == nil || s.IsCold(now) && !c.withinColdQuota(s, a.state) || !c.withinLimit(s, a.state) {
		return false
	}
	a.state.sends.add(now)
	return true
}

// unplan ends the time for which the attempt counts although it hasn't been sent. The caller
// holds the state's lock.
func (a *Assignment) unplan() {
	if !a.sent {
		a.sent = true
		a.state.sends.planned--
	}
}

// isUnwanted reports whether the server has said since the placement that it doesn't want
// the attempt.
func (a *Assignment) isUnwanted(now time.Time) bool {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return a.state.notice.notice.Leaving || a.state.notice.isPaused(now)
}

// RecordFirstEvent records that the first event of the answer arrived after the
// given time. It has no effect after the first call or after Done.
func (a *Assignment) RecordFirstEvent(after time.Duration) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if a.firstEventSeen {
		return
	}
	a.firstEventSeen = true
	a.state.ownBacklog -= a.work
	delete(a.state.awaitingFirstEvent, a)
	a.state.slowness.observe(after, a.PredictedWait)
	if a.query.Model == "" && a.slotFree {
		a.dispatcher.calls.observe(a.query.Service, time.Duration(float64(max(0, after-a.distance))/a.pace))
	}
	if a.serverIdle && a.query.Model != "" {
		a.dispatcher.prefill.observe(a.query.Model, a.query.SizeRank, a.CachedTokens, a.uncachedTokens, time.Duration(float64(after)/a.pace))
	}
}

// RecordLoad records the load that the server stated in its answer, which was true at the
// given time.
func (a *Assignment) RecordLoad(l backend.Load, at time.Time) {
	a.dispatcher.speeds.Observe(a.Server.ID, l.Pace, at)
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if l.Running < 0 && l.Waiting < 0 || at.Before(a.state.otherLoadAt) {
		return
	}
	a.state.otherLoad = max(0, float64(max(0, l.Running)+max(0, l.Waiting)-a.state.inFlight))
	a.state.otherLoadAt = at
}

// Result is how an attempt ended, as far as it tells about the server.
type Result int

// The results of attempts.
const (
	// Succeeded means that the server answered.
	Succeeded Result = iota
	// Inconclusive means that the attempt tells nothing about the server.
	Inconclusive
	// ServerFailed means that the server itself caused the failure.
	ServerFailed
	// NoAnswer means that the server did not answer at all.
	NoAnswer
)

// Done records the result of the attempt and removes it from the requests in
// flight.
func (a *Assignment) Done(result Result, now time.Time) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.state.inFlight--
	a.unplan()
	if !a.firstEventSeen {
		a.firstEventSeen = true
		a.state.ownBacklog -= a.work
		delete(a.state.awaitingFirstEvent, a)
	}
	a.state.failures.observe(result, now)
}

// Speeds returns what is known of the servers' speeds.
func (d *Dispatcher) Speeds() *speed.Estimates { return d.speeds }

// SetColdBounds sets ColdOverrun and ColdSlack of the Settings.
func (d *Dispatcher) SetColdBounds(overrun, slack float64) {
	d.cold.Store(&coldBounds{overrun, slack})
}
