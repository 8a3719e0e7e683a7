package share

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Over the fleet, it is found out within five seconds who sends many times the usual, and
// no others are taken for it, also while half of the reports are lost. The reports pass
// through readers that add them up, as in a large fleet.
func TestHotCustomer(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			is := is.New(t)
			raw, err := os.ReadFile("testdata/hot.txt")
			is.NoErr(err)
			f := &trackedFleet{rnd: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), rates: map[string]float64{}, factors: map[string]float64{}}
			for line := range strings.Lines(string(raw)) {
				var word, name string
				var at, value float64
				switch word, _, _ = strings.Cut(line, " "); word {
				case "instances":
					_, err = fmt.Sscan(line, &word, &value)
					for range int(value) {
						f.trackers = append(f.trackers, NewTracker())
					}
				case "customer":
					_, err = fmt.Sscan(line, &word, &name, &value)
					f.names, f.rates[name], f.factors[name] = append(f.names, name), value, 1
				case "times":
					_, err = fmt.Sscan(line, &word, &at, &name, &value)
					f.run(at)
					f.factors[name] = value
				case "lose":
					_, err = fmt.Sscan(line, &word, &at, &f.lost)
					f.run(at)
				case "expect":
					var over bool
					_, err = fmt.Sscan(line, &word, &at, &name, &over)
					f.run(at)
					for _, tracker := range f.trackers[f.lost:] {
						this, others := tracker.Exceeds("assistant", name)
						if this != over {
							t.Logf("%s at %v", name, at)
						}
						is.Equal(this, over) // of the customer named
						is.True(others || !over)
					}
				}
				is.NoErr(err)
			}
		})
	}
}

// trackedFleet is a fleet of Trackers whose reports are added up by one reader in ten.
type trackedFleet struct {
	rnd      *rand.Rand
	start    time.Time
	at       time.Duration
	sequence int64
	trackers []*Tracker
	names    []string
	rates    map[string]float64
	factors  map[string]float64
	// lost is the number of instances whose reports are lost.
	lost int
}

const groupSize = 10

// run plays until a time in seconds.
func (f *trackedFleet) run(until float64) {
	const step = 10 * time.Millisecond
	for ; f.at.Seconds() < until; f.at += step {
		now := f.start.Add(f.at)
		for _, name := range f.names {
			for n := f.rates[name] * f.factors[name] * step.Seconds(); n > 0; n-- {
				if f.rnd.Float64() < n {
					f.trackers[f.rnd.IntN(len(f.trackers))].Observe("assistant", name, time.Duration(50+f.rnd.IntN(100))*time.Millisecond, now)
				}
			}
		}
		if f.at%time.Second == 0 {
			f.exchange(now)
		}
	}
}

// exchange passes the reports on.
func (f *trackedFleet) exchange(now time.Time) {
	f.sequence++
	readers := len(f.trackers) / groupSize
	var names, groups []string
	for i := range f.trackers {
		names = append(names, strconv.Itoa(i))
	}
	for r := range readers {
		groups = append(groups, "group/"+strconv.Itoa(r))
	}
	own := make([]Uses, len(f.trackers))
	for i, tracker := range f.trackers {
		own[i] = tracker.Own(now)
		if i >= f.lost && i >= readers {
			f.trackers[i%readers].UpdateSource(names[i], 1, f.sequence, own[i], now)
		}
	}
	for r := range readers {
		var members []string
		for i := readers; i < len(f.trackers); i++ {
			if i%readers == r {
				members = append(members, names[i])
			}
		}
		group := f.trackers[r].Sum(members, own[r], now)
		for other := range readers {
			if other != r {
				f.trackers[other].UpdateSource(groups[r], 1, f.sequence, group, now)
			}
		}
	}
	for i := readers; i < len(f.trackers); i++ {
		r := i % readers
		total := f.trackers[r].Sum(append(append([]string{}, names...), groups...), own[r], now)
		if i >= f.lost {
			f.trackers[i].UpdateTotal(names[r], 1, f.sequence, total.Subtract(own[i]), now)
		}
	}
	for _, tracker := range f.trackers {
		tracker.Refresh(now)
	}
}

// A report has the same size however many customers there are, and keeps the heaviest.
func TestReportIsBounded(t *testing.T) {
	is := is.New(t)
	tracker, now := NewTracker(), time.Unix(1000, 0)
	for i := range 20000 {
		tracker.Observe("assistant", strconv.Itoa(i), 10*time.Millisecond, now)
	}
	tracker.Observe("assistant", "7", time.Second, now)
	own := tracker.Own(now)
	is.Equal(len(own), MaxReported)
	is.True(own[Key("assistant", "7")] > 400)
	is.True(len(tracker.own) <= maxOwn)
}

// A service's only customer exceeds nothing, and neither does anyone before there is a use.
func TestNobodyExceeds(t *testing.T) {
	is := is.New(t)
	tracker, now := NewTracker(), time.Unix(1000, 0)
	tracker.Refresh(now)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		tracker.Observe("assistant", "only", time.Second, now)
		tracker.Refresh(now)
		this, others := tracker.Exceeds("assistant", "only")
		is.True(!this && !others)
	}
}

// Reports that are old, out of order, negative or malformed change nothing.
func TestOddReports(t *testing.T) {
	is := is.New(t)
	tracker, now := NewTracker(), time.Unix(1000, 0)
	a, b, c := Key("assistant", "a"), Key("assistant", "b"), Key("assistant", "c")
	for i := range int64(8) {
		now = now.Add(time.Second)
		tracker.UpdateSource("x", 1, i, Uses{a: 100, b: 100, c: 100}, now)
		tracker.Refresh(now)
	}
	tracker.UpdateSource("x", 1, 4, Uses{a: 100000, b: 1, c: 1}, now)
	tracker.UpdateSource("y", 1, 1, Uses{a: -100, "odd": 100000}, now)
	tracker.Refresh(now)
	is.Equal(tracker.Exceeding(), 0)
	tracker.UpdateSource("x", 2, 1, Uses{a: 2000, b: 100, c: 100}, now)
	tracker.Refresh(now)
	over, _ := tracker.Exceeds("assistant", "a")
	is.True(over)
	tracker.Refresh(now.Add(reportTTL))
	is.Equal(tracker.Exceeding(), 0)
}

// A service with little work keeps its shares beside one with many heavy customers.
func TestLightServiceKeepsItsShares(t *testing.T) {
	is := is.New(t)
	uses := Uses{}
	for i := range 60 {
		uses[Key("heavy", fmt.Sprint(i))] = int64(1000 + i)
	}
	for i := range 5 {
		uses[Key("light", fmt.Sprint(i))] = int64(1 + i)
	}
	heaviest := uses.Heaviest()
	is.Equal(len(heaviest), MaxReported)
	for i := range 5 {
		is.Equal(heaviest[Key("light", fmt.Sprint(i))], int64(1+i))
	}
	is.Equal(heaviest[Key("heavy", "59")], int64(1059))
}
