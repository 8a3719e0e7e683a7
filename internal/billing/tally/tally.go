// Package tally counts what customers are billed for when there is no record
// of each request: every run of an instance keeps one running count, which only
// grows. A count may be written any number of times, late or by others; the
// newest one holds, and the bill is the sum over all runs. So nothing is billed
// twice, and what is lost with a process is what it counted since its count was
// last copied.
package tally

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
)

// Line is what amounts are counted by.
type Line struct {
	Customer string
	Service  string
	// Model is empty for services without models.
	Model string
}

// Amount is what was delivered.
type Amount struct {
	Requests int64
	// Read counts the prompts' tokens, Parts the events of the answers.
	Read  int64
	Parts int64
}

// Entry is one line of a tally.
type Entry struct {
	Line
	Amount
}

// Tally is the running count of one run of an instance.
type Tally struct {
	Instance string
	Run      int64
	// Sequence is the number of requests counted: it grows with each.
	Sequence int64
	Entries  []Entry
}

// Key tells the tallies of different runs apart.
func (t *Tally) Key() string { return t.Instance + "/" + strconv.FormatInt(t.Run, 10) }

// Sum adds up the counts of several runs: what customers are billed for, in
// order.
func Sum(runs []Tally) []Entry {
	lines := map[Line]Amount{}
	for _, t := range runs {
		for _, e := range t.Entries {
			a := lines[e.Line]
			lines[e.Line] = Amount{Requests: a.Requests + e.Requests, Read: a.Read + e.Read, Parts: a.Parts + e.Parts}
		}
	}
	var sum Tally
	for l, a := range lines {
		sum.Entries = append(sum.Entries, Entry{l, a})
	}
	sum.sort()
	return sum.Entries
}

// Counter is the count of this run. It is safe for concurrent use.
type Counter struct {
	instance string
	run      int64

	mu       sync.Mutex
	sequence int64
	lines    map[Line]counted
}

// counted is an amount and the sequence at which it last grew.
type counted struct {
	Amount
	at int64
}

// NewCounter returns a counter at zero.
func NewCounter(instance string, run int64) *Counter {
	return &Counter{instance: instance, run: run, lines: map[Line]counted{}}
}

// Add counts one request that was answered whole.
func (c *Counter) Add(l Line, read, parts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	a := c.lines[l].Amount
	c.lines[l] = counted{Amount{Requests: a.Requests + 1, Read: a.Read + int64(read), Parts: a.Parts + int64(parts)}, c.sequence}
}

// Tally returns the count as it is now.
func (c *Counter) Tally() Tally { return c.Since(0) }

// Since returns the lines that have grown after a sequence, in order.
func (c *Counter) Since(sequence int64) Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := Tally{Instance: c.instance, Run: c.run, Sequence: c.sequence}
	for l, a := range c.lines {
		if a.at > sequence {
			t.Entries = append(t.Entries, Entry{l, a.Amount})
		}
	}
	t.sort()
	return t
}

func (t *Tally) sort() {
	slices.SortFunc(t.Entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
}

// WriteMark is how far a tally has been written, and the store's revision of it.
type WriteMark struct {
	Sequence int64
	Revision int64
}

// Copies holds the tallies of other instances, so that they outlast them. It is
// safe for concurrent use.
type Copies struct {
	mu     sync.Mutex
	byName map[string]*partial
}

// partial is a tally that arrives in parts, some of which are lost.
type partial struct {
	sequence int64
	lines    map[Line]Amount
	// whole is the last tally of which all parts were there.
	whole Tally
}

// NewCopies returns an empty store of copies.
func NewCopies() *Copies { return &Copies{byName: map[string]*partial{}} }

// Merge adds the lines of a tally, which need not be all of it. They only grow,
// so that late ones and repetitions change nothing; the copy is whole whenever
// its requests add up to the sequence.
func (c *Copies) Merge(t Tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.byName[t.Key()]
	if p == nil {
		p = &partial{lines: map[Line]Amount{}}
		c.byName[t.Key()] = p
	}
	p.sequence = max(p.sequence, t.Sequence)
	for _, e := range t.Entries {
		if e.Requests > p.lines[e.Line].Requests {
			p.lines[e.Line] = e.Amount
		}
	}
	if p.requests() != p.sequence || p.whole.Sequence == p.sequence {
		return
	}
	p.whole = Tally{Instance: t.Instance, Run: t.Run, Sequence: p.sequence}
	for l, a := range p.lines {
		p.whole.Entries = append(p.whole.Entries, Entry{l, a})
	}
	p.whole.sort()
}

func (p *partial) requests() (n int64) {
	for _, a := range p.lines {
		n += a.Requests
	}
	return n
}

// Due returns the tallies that are ahead of what is known to be written, at
// most as many as given, own first.
func (c *Copies) Due(own Tally, written map[string]WriteMark, most int) []Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byName, own.Key())
	var due []Tally
	if own.Sequence > written[own.Key()].Sequence {
		due = append(due, own)
	}
	names := make([]string, 0, len(c.byName))
	for name := range c.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if whole := c.byName[name].whole; whole.Sequence > written[name].Sequence && len(due) < most {
			due = append(due, whole)
		}
	}
	return due
}

// Prune drops the copies, and the marks, of runs that are written and may not
// count any more.
func (c *Copies) Prune(written map[string]WriteMark, mayCount func(instance string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.byName {
		if p.sequence <= written[name].Sequence && !mayCount(p.whole.Instance) {
			delete(c.byName, name)
			delete(written, name)
		}
	}
}
