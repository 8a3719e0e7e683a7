package placement

import (
	"slices"
	"time"
)

// The numbers of servers that one choice examines.
const (
	// Servers are sampled in the own data centre, in its region and anywhere.
	samplesDataCentre = 4
	samplesRegion     = 3
	samplesAnywhere   = 2
	// maxScan is how many servers are examined in turn if no sampled one is usable.
	maxScan = 64
	// fullScanSize is the pool size up to which every server is examined.
	fullScanSize = 16
)

// search is the state of one choice. It lives on the stack.
type search struct {
	placer *Placer
	query  *Query
	pool   *pool
	// ownLoadWeight is copied from the index.
	ownLoadWeight float64
	now           time.Time
	// prefixServer has the longest prefix of the prompt cached, of prefixBlocks blocks.
	prefixServer string
	prefixBlocks int
	counts       RuleOutCounts
	best         scoredEntry
	// bestAvoided is the best server in a data centre that the query avoids.
	bestAvoided scoredEntry
}

// scoredEntry is a server with its predicted time to first token and its rank.
type scoredEntry struct {
	entry     *entry
	predicted time.Duration
	rank      time.Duration
}

// Choose returns the server with the lowest rank by predicted time to first token. In
// a small pool it compares all servers. In a larger one it compares the server that
// has the prompt's prefix cached with a few sampled by weight: some in this instance's
// data centre, some in its region and some anywhere. If none of them is usable, it
// examines servers in turn. A server in a data centre that the query avoids is chosen
// only if no other is usable. The error is a *NoServerError.
func (p *Placer) Choose(q *Query, rnd Rand) (Choice, error) {
	s := search{placer: p, query: q}
	if x := p.index.Load(); x != nil {
		s.pool, s.ownLoadWeight = x.pools[q.key()], x.ownLoadWeight
	}
	if s.pool == nil {
		counters.Add("NoPool", 1)
		return Choice{}, &NoServerError{Service: q.Service, Model: q.Model, Version: q.Version}
	}
	s.now = p.clock.Now()
	if len(s.pool.entries) > fullScanSize {
		s.sample(rnd)
	}
	if s.best.entry == nil {
		s.scan(rnd)
	}
	if s.best.entry == nil {
		s.best = s.bestAvoided
	}
	if s.best.entry == nil {
		counters.Add("NoServer", 1)
		return Choice{}, &NoServerError{Service: q.Service, Model: q.Model, Version: q.Version, PoolSize: len(s.pool.entries), RuledOut: s.counts}
	}
	return Choice{Server: s.best.entry.server, Predicted: s.best.predicted, RuledOut: s.counts}, nil
}

// key returns the key of the pool that can run the query.
func (q *Query) key() poolKey {
	if q.Plain {
		return poolKey{service: q.Service}
	}
	return poolKey{q.Service, q.Model, q.Version}
}

// sample examines the server with the cached prefix and a few random ones.
func (s *search) sample(rnd Rand) {
	p := s.pool
	if c := s.placer.prefixTable; c != nil && len(s.query.Prefix) > 0 {
		s.prefixServer, s.prefixBlocks = c.longestMatch(s.query.Prefix)
		if i, ok := p.byName[s.prefixServer]; ok {
			s.consider(&p.entries[i])
		}
	}
	if near, ok := p.spansByDataCentre[s.query.DataCentre]; ok {
		for range samplesDataCentre {
			s.consider(&p.entries[p.sample(near.dataCentre, rnd)])
		}
		for range samplesRegion {
			s.consider(&p.entries[p.sample(near.region, rnd)])
		}
	}
	for range samplesAnywhere {
		s.consider(&p.entries[p.sample(span{0, len(p.entries)}, rnd)])
	}
}

// scan examines up to maxScan servers in turn, from a random one on.
func (s *search) scan(rnd Rand) {
	n := len(s.pool.entries)
	start := int(rnd.Uint64() % uint64(n))
	for i := range min(n, maxScan) {
		s.consider(&s.pool.entries[(start+i)%n])
	}
}

// consider examines a server and keeps it if it has the lowest rank so far.
func (s *search) consider(e *entry) {
	s.counts.Examined++
	if reason := s.ruleOut(e); reason != "" {
		s.counts.add(reason)
		return
	}
	predicted, rank := s.predict(e)
	best := &s.best
	if slices.Contains(s.query.AvoidDataCentres, e.server.DataCentre) {
		best = &s.bestAvoided
	}
	if best.entry == nil || rank < best.rank {
		*best = scoredEntry{e, predicted, rank}
	}
}

// ruleOut returns why the server cannot take the attempt now, or "" if it can.
func (s *search) ruleOut(e *entry) RuleOutReason {
	name := e.server.Name
	switch {
	case slices.Contains(s.query.ExcludeServers, name):
		return RuleOutExcluded
	case s.placer.load.Ejected(name, s.now):
		return RuleOutEjected
	case !s.placer.load.Startable(name, s.now):
		return RuleOutLimited
	}
	return ""
}

func (c *RuleOutCounts) add(reason RuleOutReason) {
	switch reason {
	case RuleOutExcluded:
		c.Excluded++
	case RuleOutEjected:
		c.Ejected++
	case RuleOutLimited:
		c.Limited++
	}
}

// cachedPromptSaving is the fraction of the time to first token that a fully cached
// prompt saves.
const cachedPromptSaving = 0.6

// predict returns the predicted time to first token: the network delay, the prompt
// processing less what is cached, and the wait in the queue. The load that others
// cause is known from the server's report, this instance's own load exactly.
//
// It also returns the rank by which servers are compared. The rank differs from the
// prediction in two ways. It leaves out the wait, which rises so steeply that a late
// report would make all instances leave a server at once. And it multiplies the own
// requests by ownLoadWeight: the other instances see the same reports and place
// alike, so that all of them are about to choose a server that looks idle to one.
func (s *search) predict(e *entry) (predicted, rank time.Duration) {
	p := s.placer
	capacity := float64(e.concurrency)
	own := float64(p.load.InFlight(e.server.Name))
	load := float64(e.otherLoad) + own
	first := float64(s.pool.minFirstToken)
	if e.server.Report.Cold {
		capacity = float64(e.weight())
		first = max(first, float64(e.server.Report.TimeToFirstToken))
	}
	if e.server.Name == s.prefixServer && len(s.query.Prefix) > 0 {
		first *= 1 - cachedPromptSaving*float64(s.prefixBlocks)/float64(len(s.query.Prefix))
	}
	wait := max(0, load+1-capacity) / capacity * float64(p.meanRequestDuration)
	distance := p.networkDelay(s.query.DataCentre, s.pool, e)
	predicted = distance + time.Duration(first*(1+min(load/capacity, 1))+wait)
	rank = distance + time.Duration(first*(1+(float64(e.otherLoad)+s.ownLoadWeight*own)/capacity))
	return predicted, rank
}

// networkDelay returns the expected delay from a data centre to a server. A data
// centre without servers in the pool counts as being in another region.
func (p *Placer) networkDelay(from string, pool *pool, e *entry) time.Duration {
	if e.server.DataCentre == from {
		return p.networkDelays.SameDataCentre
	}
	if near, ok := pool.spansByDataCentre[from]; ok && pool.entries[near.dataCentre.from].server.Region == e.server.Region {
		return p.networkDelays.SameRegion
	}
	return p.networkDelays.OtherRegion
}
