package rollout

import (
	"cmp"
	"fmt"
	"slices"
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
	member     string
	generation uint64
	current    func() *configuration.Document

	mu       sync.Mutex
	counters map[counterKey]*Tally
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
		member:     member,
		generation: generation,
		current:    current,
		counters:   map[counterKey]*Tally{},
	}
}

// Trial names the present stretch of a roll-out: it changes with every stage
// and every resumption, so that each is judged on evidence of its own.
func Trial(r *configuration.Rollout) string {
	return fmt.Sprintf("%s/%d", r.ID, r.StageAt.UnixMilli())
}

// trialOf returns the trial under way for the model, "" if there is none.
func trialOf(doc *configuration.Document, model string) string {
	if doc == nil {
		return ""
	}
	r := doc.RolloutOf(model)
	if r == nil || r.State != configuration.RolloutRunning && r.State != configuration.RolloutHalted {
		return ""
	}
	return Trial(r)
}

// Record counts one outcome.
func (e *Evidence) Record(o Observation) {
	trial := trialOf(e.current(), o.Model)
	if trial == "" {
		return
	}
	key := counterKey{e.member, e.generation, trial, o.Customer, o.Model, o.Version}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tally(key).record(o)
}

func (e *Evidence) tally(key counterKey) *Tally {
	t := e.counters[key]
	if t == nil {
		t = &Tally{}
		e.counters[key] = t
	}
	return t
}

// Counters returns this instance's own counters, sorted.
func (e *Evidence) Counters() []Counter {
	return e.list(func(k counterKey) bool { return k.member == e.member && k.generation == e.generation })
}

// All returns the counters of every instance, sorted, for a new driver to start
// from.
func (e *Evidence) All() []Counter {
	return e.list(func(counterKey) bool { return true })
}

func (e *Evidence) list(match func(counterKey) bool) []Counter {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prune()
	var list []Counter
	for k, t := range e.counters {
		if match(k) {
			list = append(list, Counter{k.member, k.generation, k.trial, k.customer, k.model, k.version, *t})
		}
	}
	slices.SortFunc(list, compareCounters)
	return list
}

func compareCounters(a, b Counter) int {
	return cmp.Or(
		cmp.Compare(a.Member, b.Member), cmp.Compare(a.Generation, b.Generation),
		cmp.Compare(a.Trial, b.Trial), cmp.Compare(a.Customer, b.Customer),
		cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
}

// Merge takes in counters that other instances reported, directly or through a
// third. Of two reports of one counter the greater stays. Reports of this
// instance's own generation and of trials that are over are ignored.
func (e *Evidence) Merge(counters []Counter) {
	doc := e.current()
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range counters {
		c := &counters[i]
		if c.Member == e.member && c.Generation == e.generation || c.Trial != trialOf(doc, c.Model) || c.Trial == "" {
			continue
		}
		key := counterKey{c.Member, c.Generation, c.Trial, c.Customer, c.Model, c.Version}
		e.tally(key).raise(&c.Tally)
	}
}

// raise takes the greater of each number.
func (t *Tally) raise(other *Tally) {
	t.Requests = max(t.Requests, other.Requests)
	t.Rated = max(t.Rated, other.Rated)
	t.Passed = max(t.Passed, other.Passed)
	t.Failed = max(t.Failed, other.Failed)
	for i := range t.FirstTokens {
		t.FirstTokens[i] = max(t.FirstTokens[i], other.FirstTokens[i])
		t.Lengths[i] = max(t.Lengths[i], other.Lengths[i])
	}
}

// prune drops the counters of trials that are over.
func (e *Evidence) prune() {
	doc := e.current()
	for k := range e.counters {
		if k.trial != trialOf(doc, k.model) {
			delete(e.counters, k)
		}
	}
}

// Summary adds up the outcomes of one version over all instances.
type Summary struct {
	Model   string
	Version string
	Tally
	Customers map[string]*Tally
}

// Summaries returns the outcomes of a version in the present trial.
func (e *Evidence) Summaries(model, version string) Summary {
	s := Summary{Model: model, Version: version, Customers: map[string]*Tally{}}
	trial := trialOf(e.current(), model)
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, t := range e.counters {
		if k.model != model || k.version != version || k.trial != trial {
			continue
		}
		s.add(t)
		if s.Customers[k.customer] == nil {
			s.Customers[k.customer] = &Tally{}
		}
		s.Customers[k.customer].add(t)
	}
	return s
}
