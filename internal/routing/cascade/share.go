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
	key
	model string
	kind  OutcomeKind
}

type source struct {
	member     string
	generation uint64
	rate       rateKey
}

type tally struct {
	epoch int64
	good  uint64
	total uint64
}

// Exchange lets the Deciders of several instances learn from each other's
// outcomes, each of which counts once however often it is reported.
type Exchange struct {
	decider    *Decider
	member     string
	generation uint64
	own        map[rateKey]tally
	seen       map[source]tally
}

// NewExchange returns the exchange of this instance and makes the Decider count
// its own outcomes for it.
func NewExchange(d *Decider, member string, generation uint64) *Exchange {
	x := &Exchange{
		decider: d, member: member, generation: generation,
		own: map[rateKey]tally{}, seen: map[source]tally{},
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exchange = x
	return x
}

func epochOf(at time.Time) int64 { return at.Unix() / int64(epochLength/time.Second) }

// count adds an own outcome; the caller holds the Decider's lock.
func (x *Exchange) count(o Outcome) {
	k := rateKey{key{o.Customer, o.Class}, o.Model, o.Kind}
	t := x.own[k]
	epoch := epochOf(o.At)
	switch {
	case epoch > t.epoch:
		t = tally{epoch: epoch}
	case epoch < t.epoch:
		return
	}
	t.total++
	if o.Pass {
		t.good++
	}
	if _, ok := x.own[k]; ok || len(x.own) < maxRates {
		x.own[k] = t
	}
}

// maxRates bounds the counters of one instance.
const maxRates = 4 * maxEntries

// Counters returns this instance's counters of the present epoch.
func (x *Exchange) Counters(now time.Time) []Counter {
	x.decider.mu.Lock()
	defer x.decider.mu.Unlock()
	maps.DeleteFunc(x.own, func(_ rateKey, t tally) bool { return t.epoch < epochOf(now) })
	list := make([]Counter, 0, len(x.own))
	for k, t := range x.own {
		list = append(list, Counter{
			Member: x.member, Generation: x.generation, Epoch: t.epoch,
			Customer: k.customer, Class: k.class, Model: k.model, Kind: k.kind, Passed: t.good, Total: t.total,
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
	maps.DeleteFunc(x.seen, func(_ source, t tally) bool { return t.epoch < oldest })
	for _, c := range counters {
		if c.Member == x.member || c.Epoch < oldest || c.Epoch > epochOf(now)+1 || c.Passed > c.Total || !slices.Contains(kinds, c.Kind) {
			continue
		}
		x.merge(c, now)
	}
}

func (x *Exchange) merge(c Counter, now time.Time) {
	s := source{c.Member, c.Generation, rateKey{key{c.Customer, c.Class}, c.Model, c.Kind}}
	before := x.seen[s]
	if c.Epoch < before.epoch {
		return
	}
	if c.Epoch > before.epoch {
		before = tally{epoch: c.Epoch}
	}
	if c.Total <= before.total || c.Passed < before.good || c.Passed-before.good > c.Total-before.total {
		return
	}
	x.decider.learn(Outcome{Customer: c.Customer, Class: c.Class, Kind: c.Kind, Model: c.Model, At: now},
		float64(c.Passed-before.good), float64(c.Total-before.total))
	x.seen[s] = tally{c.Epoch, c.Passed, c.Total}
}
