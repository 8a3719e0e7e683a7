package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
)

// callServer is a server that processes as many calls at a time as it has slots.
type callServer struct{ freeAt []time.Time }

// serve returns when a call that arrives now and takes work ends.
func (s *callServer) serve(now time.Time, work time.Duration) time.Time {
	slices.SortFunc(s.freeAt, time.Time.Compare)
	start := now
	if s.freeAt[0].After(now) {
		start = s.freeAt[0]
	}
	s.freeAt[0] = start.Add(work)
	return s.freeAt[0]
}

// replayCalls replays calls of a service without models, from instances of three data centres
// with one server each. From the third second on, most callers are in one of them. It returns the
// times to the answers, sorted.
func replayCalls(t *testing.T, rate float64, work, goal time.Duration, instances, slots int) []time.Duration {
	random := rand.New(rand.NewPCG(5, 6))
	w := &fleetWorld{now: epoch}
	w.listing = listing(len(replayDataCentres), func(i int, s *backend.Server) {
		s.Service, s.Slots, s.DataCentre = "app", slots, replayDataCentres[i]
	})
	servers := map[string]*callServer{}
	for id := range w.listing.ByID {
		servers[id] = &callServer{make([]time.Time, slots)}
	}
	var dispatchers []*Dispatcher
	for i := range instances {
		settings := testSettings(fmt.Sprintf("edge-%d", i))
		settings.DataCentre, settings.Random = replayDataCentres[i%len(replayDataCentres)], random.IntN
		settings.CrossDataCentreCost = 150 * time.Millisecond
		dispatchers = append(dispatchers, New(settings))
	}
	q := &Query{Service: "app", Goal: goal, Members: []string{"a"}}
	call := func() {
		i := random.IntN(instances)
		if w.now.Sub(epoch) > 3*time.Second && random.Float64() < 0.7 {
			i -= i % len(replayDataCentres)
		}
		a, err := dispatchers[i].Place(w.listing, q, w.now)
		is.New(t).NoErr(err)
		distance := time.Millisecond
		if a.Server.DataCentre != dispatchers[i].settings.DataCentre {
			distance = 9 * time.Millisecond
		}
		end := servers[a.Server.ID].serve(w.now, time.Duration((0.5+random.Float64())*float64(work))).Add(distance)
		took := end.Sub(w.now)
		w.waits = append(w.waits, took)
		w.after(took, func() {
			a.RecordFirstEvent(took)
			a.Done(Succeeded, w.now)
		})
	}
	var arrive func()
	arrive = func() {
		for range 3 { // callers come in clumps
			call()
		}
		w.after(time.Duration(random.ExpFloat64()*3/rate*float64(time.Second)), arrive)
	}
	arrive()
	r := &replay{world: w, minDelay: 50 * time.Millisecond, maxDelay: 250 * time.Millisecond}
	r.report(dispatchers, 1)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(fleetEvent)
		if w.now = e.at; w.now.Sub(epoch) > replayDuration {
			break
		}
		e.do()
	}
	slices.Sort(w.waits)
	return w.waits
}

// Calls of a service of few slots, most of them in one data centre for a while, use the slots of
// the others as long as their goal bears the way: while servers are busy for a third to a half
// of the time, next to none misses it.
func TestCallsUseFreeSlots(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		rate       float64
		work, goal time.Duration
	}{
		{92, 60 * time.Millisecond, 300 * time.Millisecond},
		{150, 60 * time.Millisecond, 300 * time.Millisecond},
		{500, 15 * time.Millisecond, 120 * time.Millisecond},
	} {
		took := replayCalls(t, c.rate, c.work, c.goal, 72, 6)
		late := shareOver(took, c.goal)
		t.Logf("%v calls a second of %v: %.4f over %v", c.rate, c.work, late, c.goal)
		is.True(late <= 0.01)
	}
}

// Like servers get about the same number of requests, also if one seems a little slower.
func TestLikeServersShareCalls(t *testing.T) {
	for _, c := range []struct{ took, noise, slower time.Duration }{
		{50 * time.Millisecond, 3 * time.Millisecond, 500 * time.Microsecond},
		{time.Millisecond, 4 * time.Millisecond, 500 * time.Microsecond},
	} {
		is := is.New(t)
		random := rand.New(rand.NewPCG(1, 1))
		settings := testSettings("a")
		settings.Random = random.IntN
		d := New(settings)
		l := listing(3, func(_ int, s *backend.Server) { s.Service, s.DataCentre = "app", "gulberg" })
		placed := map[string]int{}
		for i := range 3000 {
			now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
			a, err := d.Place(l, &Query{Service: "app", Members: []string{"a"}}, now)
			is.NoErr(err)
			placed[a.Server.ID]++
			took := c.took + time.Duration(random.Float64()*float64(c.noise))
			if a.Server.ID == "s01" {
				took += c.slower
			}
			a.RecordFirstEvent(took)
			a.Done(Succeeded, now)
		}
		t.Logf("calls of %v: %v", c.took, placed)
		for _, n := range placed {
			is.True(n >= 500) // half of an even share
		}
		is.Equal(len(placed), 3)
	}
}
