package rollout

import (
	"sync"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// Evidence keeps the outcomes that this instance saw and those that others
// reported. Each instance writes only counters under its own name and
// generation, and counters only grow, so merging a report twice, late or out of
// order changes nothing. A restarted instance counts from zero under a new
// generation; what the former generation reported stays counted.
//
// Outcomes are kept only for models with a roll-out under way, and dropped when
// the trial they belong to is over, which bounds the memory.
type Evidence struct {
	member               string
	generation           uint64
	currentConfiguration func() *configuration.Document

	mu       sync.Mutex
	index    *trialIndex
	counters map[counterKey]*Counts
	// changed are own counters that grew since the last call of Changed.
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

// NewEvidence returns an empty store for this instance. Current returns the
// configuration in force, nil if there is none yet.
func NewEvidence(member string, generation uint64, current func() *configuration.Document) *Evidence {
	return &Evidence{
		member:               member,
		generation:           generation,
		currentConfiguration: current,
		counters:             map[counterKey]*Counts{},
		changed:              map[counterKey]struct{}{},
	}
}

// Record counts one outcome.
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

// currentIndex returns the currentIndex of the configuration in force; the caller holds mu.
// A new configuration drops the counters of currentIndex that are over.
func (e *Evidence) currentIndex() *trialIndex {
	doc := e.currentConfiguration()
	if e.index != nil && e.index.doc == doc {
		return e.index
	}
	e.index = newIndex(doc)
	for k := range e.counters {
		if !e.index.isKept(k.model, k.trial) {
			delete(e.counters, k)
			delete(e.changed, k)
		}
	}
	return e.index
}

func (e *Evidence) countsFor(key counterKey) *Counts {
	t := e.counters[key]
	if t == nil {
		t = &Counts{}
		e.counters[key] = t
	}
	return t
}

// LocalCounters returns this instance's own counters.
func (e *Evidence) LocalCounters() []Counter {
	return e.listCounters(func(k counterKey) bool { return k.member == e.member && k.generation == e.generation })
}

// TakeChanged returns this instance's own counters that grew since the last call.
// A report may get lost, so all Counters are sent from time to time.
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

// AllCounters returns the counters of every instance, for a new driver to start from.
func (e *Evidence) AllCounters() []Counter {
	return e.listCounters(func(counterKey) bool { return true })
}

func (e *Evidence) listCounters(match func(counterKey) bool) []Counter {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.currentIndex()
	var list []Counter
	for k, t := range e.counters {
		if match(k) {
			list = append(list, k.counter(t))
		}
	}
	return list
}

func (k counterKey) counter(t *Counts) Counter {
	return Counter{k.member, k.generation, k.trial, k.customer, k.model, k.version, *t}
}

// Merge takes in counters that other instances reported, directly or through a
// third. Of two reports of one counter the greater stays. Reports of this
// instance's own generation and of trials that are over are ignored.
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

// mergeMax takes the greater of each number.
func (t *Counts) mergeMax(other *Counts) {
	t.Requests = max(t.Requests, other.Requests)
	t.Rated = max(t.Rated, other.Rated)
	t.Passed = max(t.Passed, other.Passed)
	t.Failed = max(t.Failed, other.Failed)
	for i := range t.FirstTokens {
		t.FirstTokens[i] = max(t.FirstTokens[i], other.FirstTokens[i])
		t.Lengths[i] = max(t.Lengths[i], other.Lengths[i])
	}
}

// Summary adds up the outcomes of one version over all instances.
type Summary struct {
	Model   string
	Version string
	// Counts and Customers are of the present trial.
	Counts
	Customers map[string]*Counts
	// Cumulative is of all trials since the roll-out started or was resumed.
	Cumulative Counts
	// Recent are of the last seconds and of the last minute; only ratings and
	// failures are in them.
	Recent []Counts
}

// VersionSummary returns the outcomes of a version in the roll-out under way.
func (e *Evidence) VersionSummary(model, version string) Summary {
	s := Summary{Model: model, Version: version, Customers: map[string]*Counts{}}
	e.mu.Lock()
	defer e.mu.Unlock()
	present := e.currentIndex().currentTrialID(model, version)
	for k, t := range e.counters {
		if k.model != model || k.version != version {
			continue
		}
		s.Cumulative.add(t)
		if k.trial != present {
			continue
		}
		s.add(t)
		if s.Customers[k.customer] == nil {
			s.Customers[k.customer] = &Counts{}
		}
		s.Customers[k.customer].add(t)
	}
	return s
}
