// Package dispatch chooses the backend server for an attempt: the one with the
// shortest predicted time to the first part of the answer, from what this
// instance has under way, the load that servers state in their answers, the
// prompt's parts that a server holds, distance, and how servers failed lately.
//
// Load patterns that it answers: bursts of long prompts (they spread by the
// work that is pending, not by their number), few prompts asked for again and
// again (they stay where they are held, until that server is too busy),
// servers that return cold, and servers that fail while they seem healthy.
package dispatch

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
)

// Settings of a dispatcher.
type Settings struct {
	Instance   string
	DataCentre string
	// LocalRoundTrip and Far are the round trips within a data centre and beyond.
	LocalRoundTrip  time.Duration
	RemoteRoundTrip time.Duration
	// CrossDataCentreCost is the wait that one avoids by paying for the bytes
	// between data centres.
	CrossDataCentreCost time.Duration
	// FailureCost is the time lost by an attempt that fails.
	FailureCost time.Duration
	// ColdOverrun and ColdSlack widen a cold server's rate to the bound on
	// the sum over all instances.
	ColdOverrun float64
	ColdSlack   float64
}

// coldShare is the part of the bound on cold servers that is dealt out; the
// rest covers instances that disagree on who is a member.
const coldShare = 0.75

// connectionShare is the part of a server's connections that is dealt out to
// the instances, for the same reason.
const connectionShare = 0.8

// VersionConstraint limits the software versions that a request may run on.
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

// Query says what is to be placed.
type Query struct {
	Service string
	// Model is the model to run, empty for services without models.
	Model string
	// SizeRank is the model's position among the route's models, 0 the smallest.
	SizeRank int
	Parts    []PromptPart
	Versions VersionConstraint
	// ClosedDataCentres holds the data centres that are out of service.
	ClosedDataCentres map[string]bool
	ExcludeServers    []string
	// Members are the names of all instances, this one included.
	Members []string
	// MaxConnections and ColdRate are the service's limits on one server.
	MaxConnections int
	ColdRate       float64
}

// NoServerError reports that no server can take the attempt now.
type NoServerError struct {
	Service string
	// Listed is how many servers the service has; the others say why they
	// were passed over.
	Listed, Draining, Closed, OtherVersion, Excluded, Cold, Full int
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("no server of %s: %d listed, %d draining, %d in closed data centres, %d of other versions, %d tried before, %d cold, %d full",
		e.Service, e.Listed, e.Draining, e.Closed, e.OtherVersion, e.Excluded, e.Cold, e.Full)
}

// Dispatcher chooses servers and keeps account of this instance's work.
type Dispatcher struct {
	settings Settings

	mu      sync.Mutex
	servers map[string]*account
	cache   *cache
	// peers holds single sources' words of their work, peersAt is when the last
	// one came. total is the sum that one source, totalOf, told.
	peers   map[string]*peer
	peersAt time.Time
	total   *peer
	totalOf string
	pace    paces
	average time.Duration
}

// account is what this instance knows of one server from its own contact.
type account struct {
	born     int64
	inFlight int
	// pending is the predicted work of requests that wait for their first
	// event.
	pending time.Duration
	// waiting holds when each request that waits for its first event was sent.
	waiting map[*Assignment]time.Time
	// others is the work of other instances as the server last stated it.
	others   float64
	othersAt time.Time
	sends    sends
	failing  failing
	slowness slowness
}

// New returns a dispatcher without work.
func New(settings Settings) *Dispatcher {
	return &Dispatcher{settings: settings, servers: map[string]*account{}, cache: newCache(), peers: map[string]*peer{}, pace: newPaces(), average: 100 * time.Millisecond}
}

// Assignment is one attempt that is placed.
type Assignment struct {
	Server *backend.Server
	// PredictedWait is the predicted time to the first part of the answer.
	PredictedWait time.Duration
	// CachedTokens is how many tokens of the prompt the server is thought to hold.
	CachedTokens int

	dispatcher *Dispatcher
	account    *account
	query      *Query
	work       time.Duration
	fresh      int
	alone      bool
	begun      bool
}

// candidate is a server that may take the attempt.
type candidate struct {
	server *backend.Server
	wait   time.Duration
	work   time.Duration
	held   int
	rank   time.Duration
	// backlog is the work that waits there, crowding its average over all
	// candidates.
	backlog  time.Duration
	crowding time.Duration
}

// Place chooses a server and enters the attempt into the account. The error is
// a *NoServerError.
func (d *Dispatcher) Place(l *backend.Listing, q *Query, now time.Time) (*Assignment, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	best, err := d.choose(l, q, now)
	if err != nil {
		return nil, err
	}
	a := d.account(best.server)
	w := &Assignment{
		Server: best.server, PredictedWait: best.wait, CachedTokens: best.held, dispatcher: d, account: a, query: q,
		work: best.work, fresh: tokens(q.Parts) - best.held, alone: a.pending == 0 && a.decayed(now) < 1,
	}
	a.inFlight++
	a.pending += best.work
	a.waiting[w] = now
	a.sends.add(now)
	if q.Model != "" {
		d.cache.store(best.server.ID, q.Model, q.Parts, now)
		d.average += (best.work - d.average) / 16
	}
	return w, nil
}

// Prediction is what an attempt would meet.
type Prediction struct {
	// Wait is the predicted time to the first part of the answer at the best
	// server, Work the time that the server would read the prompt for.
	Wait        time.Duration
	PrefillTime time.Duration
	// MeanBacklog is how much work waits at a server, on average over those that
	// may take the attempt.
	MeanBacklog time.Duration
}

// Predict returns what an attempt would meet, without placing anything.
func (d *Dispatcher) Predict(l *backend.Listing, q *Query, now time.Time) (Prediction, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	best, err := d.choose(l, q, now)
	return Prediction{Wait: best.wait, PrefillTime: best.work, MeanBacklog: best.crowding}, err
}

func (d *Dispatcher) choose(l *backend.Listing, q *Query, now time.Time) (candidate, error) {
	none := &NoServerError{Service: q.Service}
	if l == nil {
		return candidate{}, none
	}
	list := l.ByService[q.Service]
	none.Listed = len(list)
	home := homeOf(list, q)
	d.forgetPeers(now)
	var best candidate
	crowding, candidates := time.Duration(0), time.Duration(0)
	for _, s := range list {
		if !d.eligible(s, q, now, none) {
			continue
		}
		c := d.rate(s, q, s.ID == home, now)
		crowding += c.backlog
		candidates++
		if best.server == nil || c.rank < best.rank {
			best = c
		}
	}
	if best.server == nil {
		return candidate{}, none
	}
	best.crowding = crowding / candidates
	return best, nil
}

// eligible counts the reason if a server may not take the attempt now.
func (d *Dispatcher) eligible(s *backend.Server, q *Query, now time.Time, none *NoServerError) bool {
	switch {
	case !s.IsUsable(now):
		none.Draining++
	case q.ClosedDataCentres[s.DataCentre]:
		none.Closed++
	case !q.Versions.Allows(s.Version):
		none.OtherVersion++
	case slices.Contains(q.ExcludeServers, s.ID):
		none.Excluded++
	case s.IsCold(now) && !d.mayWarm(s, q, now):
		none.Cold++
	case q.MaxConnections > 0 && d.account(s).inFlight >= max(1, int(connectionShare*float64(q.MaxConnections))/max(1, len(q.Members))):
		none.Full++
	default:
		return true
	}
	return false
}

// mayWarm reports whether this instance's share of a cold server's rate
// allows another request now.
func (d *Dispatcher) mayWarm(s *backend.Server, q *Query, now time.Time) bool {
	if q.ColdRate <= 0 {
		return true
	}
	limit := int(coldShare * (q.ColdRate*d.settings.ColdOverrun + d.settings.ColdSlack))
	return d.account(s).sends.recent(now) < ColdQuota(s.ID, d.settings.Instance, q.Members, limit)
}

// rate predicts the wait at a server and ranks it.
func (d *Dispatcher) rate(s *backend.Server, q *Query, home bool, now time.Time) candidate {
	a := d.account(s)
	c := candidate{server: s, work: plainWork}
	if q.Model != "" {
		c.held = d.cache.held(s.ID, q.Model, q.Parts, now)
		if home {
			c.held = max(c.held, homeShare(q.Parts))
		}
		c.work = d.pace.work(q.Model, q.SizeRank, c.held, tokens(q.Parts)-c.held)
	}
	c.backlog = a.pending + d.elsewhere(s.ID, a, now)
	if q.Model == "" {
		// Calls of plain services run side by side.
		c.backlog /= time.Duration(max(1, s.Slots))
	}
	distance := d.settings.LocalRoundTrip
	if s.DataCentre != d.settings.DataCentre {
		distance = d.settings.RemoteRoundTrip
	}
	c.wait = distance + time.Duration(a.slowness.factor()*float64(c.backlog+c.work))
	if q.Model != "" {
		c.wait = max(c.wait, a.oldest(now))
	}
	c.rank = c.wait + time.Duration(a.failing.now(now)*float64(d.settings.FailureCost))
	if s.DataCentre != d.settings.DataCentre {
		c.rank += d.settings.CrossDataCentreCost
	}
	return c
}

const (
	// plainWork is the time that a service without models works on a call.
	plainWork = 50 * time.Millisecond
	// othersWeight is the part of another instance's request that is still
	// ahead of its first event, on average.
	othersWeight = 0.2
)

// homeOf returns the server that all instances prefer for a prompt, by its
// longest part that other prompts share.
func homeOf(list []*backend.Server, q *Query) string {
	if len(q.Parts) < 2 {
		return ""
	}
	part := q.Model + "\x00" + q.Parts[len(q.Parts)-2].ID
	home, highest := "", uint64(0)
	for _, s := range list {
		if s.State != backend.Ready || q.ClosedDataCentres[s.DataCentre] || !q.Versions.Allows(s.Version) {
			continue
		}
		if weight := xxhash.Sum64String(s.ID + "\x00" + part); home == "" || weight > highest {
			home, highest = s.ID, weight
		}
	}
	return home
}

// homeShare is how many tokens a prompt's home is expected to hold: those of
// the parts that other prompts share.
func homeShare(parts []PromptPart) int { return tokens(parts[:len(parts)-1]) }

func tokens(parts []PromptPart) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// StillEligible reports whether the server may still take work of the query.
func (w *Assignment) StillEligible(l *backend.Listing, versions VersionConstraint, closed map[string]bool, now time.Time) bool {
	s := l.ByID[w.Server.ID]
	return s != nil && s.Address == w.Server.Address && s.StartedAt == w.Server.StartedAt && s.IsUsable(now) &&
		!closed[s.DataCentre] && versions.Allows(s.Version)
}

// RecordFirstEvent notes that the first part of the answer arrived after the time given.
func (w *Assignment) RecordFirstEvent(after time.Duration) {
	d := w.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.begun {
		return
	}
	w.begun = true
	w.account.pending -= w.work
	delete(w.account.waiting, w)
	w.account.slowness.observe(after, w.PredictedWait)
	if w.alone && w.query.Model != "" {
		d.pace.observe(w.query.Model, w.query.SizeRank, w.CachedTokens, w.fresh, after)
	}
}

// RecordLoad notes the load that the server stated in its answer.
func (w *Assignment) RecordLoad(running, waiting int, now time.Time) {
	d := w.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	w.account.others = max(0, float64(running+waiting-w.account.inFlight))
	w.account.othersAt = now
}

// Result says how an attempt ended.
type Result int

// The results of attempts.
const (
	// Succeeded attempts brought an answer.
	Succeeded Result = iota
	// Inconclusive attempts say nothing of the server.
	Inconclusive
	// ServerFailed attempts brought a failure of the server's own.
	ServerFailed
	// NoAnswer attempts brought no answer at all.
	NoAnswer
)

// Done takes the attempt off the account.
func (w *Assignment) Done(result Result, now time.Time) {
	d := w.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	w.account.inFlight--
	if !w.begun {
		w.begun = true
		w.account.pending -= w.work
		delete(w.account.waiting, w)
	}
	w.account.failing.observe(result, now)
}

// SetColdBounds changes the bound on cold servers.
func (d *Dispatcher) SetColdBounds(overrun, slack float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings.ColdOverrun, d.settings.ColdSlack = overrun, slack
}

// account returns the server's account; a new run of a server starts afresh.
func (d *Dispatcher) account(s *backend.Server) *account {
	a := d.servers[s.ID]
	if a == nil || a.born != s.StartedAt {
		a = &account{born: s.StartedAt, waiting: map[*Assignment]time.Time{}}
		d.servers[s.ID] = a
	}
	return a
}

// PruneServers drops the accounts of servers that are no longer listed and idle.
func (d *Dispatcher) PruneServers(l *backend.Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, a := range d.servers {
		if l.ByID[id] == nil && a.inFlight == 0 {
			delete(d.servers, id)
		}
	}
}
