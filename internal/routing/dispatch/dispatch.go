// Package dispatch chooses the backend server for each attempt of a forwarded
// request: the one with the lowest predicted time to the first event of the
// answer, plus penalties for recent failures and for leaving the data centre.
// The prediction uses this instance's own requests in flight, the backlog that
// other instances report, the load that servers state in their answers, the
// prompt parts that a server has cached, and the network distance.
//
// It is built for these load patterns: bursts of long prompts, which are spread
// by pending work rather than by number of requests; a few prompts that recur,
// which stay on the server that has them cached until it is too busy; servers
// that return in cold start; and servers that fail although they report ready.
package dispatch

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
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
	// centre only if that saves more than this wait.
	CrossDataCentreCost time.Duration
	// FailureCost is the time lost by an attempt that fails. It is weighted with
	// the server's recent failure rate.
	FailureCost time.Duration
	// ColdOverrun and ColdSlack give the limit on the requests that all instances
	// together send to a cold server in a second:
	// Query.ColdRate * ColdOverrun + ColdSlack.
	ColdOverrun float64
	ColdSlack   float64
}

// coldQuotaShare is the fraction of the limit on a cold server that is divided
// among the instances. The rest is headroom for instances that disagree on the
// membership.
const coldQuotaShare = 0.75

// connectionQuotaShare is the fraction of a server's connections that is divided
// among the instances, with the rest as headroom for the same reason.
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
	Versions    VersionConstraint
	// ClosedDataCentres is the set of data centres taken out of service.
	ClosedDataCentres map[string]bool
	ExcludeServers    []string
	// Members lists the names of all instances, including this one.
	Members []string
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
// safe for concurrent use.
type Dispatcher struct {
	settings Settings

	mu     sync.Mutex
	states map[string]*serverState
	cache  *prefixCache
	// peers holds the latest report of each source that reports only its own
	// backlog or its group's, and peersUpdatedAt is when the last one was stored.
	// total is the latest report of the sum over all other instances, and
	// totalSource is its sender.
	peers          map[string]*peerReport
	peersUpdatedAt time.Time
	total          *peerReport
	totalSource    string
	prefill        prefillModel
	// meanPrefillTime is the moving average of the predicted prefill time of placed
	// attempts.
	meanPrefillTime time.Duration
}

// serverState is what this instance has learnt about one server from its own
// requests.
type serverState struct {
	born     int64
	inFlight int
	// ownBacklog is the predicted work of this instance's requests that wait for
	// their first event.
	ownBacklog time.Duration
	// awaitingFirstEvent maps each request that waits for its first event to the
	// time at which it was placed.
	awaitingFirstEvent map[*Assignment]time.Time
	// otherLoad is the number of other instances' requests, as of the load that
	// the server stated at otherLoadAt.
	otherLoad   float64
	otherLoadAt time.Time
	sends       sendLog
	notice      serverNotice
	failures    failureRate
	slowness    slowness
	// unlisted is set while the server isn't listed.
	unlisted bool
}

func newServerState(born int64) *serverState {
	return &serverState{born: born, awaitingFirstEvent: map[*Assignment]time.Time{}}
}

// New returns a Dispatcher that knows of no requests yet.
func New(settings Settings) *Dispatcher {
	return &Dispatcher{settings: settings, states: map[string]*serverState{}, cache: newPrefixCache(), peers: map[string]*peerReport{}, prefill: newPrefillModel(), meanPrefillTime: 100 * time.Millisecond}
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
	firstEventSeen bool
}

// candidate is a server that may take the attempt.
type candidate struct {
	server       *backend.Server
	wait         time.Duration
	work         time.Duration
	cachedTokens int
	cost         time.Duration
	// backlog is the predicted work that waits at the server; meanBacklog is its
	// mean over all candidates.
	backlog     time.Duration
	meanBacklog time.Duration
}

// Place chooses a server and counts the attempt as in flight there. The error is
// a *NoServerError.
func (d *Dispatcher) Place(l *backend.Listing, q *Query, now time.Time) (*Assignment, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	best, err := d.choose(l, q, now)
	if err != nil {
		return nil, err
	}
	st := d.state(best.server)
	a := &Assignment{
		Server: best.server, PredictedWait: best.wait, CachedTokens: best.cachedTokens, dispatcher: d, state: st, query: q,
		work: best.work, uncachedTokens: tokens(q.PromptParts) - best.cachedTokens, serverIdle: st.ownBacklog == 0 && st.decayedOtherLoad(now) < 1,
	}
	st.inFlight++
	st.ownBacklog += best.work
	st.awaitingFirstEvent[a] = now
	st.sends.add(now)
	if q.Model != "" {
		d.cache.store(best.server.ID, q.Model, q.PromptParts, now)
		d.meanPrefillTime += (best.work - d.meanPrefillTime) / 16
	}
	return a, nil
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
	d.mu.Lock()
	defer d.mu.Unlock()
	best, err := d.choose(l, q, now)
	return Prediction{Wait: best.wait, PrefillTime: best.work, MeanBacklog: best.meanBacklog}, err
}

// choose returns the eligible server with the lowest cost.
func (d *Dispatcher) choose(l *backend.Listing, q *Query, now time.Time) (candidate, error) {
	none := &NoServerError{Service: q.Service}
	if l == nil {
		return candidate{}, none
	}
	list := l.ByService[q.Service]
	none.Listed = len(list)
	preferred := preferredServer(list, q)
	d.expirePeers(now)
	var best candidate
	totalBacklog, candidates := time.Duration(0), time.Duration(0)
	for _, s := range list {
		if !d.eligible(s, q, now, none) {
			continue
		}
		c := d.evaluate(s, q, s.ID == preferred, now)
		totalBacklog += c.backlog
		candidates++
		if best.server == nil || c.cost < best.cost {
			best = c
		}
	}
	if best.server == nil {
		if none.Paused < none.Listed {
			none.PausedFor = 0
		}
		return candidate{}, none
	}
	best.meanBacklog = totalBacklog / candidates
	return best, nil
}

// eligible reports whether a server may take the attempt now. If not, it counts
// the reason in none.
func (d *Dispatcher) eligible(s *backend.Server, q *Query, now time.Time, none *NoServerError) bool {
	switch {
	case !s.IsUsable(now) || d.state(s).notice.notice.Leaving:
		none.Draining++
	case d.state(s).notice.isPaused(now):
		left := d.state(s).notice.pausedUntil.Sub(now)
		if none.Paused++; none.Paused == 1 || left < none.PausedFor {
			none.PausedFor = left
		}
	case q.ClosedDataCentres[s.DataCentre]:
		none.Closed++
	case !q.Versions.Allows(s.Version):
		none.OtherVersion++
	case slices.Contains(q.ExcludeServers, s.ID):
		none.Excluded++
	case s.IsCold(now) && !d.withinColdQuota(s, q, now):
		none.Cold++
	case q.MaxConnections > 0 && d.state(s).inFlight >= max(1, int(connectionQuotaShare*float64(q.MaxConnections))/max(1, len(q.Members))):
		none.Full++
	case !d.withinLimit(s, q, now):
		none.Limited++
	default:
		return true
	}
	return false
}

// withinColdQuota reports whether this instance's share of a cold server's
// request rate allows another request now.
func (d *Dispatcher) withinColdQuota(s *backend.Server, q *Query, now time.Time) bool {
	if q.ColdRate <= 0 {
		return true
	}
	limit := int(coldQuotaShare * (q.ColdRate*d.settings.ColdOverrun + d.settings.ColdSlack))
	return d.state(s).sends.recent(now, coldWindow) < Quota(s.ID, d.settings.Instance, q.Members, limit)
}

// evaluate predicts the wait at a server and the cost by which servers are
// compared. preferred marks the server that all instances prefer for the prompt.
func (d *Dispatcher) evaluate(s *backend.Server, q *Query, preferred bool, now time.Time) candidate {
	st := d.state(s)
	c := candidate{server: s, work: plainCallTime}
	if q.Model != "" {
		c.cachedTokens = d.cache.cachedTokens(s.ID, q.Model, q.PromptParts, now)
		if preferred {
			c.cachedTokens = max(c.cachedTokens, sharedTokens(q.PromptParts))
		}
		c.work = d.prefill.estimate(q.Model, q.SizeRank, c.cachedTokens, tokens(q.PromptParts)-c.cachedTokens)
	}
	c.backlog = st.ownBacklog + d.otherBacklog(s.ID, st, now)
	if q.Model == "" {
		// Plain services process calls concurrently.
		c.backlog /= time.Duration(max(1, s.Slots))
	}
	distance := d.settings.LocalRoundTrip
	if s.DataCentre != d.settings.DataCentre {
		distance = d.settings.RemoteRoundTrip
	}
	c.wait = distance + time.Duration(st.slowness.factor()*float64(c.backlog+c.work))
	if q.Model != "" {
		c.wait = max(c.wait, st.longestWait(now))
	}
	c.cost = c.wait + time.Duration(st.failures.rateAt(now)*float64(d.settings.FailureCost))
	if s.DataCentre != d.settings.DataCentre {
		c.cost += d.settings.CrossDataCentreCost
	}
	return c
}

const (
	// plainCallTime is the assumed processing time of a call to a service without
	// models.
	plainCallTime = 50 * time.Millisecond
	// otherLoadWeight is the fraction of another instance's request that still has
	// to be processed before its first event, on average.
	otherLoadWeight = 0.2
)

// preferredServer returns the ID of the server that all instances prefer for a
// prompt, so that prompts with the same shared parts go to the same server's cache.
// It uses rendezvous hashing on the model and the last part that other prompts share,
// which is the last but one. It returns "" for a prompt without shared parts.
func preferredServer(list []*backend.Server, q *Query) string {
	if len(q.PromptParts) < 2 {
		return ""
	}
	part := q.Model + "\x00" + q.PromptParts[len(q.PromptParts)-2].ID
	preferred, highest := "", uint64(0)
	for _, s := range list {
		if s.State != backend.Ready || q.ClosedDataCentres[s.DataCentre] || !q.Versions.Allows(s.Version) {
			continue
		}
		if weight := xxhash.Sum64String(s.ID + "\x00" + part); preferred == "" || weight > highest {
			preferred, highest = s.ID, weight
		}
	}
	return preferred
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

// StillEligible reports whether the server may still take the attempt: it is
// listed with the same address and run, usable, in an open data centre and of an
// allowed version, and hasn't said that it doesn't want it.
func (a *Assignment) StillEligible(l *backend.Listing, versions VersionConstraint, closed map[string]bool, now time.Time) bool {
	s := l.ByID[a.Server.ID]
	return s != nil && s.Address == a.Server.Address && s.StartedAt == a.Server.StartedAt && s.IsUsable(now) &&
		!closed[s.DataCentre] && versions.Allows(s.Version) && !a.isUnwanted(now)
}

// isUnwanted reports whether the server has said since the placement that it doesn't want
// the attempt.
func (a *Assignment) isUnwanted(now time.Time) bool {
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	return a.state.notice.notice.Leaving || a.state.notice.isPaused(now)
}

// RecordFirstEvent records that the first event of the answer arrived after the
// given time. It has no effect after the first call or after Done.
func (a *Assignment) RecordFirstEvent(after time.Duration) {
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.firstEventSeen {
		return
	}
	a.firstEventSeen = true
	a.state.ownBacklog -= a.work
	delete(a.state.awaitingFirstEvent, a)
	a.state.slowness.observe(after, a.PredictedWait)
	if a.serverIdle && a.query.Model != "" {
		d.prefill.observe(a.query.Model, a.query.SizeRank, a.CachedTokens, a.uncachedTokens, after)
	}
}

// RecordLoad records the load that the server stated in its answer.
func (a *Assignment) RecordLoad(running, waiting int, now time.Time) {
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	a.state.otherLoad = max(0, float64(running+waiting-a.state.inFlight))
	a.state.otherLoadAt = now
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
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	a.state.inFlight--
	if !a.firstEventSeen {
		a.firstEventSeen = true
		a.state.ownBacklog -= a.work
		delete(a.state.awaitingFirstEvent, a)
	}
	a.state.failures.observe(result, now)
}

// SetColdBounds sets ColdOverrun and ColdSlack of the Settings.
func (d *Dispatcher) SetColdBounds(overrun, slack float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings.ColdOverrun, d.settings.ColdSlack = overrun, slack
}

// state returns the state of a server. A restarted server gets a new one.
func (d *Dispatcher) state(s *backend.Server) *serverState {
	st := d.states[s.ID]
	if st == nil || st.born != s.StartedAt {
		st = newServerState(s.StartedAt)
		d.states[s.ID] = st
	}
	return st
}

// PruneServers drops the state of servers that are no longer listed and have none
// of this instance's requests in flight. A server that has given a notice keeps its state
// for noticeMemory: its entry may come back.
func (d *Dispatcher) PruneServers(l *backend.Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, st := range d.states {
		st.unlisted = l.ByID[id] == nil
		if st.unlisted && st.inFlight == 0 && st.notice == (serverNotice{}) {
			delete(d.states, id)
		}
	}
}
