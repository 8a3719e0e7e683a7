package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
)

const (
	// maxScannedServers is the usual scanLimit.
	maxScannedServers = 32
	// localSample and remoteSample are the numbers of servers in this instance's data
	// centre and in others that are considered otherwise.
	localSample  = 3
	remoteSample = 1
)

// choice is one choice between servers.
type choice struct {
	*Dispatcher
	query  *Query
	prompt *promptKeys
	now    time.Time
	// preferred is the server that all instances prefer for the prompt, or nil.
	preferred *entry
	// tokenTime is the time that the model takes for one token of a short prompt.
	tokenTime time.Duration
	// callTime is the time that a server takes for a call to a service without models.
	callTime time.Duration
	// others holds the backlogs of the other instances.
	others backlogView
	none   *NoServerError

	best candidate
	// lowestCost is the lowest cost so far, and ties the number of servers among which best
	// was chosen.
	lowestCost   time.Duration
	ties         int
	totalBacklog time.Duration
	candidates   int
}

// newChoice returns a choice between the servers of a pool.
func (d *Dispatcher) newChoice(p *pool, q *Query, prompt *promptKeys, now time.Time) choice {
	c := choice{
		Dispatcher: d, query: q, prompt: prompt, now: now, preferred: p.preferred(q, prompt), others: d.others.view(now),
		none: &NoServerError{Service: q.Service, Listed: len(p.entries)},
	}
	if q.Model != "" {
		c.tokenTime = d.prefill.tokenTime(q.Model, q.SizeRank)
	} else {
		c.callTime = d.calls.of(q.Service)
	}
	return c
}

// choose returns a choice whose best is the eligible server with the lowest cost among
// those considered.
func (d *Dispatcher) choose(l *backend.Listing, q *Query, prompt *promptKeys, now time.Time) (choice, error) {
	if l == nil {
		return choice{}, &NoServerError{Service: q.Service}
	}
	p := d.rosterOf(l).pools[q.Service]
	if p == nil {
		return choice{}, &NoServerError{Service: q.Service}
	}
	c := d.newChoice(p, q, prompt, now)
	sampled := len(q.OnlyServers) == 0 && len(p.entries) > d.scanLimit
	if sampled {
		c.considerSample(p)
	}
	if len(q.OnlyServers) > 0 {
		c.considerOnly(p)
	} else if c.candidates == 0 {
		sampled = false
		c.none = &NoServerError{Service: q.Service, Listed: len(p.entries)}
		c.considerAll(p)
	}
	if c.candidates == 0 {
		if c.none.Paused < c.none.Listed {
			c.none.PausedFor = 0
		}
		return c, c.none
	}
	c.best.meanBacklog = c.totalBacklog / time.Duration(c.candidates)
	if sampled && q.Model != "" {
		// Those that may have the prompt cached are busier than others.
		c.best.meanBacklog = p.meanBacklog(q, c.others, now)
	}
	return c, nil
}

// considerAll considers all servers of the service, beginning with a random one: of
// servers with the same cost, instances choose different ones.
func (c *choice) considerAll(p *pool) {
	if len(p.entries) == 0 {
		return
	}
	var inline [maxScannedServers]*entry
	list := inline[:0]
	first := c.settings.Random(len(p.entries))
	for i := range p.entries {
		list = append(list, &p.entries[(first+i)%len(p.entries)])
	}
	c.consider(list)
}

// considerOnly considers the servers that the query names.
func (c *choice) considerOnly(p *pool) {
	var inline [maxScannedServers]*entry
	list := inline[:0]
	for _, id := range c.query.OnlyServers {
		if e := p.byHash[xxhash.Sum64String(id)]; e != nil {
			list = append(list, e)
		}
	}
	c.consider(list)
}

// considerSample considers the servers that may have the prompt cached and random ones.
func (c *choice) considerSample(p *pool) {
	var inline [1 + maxHolders + localSample + remoteSample]*entry
	list := inline[:0]
	if c.preferred != nil {
		list = append(list, c.preferred)
	}
	list = c.cache.appendHolders(list, c.prompt, p)
	list = c.appendSample(list, p, localSample, true)
	list = c.appendSample(list, p, remoteSample, false)
	c.consider(list)
}

// appendSample appends up to n random servers that the query allows, of this instance's
// data centre or of the others.
func (c *choice) appendSample(list []*entry, p *pool, n int, local bool) []*entry {
	total := 0
	isWanted := func(g *group) bool {
		return (g.dataCentre == c.settings.DataCentre) == local && c.query.allows(g.dataCentre, g.version)
	}
	for i := range p.groups {
		if g := &p.groups[i]; isWanted(g) {
			total += len(g.entries)
		}
	}
	for range min(n, total) {
		at := c.settings.Random(total)
		for i := range p.groups {
			g := &p.groups[i]
			if !isWanted(g) {
				continue
			}
			if at < len(g.entries) {
				if e := g.entries[at]; !slices.Contains(list, e) {
					list = append(list, e)
				}
				break
			}
			at -= len(g.entries)
		}
	}
	return list
}

// consider takes in those of the servers that are eligible.
func (c *choice) consider(list []*entry) {
	var inline [maxScannedServers]int
	cached := inline[:0]
	if c.query.Model != "" {
		cached = c.cache.appendCachedTokens(cached, list, c.prompt, c.query.PromptParts, c.now)
	}
	for i, e := range list {
		held := 0
		if i < len(cached) {
			held = cached[i]
		}
		o, ok := c.assess(e, held)
		if !ok {
			continue
		}
		c.totalBacklog += o.backlog
		c.candidates++
		c.compare(o)
	}
}

// sameCostShare is the share by which costs may differ and count as the same. What is known of
// servers isn't more exact, and instances that all prefer the one which looks best by a
// little leave the others idle. sameCostTime is the difference that the network alone makes.
const (
	sameCostShare = 0.05
	sameCostTime  = 2 * time.Millisecond
)

// compare replaces the best server by another one if that costs less. Of servers that cost
// about the same, each has the same chance.
func (c *choice) compare(o candidate) {
	switch limit := max(sameCostTime, time.Duration(sameCostShare*float64(c.lowestCost))); {
	case c.candidates == 1 || o.cost < c.lowestCost-limit:
		c.best, c.ties = o, 1
	case o.cost <= c.lowestCost+limit:
		if c.ties++; c.settings.Random(c.ties) == 0 {
			c.best = o
		}
	}
	if c.candidates == 1 || o.cost < c.lowestCost {
		c.lowestCost = o.cost
	}
}

// assess returns what is predicted for the attempt at a server, if that is eligible.
func (c *choice) assess(e *entry, cachedTokens int) (candidate, bool) {
	st := e.state
	st.mu.Lock()
	defer st.mu.Unlock()
	if !c.isEligible(e.server, st) {
		return candidate{}, false
	}
	return c.evaluate(e, st, cachedTokens), true
}

// isEligible reports whether a server may take the attempt now. If not, it counts
// the reason.
func (c *choice) isEligible(s *backend.Server, st *serverState) bool {
	q, now, none := c.query, c.now, c.none
	switch {
	case !s.IsUsable(now) || st.notice.notice.Leaving:
		none.Draining++
	case st.notice.isPaused(now):
		left := st.notice.pausedUntil.Sub(now)
		if none.Paused++; none.Paused == 1 || left < none.PausedFor {
			none.PausedFor = left
		}
	case q.ClosedDataCentres[s.DataCentre]:
		none.Closed++
	case !q.Versions.Allows(s.Version):
		none.OtherVersion++
	case slices.Contains(q.ExcludeServers, s.ID):
		none.Excluded++
	case s.IsCold(now) && !c.withinColdQuota(s, st):
		none.Cold++
	case q.MaxConnections > 0 && st.inFlight >= max(1, int(connectionQuotaShare*float64(q.MaxConnections))/max(1, len(q.Members))):
		none.Full++
	case !c.withinLimit(s, st):
		none.Limited++
	default:
		return true
	}
	return false
}

// withinColdQuota reports whether this instance's share of a cold server's
// request rate allows another request now.
func (c *choice) withinColdQuota(s *backend.Server, st *serverState) bool {
	if c.query.ColdRate <= 0 {
		return true
	}
	if c.query.KnownFor < coldWindow {
		return false
	}
	bounds := c.cold.Load()
	limit := int(coldQuotaShare * (c.query.ColdRate*bounds.overrun + bounds.slack))
	return st.sends.recent(c.now, coldWindow) < Quota(s.ID, c.settings.Instance, c.query.Members, limit)
}

// evaluate predicts the wait at a server and the cost by which servers are compared.
func (c *choice) evaluate(e *entry, st *serverState, cachedTokens int) candidate {
	s, q := e.server, c.query
	o := candidate{entry: e, cachedTokens: cachedTokens, pace: c.speeds.Pace(s.ID, c.now), distance: c.settings.LocalRoundTrip}
	if s.DataCentre != c.settings.DataCentre {
		o.distance = c.settings.RemoteRoundTrip
	}
	o.backlog = st.ownBacklog + c.otherBacklog(s.ID, st)
	if q.Model == "" {
		o.work = c.callTime
		o.backlog = queueBeforeSlots(o.backlog, o.work, s.Slots)
		o.slotFree = o.backlog == 0
	} else {
		if e == c.preferred {
			o.cachedTokens = max(o.cachedTokens, sharedTokens(q.PromptParts))
		}
		o.work = prefillTime(c.tokenTime, o.cachedTokens, c.prompt.tokens-o.cachedTokens)
	}
	o.wait = o.distance + time.Duration(o.pace*st.slowness.factor()*float64(o.backlog+o.work))
	if q.Model != "" {
		o.wait = max(o.wait, st.longestWait(c.now))
	}
	o.cost = o.wait + time.Duration(st.failures.rateAt(c.now)*float64(c.settings.FailureCost))
	o.cost += time.Duration(o.pace * float64(q.OutputTokens) * float64(outputTokenCost))
	if s.DataCentre != c.settings.DataCentre {
		o.cost += c.crossDataCentreCost()
	}
	return o
}

// queueBeforeSlots returns the time until a call may start at a server that processes as many
// calls at a time as it has slots, if each takes callTime and the work in progress is backlog.
func queueBeforeSlots(backlog, callTime time.Duration, slots int) time.Duration {
	slots = max(1, slots)
	return max(0, backlog-time.Duration(slots-1)*callTime) / time.Duration(slots)
}

// crossDataCentreCost returns what it costs to leave the data centre: no more than
// crossGoalShare of what the caller's goal allows.
func (c *choice) crossDataCentreCost() time.Duration {
	cost := c.settings.CrossDataCentreCost
	if c.query.Goal > 0 {
		cost = min(cost, time.Duration(crossGoalShare*float64(c.query.Goal)))
	}
	return cost
}

// outputTokenCost is the cost of one token of the longest answer at a server of the usual pace.
// The longer an answer, the likelier it pauses while its server reads other prompts, for longer
// on a slow server.
const outputTokenCost = time.Millisecond

// crossGoalShare is the share of a caller's goal that an attempt may wait for longer so that it
// stays in its data centre.
const crossGoalShare = 0.15

// otherBacklog returns the predicted work of the other instances that waits at a
// server, from their own reports or, if there are none, from the load that the
// server stated.
func (c *choice) otherBacklog(server string, st *serverState) time.Duration {
	if work, known := c.others.at(server); known {
		return work
	}
	return time.Duration(st.decayedOtherLoad(c.now) * float64(c.meanPrefillTime.Load()) * otherLoadWeight)
}

// otherLoadWeight is the fraction of another instance's request that still has to be
// processed before its first event, on average.
const otherLoadWeight = 0.2
