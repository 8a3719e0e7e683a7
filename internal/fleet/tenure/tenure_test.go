package tenure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
	"github.com/kingcupyard/kingcupyard/internal/standin/script"
)

var epoch = time.Unix(1000, 0)

// TestTracker runs the cases of testdata/tracker.txt, whose first lines describe the steps.
func TestTracker(t *testing.T) {
	script.Run(t, "testdata/tracker.txt", func(t *testing.T, lines []string) {
		is := is.New(t)
		tracker := New("a", 2*time.Second)
		for _, line := range lines {
			t.Log(line)
			runStep(is, tracker, line)
		}
	})
}

func runStep(is *is.I, tracker *Tracker, line string) {
	var at, window float64
	var step string
	var names []string
	fields := make([]string, 8)
	n, _ := fmt.Sscan(line, &at, &step, &fields[0], &fields[1], &fields[2], &fields[3], &fields[4], &fields[5])
	names = fields[:max(0, n-2)]
	now := epoch.Add(time.Duration(at * float64(time.Second)))
	switch step {
	case "announced":
		announced := map[string]int64{}
		for _, name := range names {
			var revision int64
			_, err := fmt.Sscanf(name, name[:1]+"%d", &revision)
			is.NoErr(err)
			announced[name[:1]] = revision
		}
		tracker.Observe(announced, now)
	case "known":
		var age, want float64
		_, err := fmt.Sscan(names[0]+" "+names[1], &age, &want)
		is.NoErr(err)
		is.Equal(tracker.KnownFor(time.Duration(age*float64(time.Second)), true, now).Seconds(), want)
		is.Equal(tracker.KnownFor(0, false, now), time.Duration(0))
	case "members":
		_, err := fmt.Sscan(names[0], &window)
		is.NoErr(err)
		got := slices.Sorted(slices.Values(tracker.Members(time.Duration(window*float64(time.Second)), now)))
		is.Equal(fmt.Sprint(got), fmt.Sprint(names[1:]))
	case "lasting":
		var want float64
		_, err := fmt.Sscan(names[0]+" "+names[1], &window, &want)
		is.NoErr(err)
		is.Equal(tracker.LastingShare(time.Duration(window*float64(time.Second)), now), want)
	default:
		is.Equal(step, "one of the steps")
	}
}

// An event of a simulated store: from revision on, the announcement of a name is there or
// gone.
type event struct {
	at       time.Time
	name     string
	revision int64 // 0 if the announcement ended
}

// simulation is a fleet whose instances follow the announcements in a store, each with
// delays of its own. Instances are killed and started again, are cut off from the store, so
// that their announcements end, and join.
type simulation struct {
	random *rand.Rand
	events []event
	// revision is the store's.
	revision  int64
	instances []*instance
}

type instance struct {
	name    string
	tracker *Tracker
	// upAt is when the process is up again; announceAt when it announces itself next.
	upAt, announceAt time.Time
	// applied is the number of events that the view holds, viewedAt as of when.
	applied  int
	viewedAt time.Time
	viewed   bool
	// cutUntil is when the store answers again.
	cutUntil time.Time
	// leaseUntil is when the announcement ends unless it is renewed.
	leaseUntil time.Time
	announced  bool
	// view maps the names to the revisions in view.
	view map[string]int64
	// dispatcher is that of the running process.
	dispatcher *dispatch.Dispatcher
}

const (
	maxViewAge = 1600 * time.Millisecond
	window     = 1150 * time.Millisecond
	leaseTTL   = 8 * time.Second
	step       = 50 * time.Millisecond
	duration   = 60 * time.Second

	coldRate, coldOverrun, coldSlack = 11, 1.5, 5
)

func newSimulation(seed uint64, size int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1))}
	for i := range size {
		s.instances = append(s.instances, &instance{name: fmt.Sprint(i), upAt: epoch})
		s.start(s.instances[i], epoch)
	}
	return s
}

// start starts a process of an instance that knows nothing.
func (s *simulation) start(i *instance, at time.Time) {
	i.tracker, i.view = New(i.name, maxViewAge), map[string]int64{}
	i.applied, i.viewed, i.announced = 0, false, false
	i.dispatcher = dispatch.New(dispatch.Settings{Instance: i.name, ColdOverrun: coldOverrun, ColdSlack: coldSlack})
	i.upAt, i.announceAt = at, at.Add(time.Duration(s.random.IntN(700))*time.Millisecond)
}

// record adds an event to the store.
func (s *simulation) record(at time.Time, name string, present bool) {
	s.revision++
	e := event{at: at, name: name}
	if present {
		e.revision = s.revision
	}
	s.events = append(s.events, e)
}

// advance lets an instance renew its announcement and read the store.
func (s *simulation) advance(i *instance, now time.Time) {
	if !i.leaseUntil.IsZero() && !now.Before(i.leaseUntil) {
		s.record(now, i.name, false)
		i.leaseUntil = time.Time{}
	}
	if now.Before(i.upAt) || now.Before(i.cutUntil) {
		return
	}
	if _, seen := i.view[i.name]; i.announced && i.leaseUntil.IsZero() && (!seen || !now.Before(i.announceAt)) {
		i.announced, i.announceAt = false, now // it was removed, or the renewal has failed
	}
	if !now.Before(i.announceAt) {
		if !i.announced {
			s.record(now, i.name, true)
			i.announced = true
		}
		i.leaseUntil, i.announceAt = now.Add(leaseTTL), now.Add(leaseTTL/3)
	}
	if s.random.IntN(8) == 0 { // reads take a while, and some are late
		late := time.Duration(s.random.IntN(600)) * time.Millisecond
		i.read(s.events, now.Add(-late), now)
	}
}

// read applies the events up to a time.
func (i *instance) read(events []event, upTo, now time.Time) {
	if i.viewed && upTo.Before(i.viewedAt) {
		return
	}
	for ; i.applied < len(events) && !events[i.applied].at.After(upTo); i.applied++ {
		if e := events[i.applied]; e.revision == 0 {
			delete(i.view, e.name)
		} else {
			i.view[e.name] = e.revision
		}
	}
	i.viewed, i.viewedAt = true, upTo
	i.tracker.Observe(i.view, now)
}

// disturb kills, cuts off and adds instances by chance.
func (s *simulation) disturb(now time.Time) {
	switch s.random.IntN(200) {
	case 0: // all are killed
		for _, i := range s.instances {
			s.start(i, now.Add(300*time.Millisecond+time.Duration(s.random.IntN(600))*time.Millisecond))
		}
	case 1, 2: // one is restarted
		s.start(s.instances[s.random.IntN(len(s.instances))], now.Add(time.Duration(s.random.IntN(4000))*time.Millisecond))
	case 3: // a third is turned away
		for _, i := range s.instances {
			if s.random.IntN(3) == 0 {
				i.cutUntil = now.Add(time.Duration(2000+s.random.IntN(12000)) * time.Millisecond)
			}
		}
	case 4: // one stops as planned
		i := s.instances[s.random.IntN(len(s.instances))]
		if !i.leaseUntil.IsZero() && !now.Before(i.upAt) && !now.Before(i.cutUntil) {
			s.record(now, i.name, false)
			i.leaseUntil = time.Time{}
			s.start(i, now.Add(2*time.Second))
		}
	case 5, 6: // one is taken for gone, and sees that later
		i := s.instances[s.random.IntN(len(s.instances))]
		if !i.leaseUntil.IsZero() {
			s.record(now, i.name, false)
			i.leaseUntil = time.Time{}
		}
	case 7:
		i := &instance{name: fmt.Sprint(len(s.instances))}
		s.instances = append(s.instances, i)
		s.start(i, now)
	}
}

// Whoever uses a share is known to all others that use one within the window, whoever is
// killed, restarted, turned away or added: no division gives more than the limit.
func TestUsersOfSharesKnowEachOther(t *testing.T) {
	is := is.New(t)
	type use struct {
		at      time.Time
		name    string
		members []string
	}
	used := 0
	for seed := range uint64(40) {
		s := newSimulation(seed, 5)
		var uses []use
		for now := epoch; now.Sub(epoch) < duration; now = now.Add(step) {
			s.disturb(now)
			for _, i := range s.instances {
				s.advance(i, now)
			}
			for _, i := range s.instances {
				if !now.Before(i.upAt) && i.tracker.KnownFor(now.Sub(i.viewedAt), i.viewed, now) >= window {
					uses = append(uses, use{now, i.name, i.tracker.Members(window, now)})
				}
			}
			uses = slices.DeleteFunc(uses, func(u use) bool { return now.Sub(u.at) >= time.Second })
			for _, u := range uses {
				for _, v := range uses {
					is.True(slices.Contains(u.members, v.name)) // each knows all others
				}
			}
			used += len(uses)
		}
	}
	is.True(used > 40*int(duration/step)) // shares are in use for most of the time
}

// After a restart an instance uses no share within the window of its predecessor's requests.
func TestNothingOfThePredecessorIsSpent(t *testing.T) {
	is := is.New(t)
	for late := time.Duration(0); late < 3*time.Second; late += 10 * time.Millisecond {
		tracker := New("a", maxViewAge)
		// The view holds the predecessor's announcement until that of the process itself.
		tracker.Observe(map[string]int64{"a": 1, "b": 2}, epoch)
		tracker.Observe(map[string]int64{"a": 3, "b": 2}, epoch.Add(late))
		for since := time.Duration(0); since <= window; since += 10 * time.Millisecond {
			is.True(tracker.KnownFor(0, true, epoch.Add(since)) < window)
		}
		is.True(tracker.KnownFor(0, true, epoch.Add(late+maxViewAge+window)) >= window)
	}
}

// All instances together stay within a cold server's limit whenever it turns cold: while they
// restart in turn, while all are killed, and while the store turns a third of them away.
func TestColdServerWhileMembersChange(t *testing.T) {
	const size = 8
	scenarios := map[string]func(s *simulation, since time.Duration, now time.Time){
		"restarts in turn": func(s *simulation, since time.Duration, now time.Time) {
			if since%(2*time.Second) == 0 {
				s.start(s.instances[int(since/(2*time.Second))%size], now.Add(500*time.Millisecond))
			}
		},
		"all are killed": func(s *simulation, since time.Duration, now time.Time) {
			if since%(9*time.Second) == 8*time.Second {
				for _, i := range s.instances {
					s.start(i, now.Add(500*time.Millisecond))
				}
			}
		},
		"a third is turned away": func(s *simulation, since time.Duration, now time.Time) {
			if since%(20*time.Second) == 10*time.Second {
				for _, i := range s.instances[:3] {
					i.cutUntil = now.Add(9 * time.Second)
				}
			}
		},
	}
	directory := backend.NewDirectory()
	directory.Announce(backend.Server{ID: "s", Service: "x", Slots: 6, State: backend.Ready, ColdLeft: time.Hour, Revision: revision.Revision{Number: 1}}, epoch)
	cold := directory.Listing()
	for name, disturb := range scenarios {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(10) {
				s := newSimulation(seed, size)
				var recent []time.Time // the requests of the last second
				sent := 0
				for now := epoch; now.Sub(epoch) < duration; now = now.Add(step) {
					disturb(s, now.Sub(epoch), now)
					recent = slices.DeleteFunc(recent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
					for _, i := range s.instances {
						s.advance(i, now)
						if now.Before(i.upAt) {
							continue
						}
						for q := i.query(now); ; sent++ {
							a, err := i.dispatcher.Place(cold, q, now)
							if err != nil {
								break
							}
							is.True(a.Send(cold, q, now))
							recent = append(recent, now)
							a.Done(dispatch.Succeeded, now)
						}
					}
					is.True(float64(len(recent)) <= coldRate*coldOverrun+coldSlack)
				}
				is.True(sent > int(0.2*coldRate*duration.Seconds())) // the server is used
			}
		})
	}
}

func (i *instance) query(now time.Time) *dispatch.Query {
	return &dispatch.Query{
		Service: "x", ColdRate: coldRate, Members: i.tracker.Members(window, now), KnownFor: i.tracker.KnownFor(now.Sub(i.viewedAt), i.viewed, now),
	}
}
