package placement

import (
	"slices"
	"time"
)

// How many servers are sampled near and far, and how many are looked at in
// turn when no sampled one will do.
const (
	samplesDataCentre = 4
	samplesRegion     = 3
	samplesAnywhere   = 2
	maxWalk           = 64
	// smallPool is the size up to which every server is looked at.
	smallPool = 16
)

// search is the state of one Choose; it lives on the stack.
type search struct {
	placer *Placer
	query  *Query
	pool   *pool
	herd   float64
	now    time.Time
	hit    string
	blocks int
	counts RuleOutCounts
	best   pick
	// avoided is the best server in a data centre that the query avoids.
	avoided pick
}

type pick struct {
	entry     *entry
	predicted time.Duration
	rank      time.Duration
}

// Choose returns the server with the best rank by predicted time to first
// token: of all in a small pool, else of a few sampled by what they bear, near
// ones, far ones, and the one that holds the prompt's prefix. The error is a
// *NoServerError.
func (p *Placer) Choose(q *Query, rnd Rand) (Choice, error) {
	s := search{placer: p, query: q}
	if x := p.index.Load(); x != nil {
		s.pool, s.herd = x.pools[q.key()], x.herd
	}
	if s.pool == nil {
		counters.Add("NoPool", 1)
		return Choice{}, &NoServerError{Service: q.Service, Model: q.Model, Version: q.Version}
	}
	s.now = p.clock.Now()
	if len(s.pool.entries) > smallPool {
		s.sample(rnd)
	}
	if s.best.entry == nil {
		s.walk(rnd)
	}
	if s.best.entry == nil {
		s.best = s.avoided
	}
	if s.best.entry == nil {
		counters.Add("NoServer", 1)
		return Choice{}, &NoServerError{Service: q.Service, Model: q.Model, Version: q.Version, PoolSize: len(s.pool.entries), RuledOut: s.counts}
	}
	return Choice{Server: s.best.entry.server, Predicted: s.best.predicted, RuledOut: s.counts}, nil
}

func (q *Query) key() poolKey {
	if q.Plain {
		return poolKey{service: q.Service}
	}
	return poolKey{q.Service, q.Model, q.Version}
}

func (s *search) sample(rnd Rand) {
	p := s.pool
	if c := s.placer.cache; c != nil && len(s.query.Prefix) > 0 {
		s.hit, s.blocks = c.longest(s.query.Prefix)
		if i, ok := p.byName[s.hit]; ok {
			s.consider(&p.entries[i])
		}
	}
	if near, ok := p.near[s.query.DataCentre]; ok {
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

// walk looks at servers in turn from a random one.
func (s *search) walk(rnd Rand) {
	n := len(s.pool.entries)
	start := int(rnd.Uint64() % uint64(n))
	for i := range min(n, maxWalk) {
		s.consider(&s.pool.entries[(start+i)%n])
	}
}

func (s *search) consider(e *entry) {
	s.counts.Examined++
	if reason := s.rule(e); reason != "" {
		s.counts.add(reason)
		return
	}
	predicted, rank := s.predict(e)
	best := &s.best
	if slices.Contains(s.query.AvoidDataCentres, e.server.DataCentre) {
		best = &s.avoided
	}
	if best.entry == nil || rank < best.rank {
		*best = pick{e, predicted, rank}
	}
}

// rule returns why the server is ruled out for now, or nothing.
func (s *search) rule(e *entry) RuleOutReason {
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

// cachedShare is the part of the time to first token that a fully cached
// prompt saves.
const cachedShare = 0.6

// predict estimates the time to first token: distance, prompt processing less
// what is cached, and the wait in the queue. The work of others is known from
// the server's report, this instance's own exactly.
//
// The rank is what servers are compared by: the same but for the wait, whose
// steep rise would have all instances leave a server at once on a late report;
// and each of the own requests counts for the herd, since the other instances
// see the same reports and place alike, so that a server that looks idle to one
// is about to be chosen by all.
func (s *search) predict(e *entry) (predicted, rank time.Duration) {
	p := s.placer
	capacity := float64(e.concurrency)
	own := float64(p.load.InFlight(e.server.Name))
	load := float64(e.others) + own
	first := float64(s.pool.firstToken)
	if e.server.Report.Cold {
		capacity = float64(e.weight())
		first = max(first, float64(e.server.Report.TimeToFirstToken))
	}
	if e.server.Name == s.hit && len(s.query.Prefix) > 0 {
		first *= 1 - cachedShare*float64(s.blocks)/float64(len(s.query.Prefix))
	}
	wait := max(0, load+1-capacity) / capacity * float64(p.holdTime)
	distance := p.distance(s.query.DataCentre, s.pool, e)
	predicted = distance + time.Duration(first*(1+min(load/capacity, 1))+wait)
	rank = distance + time.Duration(first*(1+(float64(e.others)+s.herd*own)/capacity))
	return predicted, rank
}

func (p *Placer) distance(from string, pool *pool, e *entry) time.Duration {
	if e.server.DataCentre == from {
		return p.distances.SameDataCentre
	}
	if near, ok := pool.near[from]; ok && pool.entries[near.dataCentre.from].server.Region == e.server.Region {
		return p.distances.SameRegion
	}
	return p.distances.OtherRegion
}
