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
	"github.com/kingcupyard/kingcupyard/internal/routing/speed"
)

// exchange is what instances know of the paces of servers.
type exchange int

const (
	// unstated stands for servers that state no pace.
	unstated exchange = iota
	// ownOnly stands for instances that use what servers state to them.
	ownOnly
	// shared stands for instances that report to each other.
	shared
)

func (x exchange) String() string { return [...]string{"unstated", "own only", "shared"}[x] }

// replay is a load before servers in three data centres.
type replay struct {
	load               fleetLoad
	instances, servers int
	exchange           exchange
	// uneven makes servers differ for good, share their machines with others at times, and
	// one of them slow for some seconds.
	uneven bool
	// minDelay and maxDelay are how old reports of the backlog are when they arrive, which
	// differs by instance.
	minDelay, maxDelay time.Duration
	seed               uint64

	world  *fleetWorld
	random *rand.Rand
	// placed counts the requests in each second by data centre.
	placed map[int]map[string]int
}

const replayDuration = 20 * time.Second

var replayDataCentres = []string{"gulberg", "johar", "dha"}

// run replays the load and returns the waits, sorted.
func (r *replay) run() []time.Duration {
	r.random = rand.New(rand.NewPCG(r.seed, 4))
	r.placed = map[int]map[string]int{}
	w := &fleetWorld{now: epoch, servers: map[string]*fleetServer{}, states: r.exchange != unstated}
	r.world = w
	w.listing = listing(r.servers, func(i int, s *backend.Server) { s.DataCentre = replayDataCentres[i%len(replayDataCentres)] })
	for id := range w.listing.ByID {
		w.servers[id] = &fleetServer{cached: map[string]time.Time{}}
	}
	if r.uneven {
		w.pace = r.unevenPace()
	}
	w.onPlace = func(a *Assignment) {
		second := int(w.now.Sub(epoch) / time.Second)
		if r.placed[second] == nil {
			r.placed[second] = map[string]int{}
		}
		r.placed[second][a.Server.DataCentre]++
	}
	var instances []*Dispatcher
	for i := range r.instances {
		settings := testSettings(fmt.Sprintf("edge-%d", i))
		settings.DataCentre, settings.Random = replayDataCentres[i%len(replayDataCentres)], r.random.IntN
		settings.CrossDataCentreCost = 150 * time.Millisecond
		instances = append(instances, New(settings))
	}
	for _, k := range r.load.kinds {
		w.arrive(r.load, k, instances, r.random)
	}
	r.report(instances, 1)
	if r.exchange == shared {
		r.reportSpeeds(instances, 1)
	}
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

// unevenPace returns the paces of servers that take 0.6, 1 or 1.6 times the usual time for
// good, of which others take a part for a sixth of the time, and one of which turns slow for
// some seconds.
func (r *replay) unevenPace() func(id string) float64 {
	w, busyUntil, changesAt := r.world, map[string]time.Time{}, map[string]time.Time{}
	return func(id string) float64 {
		var n int
		fmt.Sscanf(id, "s%d", &n)
		pace := []float64{0.6, 1, 1.6}[n/len(replayDataCentres)%3]
		if since := w.now.Sub(epoch); n == 0 && since > 8*time.Second && since < 14*time.Second {
			pace *= 3.5
		}
		if !w.now.Before(changesAt[id]) {
			changesAt[id] = w.now.Add(time.Duration(300+r.random.IntN(600)) * time.Millisecond)
			if r.random.Float64() < 0.15 {
				busyUntil[id] = changesAt[id]
			}
		}
		if w.now.Before(busyUntil[id]) {
			pace *= 2.5
		}
		return pace
	}
}

// report tells each instance the backlog of the others, each with its own delay.
func (r *replay) report(instances []*Dispatcher, sequence int64) {
	w, total, own := r.world, Backlog{}, make([]Backlog, len(instances))
	for i, d := range instances {
		own[i] = d.Backlog()
		total.Add(own[i])
	}
	for i, d := range instances {
		delay := r.minDelay + (r.maxDelay-r.minDelay)*time.Duration(i)/time.Duration(len(instances)-1)
		w.after(delay, func() { d.UpdateTotal("reader", 1, sequence, total.Subtract(own[i]), w.now) })
	}
	w.after(backlogReportTime, func() { r.report(instances, sequence+1) })
}

// backlogReportTime is the time between the reports of a replay.
const backlogReportTime = 100 * time.Millisecond

// reportSpeeds tells all instances what the others know of the servers' speeds.
func (r *replay) reportSpeeds(instances []*Dispatcher, sequence int64) {
	w, reader := r.world, speed.New()
	for i, d := range instances {
		reader.Merge(fmt.Sprint(i), speed.Own, 1, sequence, d.Speeds().Report(speed.Own, w.now), w.now)
	}
	all := reader.Report(speed.Fleet, w.now)
	w.after(200*time.Millisecond, func() {
		for _, d := range instances {
			d.Speeds().Merge("reader", speed.Fleet, 1, sequence, all, w.now)
		}
	})
	w.after(time.Second, func() { r.reportSpeeds(instances, sequence+1) })
}

// shareOver returns the share of waits that are longer than a time.
func shareOver(waits []time.Duration, limit time.Duration) float64 {
	n, _ := slices.BinarySearch(waits, limit)
	return 1 - float64(n)/float64(len(waits))
}

// Instances that share what servers state of their speed keep prompts from slow servers:
// fewer wait for more than a second than if servers stated nothing, and than if each instance
// used only what servers state to it.
func TestUnevenServers(t *testing.T) {
	is := is.New(t)
	late := map[exchange]float64{}
	const seeds = 4
	for _, x := range []exchange{unstated, ownOnly, shared} {
		for seed := range uint64(seeds) {
			r := replay{load: readFleetLoad(t, "testdata/uneven.txt"), instances: 61, servers: 60, exchange: x, uneven: true, seed: seed}
			r.minDelay, r.maxDelay = 50*time.Millisecond, 250*time.Millisecond
			late[x] += shareOver(r.run(), time.Second) / seeds
		}
		t.Logf("%v: %.4f wait for more than 1 s", x, late[x])
	}
	is.True(late[shared] < late[ownOnly])
	is.True(late[ownOnly] < late[unstated])
}

// Reports that are 0.1 to 2 s old don't send 70 instances to the server or the data centre
// that was last reported idle: while servers are busy for half of the time, next to nothing
// waits for longer than callers bear, and no data centre gets more than half of the requests of
// a second.
func TestNoHerdByOldReports(t *testing.T) {
	is := is.New(t)
	r := replay{load: readFleetLoad(t, "testdata/herd.txt"), instances: 70, servers: 60, minDelay: 100 * time.Millisecond, maxDelay: 2 * time.Second}
	waits := r.run()
	t.Logf("%d waits, %.4f over 1 s, %.4f over 2 s", len(waits), shareOver(waits, time.Second), shareOver(waits, 2*time.Second))
	is.True(shareOver(waits, 2*time.Second) <= 0.01)
	for second, byDataCentre := range r.placed {
		total, most := 0, 0
		for _, n := range byDataCentre {
			total, most = total+n, max(most, n)
		}
		if second < int(replayDuration/time.Second) && total > 50 {
			is.True(2*most <= total)
		}
	}
}
