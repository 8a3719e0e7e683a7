package tally

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// ledger is a fleet of counters with a store that writes only over the revision
// that the writer knows.
type ledger struct {
	t        *testing.T
	run      int64
	revision int64
	counters []*Counter
	copies   []*Copies
	stored   map[string]Tally
	marks    map[string]WriteMark
	// known is what each writer has seen of the marks.
	known []map[string]WriteMark
}

func newLedger(t *testing.T, n int) *ledger {
	l := &ledger{t: t, stored: map[string]Tally{}, marks: map[string]WriteMark{}}
	for range n {
		l.counters, l.copies, l.known = append(l.counters, nil), append(l.copies, nil), append(l.known, nil)
	}
	for i := range n {
		l.kill(i)
	}
	return l
}

func (l *ledger) kill(i int) {
	l.run++
	l.counters[i] = NewCounter(fmt.Sprint("i-", i), l.run)
	l.copies[i] = NewCopies()
	l.see(i)
}

func (l *ledger) see(i int) {
	l.known[i] = map[string]WriteMark{}
	for name, m := range l.marks {
		l.known[i][name] = m
	}
}

// write applies all that is due, or nothing if a condition does not hold.
func (l *ledger) write(i int) {
	due := l.copies[i].Due(l.counters[i].Tally(), l.known[i], 16)
	for _, t := range due {
		if l.known[i][t.Key()].Revision != l.marks[t.Key()].Revision {
			return
		}
	}
	l.revision++
	for _, t := range due {
		is.New(l.t).True(t.Sequence > l.stored[t.Key()].Sequence)
		l.stored[t.Key()], l.marks[t.Key()] = t, WriteMark{t.Sequence, l.revision}
	}
}

func (l *ledger) billed() (n int64) {
	for _, t := range l.stored {
		for _, e := range t.Entries {
			n += e.Requests
		}
	}
	return n
}

func TestLosses(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("testdata/losses.txt")
	is.NoErr(err)
	l := newLedger(t, 6)
	before := make([]Tally, 6)
	for line := range strings.Lines(string(raw)) {
		f := append(strings.Fields(line), "", "", "")
		i, _ := strconv.Atoi(f[1])
		switch f[0] {
		case "answer":
			before[i] = l.counters[i].Tally()
			l.counters[i].Add(Line{Customer: "c", Service: "s"}, 10, 1)
		case "copy":
			to, _ := strconv.Atoi(f[2])
			if f[3] == "late" {
				l.copies[to].Merge(before[i])
			} else {
				l.copies[to].Merge(l.counters[i].Tally())
			}
		case "write":
			if f[2] != "failed" {
				l.write(i)
			}
			if f[2] == "" {
				l.see(i)
			}
		case "kill":
			l.kill(i)
		case "billed":
			is.Equal(l.billed(), int64(i)) // billed
		}
	}
}

// However copies and writes are delayed, lost and repeated, no request is
// billed twice, and what was written stays.
func TestNothingIsBilledTwice(t *testing.T) {
	for seed := range uint64(300) {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(seed, 1))
		l := newLedger(t, 4)
		answered, last := int64(0), int64(0)
		for range 400 {
			i, j := rnd.IntN(4), rnd.IntN(4)
			switch rnd.IntN(6) {
			case 0, 1:
				l.counters[i].Add(Line{Customer: strconv.Itoa(j), Service: "s", Model: "m"}, 5, 2)
				answered++
			case 2:
				l.copies[j].Merge(l.counters[i].Since(rnd.Int64N(40)))
			case 3:
				l.write(i)
			case 4:
				l.see(i)
			case 5:
				if rnd.IntN(10) == 0 {
					l.kill(i)
				}
			}
			is.True(l.billed() <= answered && l.billed() >= last)
			last = l.billed()
		}
		for i := range 4 {
			l.see(i)
			l.write(i)
		}
		is.True(l.billed() > 0)
	}
}

// A copy of which a part is missing is not written: it could be behind the one
// that is, in some line.
func TestPartsOfACopy(t *testing.T) {
	is := is.New(t)
	c := NewCounter("i-1", 1)
	copies := NewCopies()
	due := func() []Tally { return copies.Due(Tally{Instance: "i-0"}, nil, 16) }
	c.Add(Line{Customer: "a"}, 1, 1)
	copies.Merge(c.Since(0))
	is.Equal(due()[0].Sequence, int64(1))
	c.Add(Line{Customer: "b"}, 1, 1) // its part is lost
	c.Add(Line{Customer: "a"}, 1, 1)
	copies.Merge(c.Since(2))
	is.Equal(due()[0].Sequence, int64(1))
	copies.Merge(c.Since(0))
	is.Equal(due()[0], c.Tally())
}

func TestForget(t *testing.T) {
	is := is.New(t)
	c := NewCounter("i-1", 1)
	copies := NewCopies()
	c.Add(Line{Customer: "a"}, 1, 1)
	copies.Merge(c.Tally())
	gone := func(string) bool { return false }
	copies.Prune(nil, gone)
	is.Equal(len(copies.Due(Tally{}, nil, 16)), 1) // not written yet
	copies.Prune(map[string]WriteMark{"i-1/1": {Sequence: 1}}, func(string) bool { return true })
	is.Equal(len(copies.Due(Tally{}, nil, 16)), 1) // may yet count
	copies.Prune(map[string]WriteMark{"i-1/1": {Sequence: 1}}, gone)
	is.Equal(len(copies.Due(Tally{}, nil, 16)), 0)
}

func TestSum(t *testing.T) {
	is := is.New(t)
	a, b := NewCounter("i-1", 1), NewCounter("i-1", 2)
	a.Add(Line{Customer: "b", Service: "s", Model: "m"}, 100, 3)
	a.Add(Line{Customer: "a", Service: "s"}, 0, 0)
	b.Add(Line{Customer: "b", Service: "s", Model: "m"}, 50, 4)
	is.Equal(Sum([]Tally{a.Tally(), b.Tally()}), []Entry{
		{Line{Customer: "a", Service: "s"}, Amount{Requests: 1}},
		{Line{Customer: "b", Service: "s", Model: "m"}, Amount{Requests: 2, Read: 150, Parts: 7}},
	})
}

func TestDueIsBounded(t *testing.T) {
	is := is.New(t)
	own := NewCounter("i-0", 1)
	copies := NewCopies()
	for i := range 40 {
		c := NewCounter(fmt.Sprint("i-", i+1), 1)
		c.Add(Line{Customer: "c"}, 0, 0)
		copies.Merge(c.Tally())
	}
	is.Equal(len(copies.Due(own.Tally(), nil, 16)), 16)
	own.Add(Line{Customer: "c"}, 0, 0)
	is.Equal(copies.Due(own.Tally(), nil, 16)[0].Instance, "i-0")
}
