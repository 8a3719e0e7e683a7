package store

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// bound reads one line of testdata/bounds.txt.
func bound(t testing.TB, key string) float64 {
	t.Helper()
	text, err := os.ReadFile("testdata/bounds.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok && name == key {
			v, err := strconv.ParseFloat(value, 64)
			if err != nil {
				t.Fatal(err)
			}
			return v
		}
	}
	t.Fatal("no bound", key)
	return 0
}

// need is a call that an instance wants to make, again and again.
type need struct {
	client  *Client
	kind    kind
	purpose Purpose
	every   time.Duration
	next    time.Time
}

// herd is a fleet's calls of one store on a fake clock.
type herd struct {
	clock  *clockwork.FakeClock
	needs  []*need
	down   bool
	reads  map[int64]int
	writes map[int64]int
}

// The ledger's shards, unevenly held, each committing as often as it may.
const (
	shards         = 12
	shardHolders   = 3
	commitInterval = 70 * time.Millisecond
)

const herdTick = 10 * time.Millisecond

// newHerd builds the clients of 360 instances at the target size: two watchers
// in each of 16 data centres, twelve ledger shards on three instances, and
// statistics everywhere.
func newHerd(instances int, opts ...Option) *herd {
	h := &herd{clock: clockwork.NewFakeClockAt(time.Unix(1e9, 0)), reads: map[int64]int{}, writes: map[int64]int{}}
	for i := range instances {
		options := append([]Option{
			WithClock(h.clock), WithRand(rand.New(rand.NewPCG(1, uint64(i)))),
			WithMembers(func() int { return instances }),
		}, opts...)
		c := New("", options...)
		if i < 32 {
			h.add(c, read, Configuration, time.Second)
		}
		if i < shardHolders {
			for range shards / shardHolders {
				h.add(c, write, Ledger, commitInterval)
			}
		}
		h.add(c, write, Statistics, 5*time.Minute)
	}
	return h
}

func (h *herd) add(c *Client, k kind, p Purpose, every time.Duration) {
	h.needs = append(h.needs, &need{client: c, kind: k, purpose: p, every: every, next: h.clock.Now()})
}

// run makes the calls that are due and allowed, and counts them by second.
func (h *herd) run(d time.Duration) {
	for end := h.clock.Now().Add(d); h.clock.Now().Before(end); h.clock.Advance(herdTick) {
		now := h.clock.Now()
		for _, n := range h.needs {
			if now.Before(n.next) || !n.client.hold.open(n.purpose) {
				continue
			}
			count := h.reads
			if n.kind == write {
				count = h.writes
			}
			wait, ok := n.client.budget.of(n.kind, n.purpose).take(n.purpose)
			if !ok {
				n.next = now.Add(wait)
				continue
			}
			count[now.Unix()]++
			if h.down {
				n.client.hold.failed()
			} else {
				n.client.hold.succeeded()
				n.next = now.Add(n.every)
			}
		}
	}
}

func peak(bySecond map[int64]int) (n int) {
	for _, v := range bySecond {
		n = max(n, v)
	}
	return n
}

// TestHerd lets 360 instances start at once and then lose the store for
// ten minutes, after which its pauses have long been at their greatest: neither the start, nor the outage, nor the return goes above the
// service's limits.
func TestHerd(t *testing.T) {
	is := is.New(t)
	readLimit, writeLimit := bound(t, "ReadsPerSecond"), bound(t, "WritesPerSecond")
	h := newHerd(360)
	// At a start everybody reads the document and its revision, and watches
	// until it has found its peers.
	var starting []*need
	for _, n := range h.needs {
		if n.purpose == Statistics {
			for range 3 {
				starting = append(starting, &need{client: n.client, kind: read, purpose: Configuration, every: time.Hour, next: h.clock.Now()})
			}
		}
	}
	h.needs = append(h.needs, starting...)
	for _, phase := range []struct {
		name string
		down bool
		d    time.Duration
	}{{"start", false, 20 * time.Second}, {"outage", true, 10 * time.Minute}, {"return", false, 20 * time.Second}} {
		clear(h.reads)
		clear(h.writes)
		h.down = phase.down
		h.run(phase.d)
		t.Logf("%s: peak %d reads/s, %d writes/s", phase.name, peak(h.reads), peak(h.writes))
		is.True(float64(peak(h.reads)) <= readLimit)
		is.True(float64(peak(h.writes)) <= writeLimit)
	}
}

// TestLedgerIsNotHeldUp lets one of nine instances keep four shards of twelve:
// its share lets them commit as often as they may.
func TestLedgerIsNotHeldUp(t *testing.T) {
	is := is.New(t)
	h := newHerd(9)
	h.needs = h.needs[:0:0]
	c := New("", WithClock(h.clock), WithMembers(func() int { return 9 }))
	for range 4 {
		h.add(c, write, Ledger, commitInterval)
	}
	const seconds = 60
	h.run(seconds * time.Second)
	made := 0
	for _, n := range h.writes {
		made += n
	}
	is.Equal(made, 4*int(seconds*time.Second/commitInterval)+4)
}

// TestIdle counts the calls for control while nothing happens, waiting watches
// among them.
func TestIdle(t *testing.T) {
	is := is.New(t)
	h := newHerd(360)
	h.needs = h.needs[:0:0]
	for i := range 32 {
		h.add(newHerd(1).needs[0].client, read, Configuration, time.Second)
		h.needs[i].client = New("", WithClock(h.clock), WithMembers(func() int { return 360 }))
	}
	h.run(time.Minute)
	watches := len(h.needs)
	t.Logf("idle: %d reads/s and %d waiting watches", peak(h.reads), watches)
	is.True(float64(peak(h.reads)+watches) <= bound(t, "IdleShare")*bound(t, "ReadsPerSecond"))
}
