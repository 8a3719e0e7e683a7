package absence

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scenario is one line of testdata/fleets.txt.
type scenario struct {
	name                 string
	size, lose, at       int
	share                float64
	pause, duration, cut int
	loss                 float64
	seconds, gone, found int
}

func readScenarios(t *testing.T) []scenario {
	raw, err := os.ReadFile("testdata/fleets.txt")
	is.New(t).NoErr(err)
	var list []scenario
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var s scenario
		_, err := fmt.Sscan(line, &s.name, &s.size, &s.lose, &s.at, &s.share, &s.pause, &s.duration, &s.cut, &s.loss, &s.seconds, &s.gone, &s.found)
		is.New(t).NoErr(err)
		list = append(list, s)
	}
	return list
}

const step = 500 * time.Millisecond

// fleet is a simulated data centre: detectors that exchange datagrams, and the
// announcements, of which a detector removes those that it finds gone.
type fleet struct {
	scenario
	random    *rand.Rand
	detectors []*Detector
	ring      []Announcement
	revision  int64
	// lostAt and foundAt are by the index of an instance.
	lostAt, foundAt map[int]time.Time
	// wronglyFound lists the living instances that were found gone.
	wronglyFound map[int]bool
}

func newFleet(s scenario, seed uint64) *fleet {
	f := &fleet{scenario: s, random: rand.New(rand.NewPCG(seed, 1)), lostAt: map[int]time.Time{}, foundAt: map[int]time.Time{}, wronglyFound: map[int]bool{}}
	for i := range s.size {
		f.detectors = append(f.detectors, New(fmt.Sprint(i), DefaultSettings))
		f.announce(i)
	}
	return f
}

// announce adds an instance to the ring, unless it is there.
func (f *fleet) announce(i int) {
	name := fmt.Sprint(i)
	if slices.ContainsFunc(f.ring, func(a Announcement) bool { return a.Name == name }) {
		return
	}
	f.revision++
	f.ring = append(f.ring, Announcement{name, f.revision})
	slices.SortFunc(f.ring, func(a, b Announcement) int { return strings.Compare(a.Name, b.Name) })
}

// index returns the index of the named instance.
func index(name string) (i int) {
	fmt.Sscan(name, &i)
	return i
}

func (f *fleet) isLost(i int) bool { return !f.lostAt[i].IsZero() }

// disturbed reports whether the time since the start is in the disturbance.
func (f *fleet) disturbed(since time.Duration) bool {
	from := time.Duration(f.at) * time.Second
	return since >= from && since < from+time.Duration(f.duration)*time.Second
}

func (f *fleet) run() {
	start := time.Unix(1000, 0)
	for since := time.Duration(0); since < time.Duration(f.seconds)*time.Second; since += step {
		now := start.Add(since)
		if since == time.Duration(f.at)*time.Second {
			f.loseSome(now)
		}
		f.expire(now)
		for i, d := range f.detectors {
			silent := f.disturbed(since) && (i < f.pause || i < f.cut)
			if f.isLost(i) || f.disturbed(since) && i < f.pause || since%DefaultSettings.Interval != time.Duration(i%2)*step {
				continue
			}
			f.announce(i) // an instance that sees that its announcement is gone announces itself again
			ask, suspects := d.Round(f.ring, now)
			for _, a := range ask {
				f.exchange(d, index(a.Name), silent, since, now)
			}
			for _, a := range suspects {
				if silent || f.isUnreachable(index(a.Name), since) {
					f.remove(a, now)
				}
			}
		}
	}
}

func (f *fleet) loseSome(now time.Time) {
	for i := range f.size {
		if i < f.lose || f.random.Float64() < f.share {
			f.lostAt[i] = now
		}
	}
}

// isUnreachable reports whether an instance is lost, paused or cut off.
func (f *fleet) isUnreachable(i int, since time.Duration) bool {
	return f.isLost(i) || f.disturbed(since) && (i < f.pause || i < f.cut)
}

// longestAnnouncement is how long an announcement outlasts its instance at most, in the
// largest fleet.
const longestAnnouncement = 90 * time.Second

// expire ends the announcements of the instances that were lost long ago.
func (f *fleet) expire(now time.Time) {
	for i, lostAt := range f.lostAt {
		if now.Sub(lostAt) >= longestAnnouncement {
			f.remove(f.announcement(i), now)
		}
	}
}

// announcement returns an instance's announcement, or a zero one if there is none.
func (f *fleet) announcement(i int) Announcement {
	for _, a := range f.ring {
		if index(a.Name) == i {
			return a
		}
	}
	return Announcement{}
}

// exchange sends a question and its answer.
func (f *fleet) exchange(d *Detector, to int, silent bool, since time.Duration, now time.Time) {
	if silent || f.isUnreachable(to, since) || f.random.Float64() < f.loss {
		return
	}
	f.detectors[to].Heard(d.self, now)
	if f.random.Float64() >= f.loss {
		d.Heard(fmt.Sprint(to), now)
	}
}

func (f *fleet) remove(a Announcement, now time.Time) {
	n := len(f.ring)
	f.ring = slices.DeleteFunc(f.ring, func(b Announcement) bool { return a == b })
	if i := index(a.Name); len(f.ring) < n {
		if f.isLost(i) {
			f.foundAt[i] = now
		} else {
			f.wronglyFound[i] = true
		}
	}
}

// Lost instances are found in time, and others aren't taken for lost, whatever else
// happens. A single one is found about as soon as the short announcement of a small
// fleet would end, and many in no more time than the longest announcement.
func TestFleets(t *testing.T) {
	for _, s := range readScenarios(t) {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				f := newFleet(s, seed)
				f.run()
				is.True(len(f.wronglyFound) <= s.found) // living instances that were found gone
				for i, lostAt := range f.lostAt {
					if lostAt.IsZero() || len(f.lostAt) == f.size {
						continue
					}
					foundAt, found := f.foundAt[i]
					is.True(found)                                                    // the loss was found
					is.True(foundAt.Sub(lostAt) <= time.Duration(s.gone)*time.Second) // in time
				}
			}
		})
	}
}

// An instance asks the same small number of others in any fleet.
func TestSuccessors(t *testing.T) {
	is := is.New(t)
	var ring []Announcement
	for i := range 400 {
		ring = append(ring, Announcement{fmt.Sprintf("%03d", i), int64(i)})
		is.Equal(len(successors(ring, "000", 3)), min(3, i))
	}
	is.Equal(successors(ring, "399", 2), []Announcement{{"000", 0}, {"001", 1}})
	is.Equal(len(successors(ring, "unknown", 2)), 0)
}
