package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
)

// fleetLoad is the load of a file such as testdata/fleet.txt.
type fleetLoad struct {
	kinds   []loadKind
	changes []loadChange
}

type loadKind struct {
	name     string
	rate     float64
	shared   int
	subjects int
	own      int
}

type loadChange struct {
	at     time.Duration
	factor float64
}

func readFleetLoad(t *testing.T, file string) (l fleetLoad) {
	raw, err := os.ReadFile(file)
	is.New(t).NoErr(err)
	for line := range strings.Lines(string(raw)) {
		var word string
		switch {
		case strings.HasPrefix(line, "kind"):
			var k loadKind
			_, err = fmt.Sscan(line, &word, &k.name, &k.rate, &k.shared, &k.subjects, &k.own)
			l.kinds = append(l.kinds, k)
		case strings.HasPrefix(line, "load"):
			var c loadChange
			var seconds float64
			_, err = fmt.Sscan(line, &word, &seconds, &c.factor)
			c.at = time.Duration(seconds * float64(time.Second))
			l.changes = append(l.changes, c)
		}
		is.New(t).NoErr(err)
	}
	return l
}

// factor returns the load's factor at a time.
func (l *fleetLoad) factor(at time.Duration) float64 {
	factor := 1.0
	for _, c := range l.changes {
		if at >= c.at {
			factor = c.factor
		}
	}
	return factor
}

const (
	fleetInstances = 295
	fleetServers   = 256
	fleetDuration  = 14 * time.Second
	// fleetTokenTime is the time that a server takes for a token of a prompt. At the usual
	// load the servers are busy for about half of the time.
	fleetTokenTime = 45 * time.Microsecond
	// fleetCacheTime is how long a server keeps a part of a prompt.
	fleetCacheTime = 9 * time.Second
	// reportDelay is the time from the sum of the backlogs to its arrival.
	reportDelay = 40 * time.Millisecond
)

// fleetWorld simulates the servers, which process prompts one after another.
type fleetWorld struct {
	now     time.Time
	listing *backend.Listing
	servers map[string]*fleetServer
	events  eventQueue
	waits   []time.Duration
	// pace, if not nil, returns the time that work takes at a server now, as a multiple of
	// the usual. The servers state it in their answers if states is set.
	pace   func(id string) float64
	states bool
	// onPlace, if not nil, is called with each placement.
	onPlace func(a *Assignment)
}

type fleetServer struct {
	freeAt time.Time
	cached map[string]time.Time
}

// fleetEvent is something that happens at a time.
type fleetEvent struct {
	at time.Time
	do func()
}

type eventQueue []fleetEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(fleetEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (w *fleetWorld) after(d time.Duration, do func()) {
	heap.Push(&w.events, fleetEvent{w.now.Add(d), do})
}

// serve lets a server process a prompt and returns when its first event comes.
func (w *fleetWorld) serve(a *Assignment, parts []PromptPart) time.Duration {
	s := w.servers[a.Server.ID]
	work, prefix, held := time.Duration(0), "", true
	for _, p := range parts {
		prefix += "/" + p.ID
		if usedAt, ok := s.cached[prefix]; !ok || w.now.Sub(usedAt) > fleetCacheTime {
			held = false
		}
		if !held {
			work += time.Duration(p.Tokens) * fleetTokenTime
		}
		s.cached[prefix] = w.now
	}
	if w.pace != nil {
		work = time.Duration(float64(work) * w.pace(a.Server.ID))
	}
	if s.freeAt.Before(w.now) {
		s.freeAt = w.now
	}
	s.freeAt = s.freeAt.Add(work)
	return s.freeAt.Sub(w.now)
}

// runFleet replays the load with instances that consider all servers if there are at most
// scanLimit, and returns the waits, sorted.
func runFleet(load fleetLoad, scanLimit int) []time.Duration {
	random := rand.New(rand.NewPCG(1, 2))
	dataCentres := []string{"gulberg", "johar", "dha", "shadman", "iqbal-town", "model-town"}
	w := &fleetWorld{now: epoch, servers: map[string]*fleetServer{}}
	w.listing = listing(fleetServers, func(i int, s *backend.Server) { s.DataCentre = dataCentres[i%len(dataCentres)] })
	for id := range w.listing.ByID {
		w.servers[id] = &fleetServer{cached: map[string]time.Time{}}
	}
	var instances []*Dispatcher
	for i := range fleetInstances {
		settings := testSettings(fmt.Sprintf("edge-%d", i))
		settings.DataCentre, settings.Random = dataCentres[i%len(dataCentres)], random.IntN
		settings.CrossDataCentreCost = 150 * time.Millisecond
		d := New(settings)
		d.scanLimit = scanLimit
		instances = append(instances, d)
	}
	for _, k := range load.kinds {
		w.arrive(load, k, instances, random)
	}
	w.report(instances, 1)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(fleetEvent)
		if w.now = e.at; w.now.Sub(epoch) > fleetDuration {
			break
		}
		e.do()
	}
	slices.Sort(w.waits)
	return w.waits
}

// arrive plans the next request of a kind.
func (w *fleetWorld) arrive(load fleetLoad, k loadKind, instances []*Dispatcher, random *rand.Rand) {
	rate := k.rate * load.factor(w.now.Sub(epoch))
	w.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() {
		w.place(k, instances[random.IntN(len(instances))], random)
		w.arrive(load, k, instances, random)
	})
}

func (w *fleetWorld) place(k loadKind, d *Dispatcher, random *rand.Rand) {
	subject := int(float64(k.subjects) * random.Float64() * random.Float64()) // some are asked for more often
	parts := []PromptPart{{ID: k.name, Tokens: k.shared / 2}, {ID: fmt.Sprint(k.name, subject), Tokens: k.shared / 2}, {ID: fmt.Sprint(random.Uint64()), Tokens: k.own}}
	a, err := d.Place(w.listing, query(parts...), w.now)
	if err != nil {
		panic(err)
	}
	if w.onPlace != nil {
		w.onPlace(a)
	}
	wait := w.serve(a, parts)
	w.waits = append(w.waits, wait)
	w.after(wait, func() {
		if w.states {
			a.RecordLoad(backend.Load{Pace: w.pace(a.Server.ID)}, w.now)
		}
		a.RecordFirstEvent(wait)
		a.Done(Succeeded, w.now)
	})
}

// report tells all instances the backlog of the others.
func (w *fleetWorld) report(instances []*Dispatcher, sequence int64) {
	total, own := Backlog{}, make([]Backlog, len(instances))
	for i, d := range instances {
		own[i] = d.Backlog()
		total.Add(own[i])
	}
	w.after(reportDelay, func() {
		for i, d := range instances {
			d.UpdateTotal("reader", 1, sequence, total.Subtract(own[i]), w.now)
		}
	})
	w.after(250*time.Millisecond, func() { w.report(instances, sequence+1) })
}

// Instances that look at a few servers choose as well as if they looked at all: the waits
// are at most 5 in 100 longer, in the middle and for the last in a hundred.
func TestSampledChoiceIsAsGood(t *testing.T) {
	is := is.New(t)
	load := readFleetLoad(t, "testdata/fleet.txt")
	all, sampled := runFleet(load, fleetServers), runFleet(load, maxScannedServers)
	at := func(waits []time.Duration, share float64) time.Duration { return waits[int(share*float64(len(waits)))] }
	for _, share := range []float64{0.5, 0.9, 0.99} {
		t.Logf("%v of the waits: %v with all servers, %v with some", share, at(all, share), at(sampled, share))
	}
	is.True(float64(at(sampled, 0.5)) <= 1.05*float64(at(all, 0.5)))
	is.True(float64(at(sampled, 0.99)) <= 1.05*float64(at(all, 0.99)))
}
