// Package tally counts billable usage without keeping a record of each request.
// Each run of an instance keeps one cumulative count per customer, service and
// model. A count may be written to the store any number of times, late and by
// other instances: the version with the highest sequence wins, and the bill is
// the sum over all runs. Usage is therefore never billed twice, and a crash
// loses only what the run counted after its count was last copied.
package tally

import (
	"cmp"
	"slices"
	"strconv"
	"sync"

	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// Line is the key that usage is aggregated by.
type Line struct {
	Customer string
	Service  string
	// Model is empty for services without models.
	Model string
}

// Amount is the usage of one line.
type Amount struct {
	Requests int64
	// Read is the number of prompt tokens, Parts the number of answer events.
	Read  int64
	Parts int64
}

// Entry is one line of a tally with its amount.
type Entry struct {
	Line
	Amount
}

// Tally is the cumulative count of one run of an instance.
type Tally struct {
	Instance string
	Run      int64
	// Sequence is the number of requests counted so far.
	Sequence int64
	Entries  []Entry
}

// Key identifies the run, as INSTANCE/RUN.
func (t *Tally) Key() string { return t.Instance + "/" + strconv.FormatInt(t.Run, 10) }

// Sum adds up the counts of several runs, which gives the billed amounts. The
// entries are sorted by customer, service and model.
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

// Counter counts the usage of the current run. It is safe for concurrent use.
type Counter struct {
	instance string
	run      int64

	mu       sync.Mutex
	sequence int64
	lines    map[Line]lineCount
}

// lineCount is an amount and the sequence at which it last grew.
type lineCount struct {
	Amount
	lastSequence int64
}

// NewCounter returns a counter that starts at zero.
func NewCounter(instance string, run int64) *Counter {
	return &Counter{instance: instance, run: run, lines: map[Line]lineCount{}}
}

// Add counts one completely answered request. The arguments read and parts are
// its prompt tokens and its answer events.
func (c *Counter) Add(l Line, read, parts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	a := c.lines[l].Amount
	c.lines[l] = lineCount{Amount{Requests: a.Requests + 1, Read: a.Read + int64(read), Parts: a.Parts + int64(parts)}, c.sequence}
}

// Tally returns the current count with all lines.
func (c *Counter) Tally() Tally { return c.Since(0) }

// Since returns the current count with only the lines that have grown after the
// given sequence. The entries are sorted.
func (c *Counter) Since(sequence int64) Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := Tally{Instance: c.instance, Run: c.run, Sequence: c.sequence}
	for l, a := range c.lines {
		if a.lastSequence > sequence {
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

// WriteMark records the sequence up to which a tally is in the store and the
// store revision of its key.
type WriteMark struct {
	Sequence int64
	Revision revision.Revision
}

// Copies holds the tallies of other instances, so that they can still be written
// after those instances have crashed. It is safe for concurrent use.
type Copies struct {
	mu     sync.Mutex
	byName map[string]*runCopy
}

// runCopy is the copy of a tally that arrives in parts, some of which may be
// lost.
type runCopy struct {
	sequence int64
	lines    map[Line]Amount
	// complete is the latest tally of which all parts have arrived.
	complete Tally
}

// NewCopies returns an empty set of copies.
func NewCopies() *Copies { return &Copies{byName: map[string]*runCopy{}} }

// Merge adds the lines of a tally, which may be only some of them. Lines only
// grow, so late and repeated parts have no effect. The copy is complete when
// the requests of its lines add up to the sequence.
func (c *Copies) Merge(t Tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.byName[t.Key()]
	if p == nil {
		p = &runCopy{lines: map[Line]Amount{}}
		c.byName[t.Key()] = p
	}
	p.sequence = max(p.sequence, t.Sequence)
	for _, e := range t.Entries {
		if e.Requests > p.lines[e.Line].Requests {
			p.lines[e.Line] = e.Amount
		}
	}
	if p.requests() != p.sequence || p.complete.Sequence == p.sequence {
		return
	}
	p.complete = Tally{Instance: t.Instance, Run: t.Run, Sequence: p.sequence}
	for l, a := range p.lines {
		p.complete.Entries = append(p.complete.Entries, Entry{l, a})
	}
	p.complete.sort()
}

func (p *runCopy) requests() (n int64) {
	for _, a := range p.lines {
		n += a.Requests
	}
	return n
}

// Due returns at most limit tallies that are ahead of the given write marks. The
// caller's own tally comes first.
func (c *Copies) Due(own Tally, written map[string]WriteMark, limit int) []Tally {
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
		if complete := c.byName[name].complete; complete.Sequence > written[name].Sequence && len(due) < limit {
			due = append(due, complete)
		}
	}
	return due
}

// Prune drops the copies and write marks of runs that are completely written and
// whose instance can no longer count requests.
func (c *Copies) Prune(written map[string]WriteMark, mayCount func(instance string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.byName {
		if p.sequence <= written[name].Sequence && !mayCount(p.complete.Instance) {
			delete(c.byName, name)
			delete(written, name)
		}
	}
}
