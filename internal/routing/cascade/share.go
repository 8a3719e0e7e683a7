package cascade

import (
	"maps"
	"slices"
	"time"
)

// epochLength is the time after which the counters of an instance start again
// from zero, so that an instance that joins learns only from the recent past.
const epochLength = time.Hour

// Counter is what one instance observed of one rate in one epoch. Its counts
// only grow.
type Counter struct {
	Member     string
	Generation uint64
	// Epoch is the number of hours since 1970.
	Epoch    int64
	Customer string
	Class    string
	Model    string
	Kind     OutcomeKind
	Passed   uint64
	Total    uint64
}

type rateKey struct {
	classKey
	model string
	kind  OutcomeKind
}

type counterSource struct {
	member     string
	generation uint64
	rate       rateKey
}

type epochCounts struct {
	epoch  int64
	passed uint64
	total  uint64
}

// Exchange lets the Deciders of several instances learn from each other's
// outcomes. Each outcome counts once, however often it is reported.
type Exchange struct {
	decider    *Decider
	member     string
	generation uint64
	local      map[rateKey]epochCounts
	merged     map[counterSource]epochCounts
}

// NewExchange returns the exchange of this instance and makes the Decider count
// its own outcomes for it.
func NewExchange(d *Decider, member string, generation uint64) *Exchange {
	x := &Exchange{
		decider: d, member: member, generation: generation,
		local: map[rateKey]epochCounts{}, merged: map[counterSource]epochCounts{},
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exchange = x
	return x
}

// epochOf returns the number of the epoch of the time.
func epochOf(at time.Time) int64 { return at.Unix() / int64(epochLength/time.Second) }

// countLocal counts one of this instance's outcomes. An outcome of an earlier
// epoch than the counter's is ignored. The caller holds the Decider's lock.
func (x *Exchange) countLocal(o Outcome) {
	k := rateKey{classKey{o.Customer, o.Class}, o.Model, o.Kind}
	counts := x.local[k]
	epoch := epochOf(o.At)
	switch {
	case epoch > counts.epoch:
		counts = epochCounts{epoch: epoch}
	case epoch < counts.epoch:
		return
	}
	counts.total++
	if o.Pass {
		counts.passed++
	}
	if _, ok := x.local[k]; ok || len(x.local) < maxRates {
		x.local[k] = counts
	}
}

// maxRates bounds the number of counters of one instance.
const maxRates = 4 * maxEntries

// Counters returns this instance's counters of the current epoch.
func (x *Exchange) Counters(now time.Time) []Counter {
	x.decider.mu.Lock()
	defer x.decider.mu.Unlock()
	maps.DeleteFunc(x.local, func(_ rateKey, counts epochCounts) bool { return counts.epoch < epochOf(now) })
	counters := make([]Counter, 0, len(x.local))
	for k, counts := range x.local {
		counters = append(counters, Counter{
			Member: x.member, Generation: x.generation, Epoch: counts.epoch,
			Customer: k.customer, Class: k.class, Model: k.model, Kind: k.kind, Passed: counts.passed, Total: counts.total,
		})
	}
	return counters
}

// Merge learns the growth of other instances' counters since they were last
// merged. Counters that were merged before, outdated ones and this instance's
// own change nothing.
func (x *Exchange) Merge(counters []Counter, now time.Time) {
	x.decider.mu.Lock()
	defer x.decider.mu.Unlock()
	oldest := epochOf(now) - 1
	maps.DeleteFunc(x.merged, func(_ counterSource, counts epochCounts) bool { return counts.epoch < oldest })
	for _, c := range counters {
		if c.Member == x.member || c.Epoch < oldest || c.Epoch > epochOf(now)+1 || c.Passed > c.Total || !slices.Contains(kinds, c.Kind) {
			continue
		}
		x.merge(c, now)
	}
}

// merge learns from one counter. It ignores one that is older than the last
// merged one or is inconsistent with it. The caller holds the Decider's lock.
func (x *Exchange) merge(c Counter, now time.Time) {
	source := counterSource{c.Member, c.Generation, rateKey{classKey{c.Customer, c.Class}, c.Model, c.Kind}}
	before := x.merged[source]
	if c.Epoch < before.epoch {
		return
	}
	if c.Epoch > before.epoch {
		before = epochCounts{epoch: c.Epoch}
	}
	if c.Total <= before.total || c.Passed < before.passed || c.Passed-before.passed > c.Total-before.total {
		return
	}
	x.decider.learn(Outcome{Customer: c.Customer, Class: c.Class, Kind: c.Kind, Model: c.Model, At: now},
		float64(c.Passed-before.passed), float64(c.Total-before.total))
	x.merged[source] = epochCounts{c.Epoch, c.Passed, c.Total}
}
