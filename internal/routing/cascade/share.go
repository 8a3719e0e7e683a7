package cascade

import (
	"maps"
	"slices"
	"time"
)

// epochLength is the time after which the counters of an instance start again
// from zero, so that one that joins learns from the recent past only.
const epochLength = time.Hour

// Counter is what one instance observed of one rate in one epoch. It only grows.
type Counter struct {
	Member     string
	Generation uint64
	// Epoch numbers the hours since 1970.
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
// outcomes, each of which counts once however often it is reported.
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

func epochOf(at time.Time) int64 { return at.Unix() / int64(epochLength/time.Second) }

// countLocal adds an own outcome; the caller holds the Decider's lock.
func (x *Exchange) countLocal(o Outcome) {
	k := rateKey{classKey{o.Customer, o.Class}, o.Model, o.Kind}
	t := x.local[k]
	epoch := epochOf(o.At)
	switch {
	case epoch > t.epoch:
		t = epochCounts{epoch: epoch}
	case epoch < t.epoch:
		return
	}
	t.total++
	if o.Pass {
		t.passed++
	}
	if _, ok := x.local[k]; ok || len(x.local) < maxRates {
		x.local[k] = t
	}
}

// maxRates bounds the counters of one instance.
const maxRates = 4 * maxEntries

// Counters returns this instance's counters of the present epoch.
func (x *Exchange) Counters(now time.Time) []Counter {
	x.decider.mu.Lock()
	defer x.decider.mu.Unlock()
	maps.DeleteFunc(x.local, func(_ rateKey, t epochCounts) bool { return t.epoch < epochOf(now) })
	list := make([]Counter, 0, len(x.local))
	for k, t := range x.local {
		list = append(list, Counter{
			Member: x.member, Generation: x.generation, Epoch: t.epoch,
			Customer: k.customer, Class: k.class, Model: k.model, Kind: k.kind, Passed: t.passed, Total: t.total,
		})
	}
	return list
}

// Merge learns what the counters of another instance have grown by since they
// were last seen. Reports seen before, late ones and this instance's own change
// nothing.
func (x *Exchange) Merge(counters []Counter, now time.Time) {
	x.decider.mu.Lock()
	defer x.decider.mu.Unlock()
	oldest := epochOf(now) - 1
	maps.DeleteFunc(x.merged, func(_ counterSource, t epochCounts) bool { return t.epoch < oldest })
	for _, c := range counters {
		if c.Member == x.member || c.Epoch < oldest || c.Epoch > epochOf(now)+1 || c.Passed > c.Total || !slices.Contains(kinds, c.Kind) {
			continue
		}
		x.merge(c, now)
	}
}

func (x *Exchange) merge(c Counter, now time.Time) {
	s := counterSource{c.Member, c.Generation, rateKey{classKey{c.Customer, c.Class}, c.Model, c.Kind}}
	before := x.merged[s]
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
	x.merged[s] = epochCounts{c.Epoch, c.Passed, c.Total}
}
