package tally

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// fleet simulates instances that count, copy and write tallies. Its store accepts
// a write only at the revision that the writer last read.
type fleet struct {
	t        *testing.T
	run      int64
	revision int64
	counters []*Counter
	copies   []*Copies
	stored   map[string]Tally
	marks    map[string]WriteMark
	// known holds the write marks as each instance last read them.
	known []map[string]WriteMark
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, stored: map[string]Tally{}, marks: map[string]WriteMark{}}
	for range n {
		f.counters, f.copies, f.known = append(f.counters, nil), append(f.copies, nil), append(f.known, nil)
	}
	for i := range n {
		f.restart(i)
	}
	return f
}

func (f *fleet) restart(i int) {
	f.run++
	f.counters[i] = NewCounter(fmt.Sprint("i-", i), f.run)
	f.copies[i] = NewCopies()
	f.readMarks(i)
}

func (f *fleet) readMarks(i int) {
	f.known[i] = map[string]WriteMark{}
	for name, m := range f.marks {
		f.known[i][name] = m
	}
}

// write writes every due tally of instance i, or none if a revision has changed.
func (f *fleet) write(i int) {
	due := f.copies[i].Due(f.counters[i].Tally(), f.known[i], 16)
	for _, t := range due {
		if f.known[i][t.Key()].Revision != f.marks[t.Key()].Revision {
			return
		}
	}
	f.revision++
	for _, t := range due {
		is.New(f.t).True(t.Sequence > f.stored[t.Key()].Sequence)
		f.stored[t.Key()], f.marks[t.Key()] = t, WriteMark{t.Sequence, revision.Revision{Number: f.revision}}
	}
}

func (f *fleet) billed() (n int64) {
	for _, t := range f.stored {
		for _, e := range t.Entries {
			n += e.Requests
		}
	}
	return n
}

// TestLosses replays testdata/losses.txt, which loses, delays and repeats copies and
// writes, and checks the billed sum after each group of steps.
func TestLosses(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("testdata/losses.txt")
	is.NoErr(err)
	f := newFleet(t, 6)
	before := make([]Tally, 6)
	for line := range strings.Lines(string(raw)) {
		fields := append(strings.Fields(line), "", "", "")
		i, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "answer":
			before[i] = f.counters[i].Tally()
			f.counters[i].Add(Line{Customer: "c", Service: "s"}, 10, 1)
		case "copy":
			to, _ := strconv.Atoi(fields[2])
			if fields[3] == "late" {
				f.copies[to].Merge(before[i])
			} else {
				f.copies[to].Merge(f.counters[i].Tally())
			}
		case "write":
			if fields[2] != "failed" {
				f.write(i)
			}
			if fields[2] == "" {
				f.readMarks(i)
			}
		case "kill":
			f.restart(i)
		case "billed":
			is.Equal(f.billed(), int64(i)) // billed
		}
	}
}

// Delayed, lost and repeated copies and writes must neither bill a request twice
// nor reduce what is already billed.
func TestNoDoubleBilling(t *testing.T) {
	for seed := range uint64(300) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(t, 4)
		answered, last := int64(0), int64(0)
		for range 400 {
			i, j := rng.IntN(4), rng.IntN(4)
			switch rng.IntN(6) {
			case 0, 1:
				f.counters[i].Add(Line{Customer: strconv.Itoa(j), Service: "s", Model: "m"}, 5, 2)
				answered++
			case 2:
				f.copies[j].Merge(f.counters[i].Since(rng.Int64N(40)))
			case 3:
				f.write(i)
			case 4:
				f.readMarks(i)
			case 5:
				if rng.IntN(10) == 0 {
					f.restart(i)
				}
			}
			is.True(f.billed() <= answered && f.billed() >= last)
			last = f.billed()
		}
		for i := range 4 {
			f.readMarks(i)
			f.write(i)
		}
		is.True(f.billed() > 0)
	}
}

// An incomplete copy must not be written: some of its lines may be older than
// those already in the store.
func TestIncompleteCopyIsNotDue(t *testing.T) {
	is := is.New(t)
	c := NewCounter("i-1", 1)
	copies := NewCopies()
	due := func() []Tally { return copies.Due(Tally{Instance: "i-0"}, nil, 16) }
	c.Add(Line{Customer: "a"}, 1, 1)
	copies.Merge(c.Since(0))
	is.Equal(due()[0].Sequence, int64(1))
	c.Add(Line{Customer: "b"}, 1, 1) // this part is lost
	c.Add(Line{Customer: "a"}, 1, 1)
	copies.Merge(c.Since(2))
	is.Equal(due()[0].Sequence, int64(1))
	copies.Merge(c.Since(0))
	is.Equal(due()[0], c.Tally())
}

func TestPrune(t *testing.T) {
	is := is.New(t)
	c := NewCounter("i-1", 1)
	copies := NewCopies()
	c.Add(Line{Customer: "a"}, 1, 1)
	copies.Merge(c.Tally())
	inactive := func(string) bool { return false }
	copies.Prune(nil, inactive)
	is.Equal(len(copies.Due(Tally{}, nil, 16)), 1) // not written yet
	copies.Prune(map[string]WriteMark{"i-1/1": {Sequence: 1}}, func(string) bool { return true })
	is.Equal(len(copies.Due(Tally{}, nil, 16)), 1) // the instance may still count
	copies.Prune(map[string]WriteMark{"i-1/1": {Sequence: 1}}, inactive)
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
