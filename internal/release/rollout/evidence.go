package rollout

import (
	"sync"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// Evidence holds the outcomes that this instance observed and those that other
// instances reported. Each instance writes only counters under its own name and
// generation, and counters only grow, so merging a report twice, late or out of
// order changes nothing. A restarted instance counts from zero under a new
// generation. The counts of its previous generation remain.
//
// Outcomes are kept only for the trials of rollouts whose evidence is still
// used and are dropped when the trial ends, which bounds the memory.
type Evidence struct {
	member               string
	generation           uint64
	currentConfiguration func() *configuration.Document

	mu       sync.Mutex
	index    *trialIndex
	counters map[counterKey]*Counts
	// changed holds the keys of local counters that grew since the last call of
	// TakeChanged.
	changed map[counterKey]struct{}
}

type counterKey struct {
	member     string
	generation uint64
	trial      string
	customer   string
	model      string
	version    string
}

// NewEvidence returns an empty evidence store for this instance. The function
// current returns the configuration in force, or nil if there is none yet.
func NewEvidence(member string, generation uint64, current func() *configuration.Document) *Evidence {
	return &Evidence{
		member:               member,
		generation:           generation,
		currentConfiguration: current,
		counters:             map[counterKey]*Counts{},
		changed:              map[counterKey]struct{}{},
	}
}

// Record counts one outcome. Outcomes of versions that take part in no rollout
// are ignored.
func (e *Evidence) Record(o Observation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	trial := e.currentIndex().currentTrialID(o.Model, o.Version)
	if trial == "" {
		return
	}
	key := counterKey{e.member, e.generation, trial, o.Customer, o.Model, o.Version}
	e.countsFor(key).record(o)
	e.changed[key] = struct{}{}
}

// currentIndex returns the trials of the configuration in force. When the
// configuration has changed it drops the counters of trials that have ended.
// The caller holds mu.
func (e *Evidence) currentIndex() *trialIndex {
	doc := e.currentConfiguration()
	if e.index != nil && e.index.doc == doc {
		return e.index
	}
	e.index = newTrialIndex(doc)
	for k := range e.counters {
		if !e.index.isKept(k.model, k.trial) {
			delete(e.counters, k)
			delete(e.changed, k)
		}
	}
	return e.index
}

func (e *Evidence) countsFor(key counterKey) *Counts {
	c := e.counters[key]
	if c == nil {
		c = &Counts{}
		e.counters[key] = c
	}
	return c
}

// LocalCounters returns this instance's own counters.
func (e *Evidence) LocalCounters() []Counter {
	return e.listCounters(func(k counterKey) bool { return k.member == e.member && k.generation == e.generation })
}

// TakeChanged returns this instance's own counters that grew since the last
// call. A report may get lost, so the caller also sends all LocalCounters from
// time to time.
func (e *Evidence) TakeChanged() []Counter {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.currentIndex()
	list := make([]Counter, 0, len(e.changed))
	for k := range e.changed {
		list = append(list, k.counter(e.counters[k]))
	}
	clear(e.changed)
	return list
}

// AllCounters returns the counters of every instance, from which a new driver
// starts.
func (e *Evidence) AllCounters() []Counter {
	return e.listCounters(func(counterKey) bool { return true })
}

func (e *Evidence) listCounters(match func(counterKey) bool) []Counter {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.currentIndex()
	var list []Counter
	for k, c := range e.counters {
		if match(k) {
			list = append(list, k.counter(c))
		}
	}
	return list
}

func (k counterKey) counter(c *Counts) Counter {
	return Counter{k.member, k.generation, k.trial, k.customer, k.model, k.version, *c}
}

// Merge merges counters that other instances reported, directly or through a
// third instance. Of two reports of one counter the greater values are kept.
// Reports of this instance's own generation and of trials that have ended are
// ignored.
func (e *Evidence) Merge(counters []Counter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.currentIndex()
	for i := range counters {
		c := &counters[i]
		if c.Member == e.member && c.Generation == e.generation || !x.isKept(c.Model, c.Trial) {
			continue
		}
		key := counterKey{c.Member, c.Generation, c.Trial, c.Customer, c.Model, c.Version}
		e.countsFor(key).mergeMax(&c.Counts)
	}
}

// mergeMax sets each number to the greater of its own value and that of other.
func (c *Counts) mergeMax(other *Counts) {
	c.Requests = max(c.Requests, other.Requests)
	c.Rated = max(c.Rated, other.Rated)
	c.Passed = max(c.Passed, other.Passed)
	c.Failed = max(c.Failed, other.Failed)
	for i := range c.FirstTokens {
		c.FirstTokens[i] = max(c.FirstTokens[i], other.FirstTokens[i])
		c.Lengths[i] = max(c.Lengths[i], other.Lengths[i])
	}
}

// Summary holds the outcomes of one version, summed over all instances.
type Summary struct {
	Model   string
	Version string
	// Counts and Customers cover the current trial only.
	Counts
	Customers map[string]*Counts
	// Cumulative covers all trials since the rollout started or was resumed,
	// and the baseline trial.
	Cumulative Counts
	// Recent holds the outcomes of each of the recentSpans. VersionSummary
	// leaves it empty; newDecisionInput sets it for the new version. Only
	// ratings, requests and failures are counted in it.
	Recent []Counts
}

// VersionSummary returns the outcomes of a version in the current rollout of
// the model.
func (e *Evidence) VersionSummary(model, version string) Summary {
	s := Summary{Model: model, Version: version, Customers: map[string]*Counts{}}
	e.mu.Lock()
	defer e.mu.Unlock()
	currentTrial := e.currentIndex().currentTrialID(model, version)
	for k, c := range e.counters {
		if k.model != model || k.version != version {
			continue
		}
		s.Cumulative.add(c)
		if k.trial != currentTrial {
			continue
		}
		s.add(c)
		if s.Customers[k.customer] == nil {
			s.Customers[k.customer] = &Counts{}
		}
		s.Customers[k.customer].add(c)
	}
	return s
}
