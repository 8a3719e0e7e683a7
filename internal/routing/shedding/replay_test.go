package shedding

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// replayLoad is the load of a file below testdata.
type replayLoad struct {
	kinds   []replayKind
	loads   []replayStep
	servers []replayStep
}

type replayKind struct {
	name             string
	priority         int
	work             time.Duration
	spread           float64
	value            float64
	target, deadline time.Duration
	rate             float64
}

// replayStep is a value from a time on.
type replayStep struct {
	at    time.Duration
	value float64
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func readReplay(t *testing.T, name string) (l replayLoad) {
	t.Helper()
	raw, err := os.ReadFile("testdata/" + name)
	is.New(t).NoErr(err)
	for line := range strings.Lines(string(raw)) {
		var word string
		var k replayKind
		var at, value, work, target, deadline float64
		switch {
		case strings.HasPrefix(line, "kind"):
			_, err = fmt.Sscan(line, &word, &k.name, &k.priority, &work, &k.spread, &k.value, &target, &deadline, &k.rate)
			k.work, k.target, k.deadline = seconds(work/1000), seconds(target/1000), seconds(deadline/1000)
			l.kinds = append(l.kinds, k)
		case strings.HasPrefix(line, "load"):
			_, err = fmt.Sscan(line, &word, &at, &value)
			l.loads = append(l.loads, replayStep{seconds(at), value})
		case strings.HasPrefix(line, "servers"):
			_, err = fmt.Sscan(line, &word, &at, &value)
			l.servers = append(l.servers, replayStep{seconds(at), value})
		}
		is.New(t).NoErr(err)
	}
	return l
}

func valueAt(steps []replayStep, at time.Duration) float64 {
	value := 0.0
	for _, s := range steps {
		if at >= s.at {
			value = s.value
		}
	}
	return value
}

// replayRequest is one request of a caller and its retry, which is a request of its own.
type replayRequest struct {
	kind     int
	instance int
	sentAt   time.Duration // of the first attempt
	at       time.Duration
	work     time.Duration
	size     float64 // work relative to the kind's mean
	value    float64
	returned bool
}

type replayQueue []replayRequest

func (q replayQueue) Len() int           { return len(q) }
func (q replayQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q replayQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *replayQueue) Push(x any)        { *q = append(*q, x.(replayRequest)) }
func (q *replayQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// arrivals draws the requests of a load.
func (l *replayLoad) arrivals(rnd *rand.Rand) replayQueue {
	var q replayQueue
	for kind, k := range l.kinds {
		for at := time.Duration(0); at < replayDuration; {
			at += seconds(rnd.ExpFloat64() / (k.rate * valueAt(l.loads, at)))
			size := math.Exp(k.spread*rnd.NormFloat64() - k.spread*k.spread/2)
			size = min(size, 6)
			// Attention makes long prompts dearer than their length, and a part of the value
			// is the same for all sizes.
			work := seconds(k.work.Seconds() * size * (0.8 + 0.2*size))
			q = append(q, replayRequest{kind: kind, sentAt: at, at: at, work: work, size: size, value: k.value * (0.3 + 0.7*size)})
		}
	}
	heap.Init(&q)
	return q
}

const (
	replayDuration = 40 * time.Second
	// replayInstances is the number of instances that learn from their own requests.
	replayInstances = 20
)

// replayServers are servers that take the most urgent of what waits there, one after the
// other.
type replayServers struct {
	waiting [][]replayRequest
	busyTo  []time.Duration
}

// wait returns what a request of a priority would wait at a server.
func (s *replayServers) wait(server int, l *replayLoad, priority int, at time.Duration) time.Duration {
	wait := max(0, s.busyTo[server]-at)
	for _, r := range s.waiting[server] {
		if l.kinds[r.kind].priority <= priority {
			wait += r.work
		}
	}
	return wait
}

// run starts the next requests at the servers up to a time, and calls done with each and
// the time to its first event.
func (s *replayServers) run(l *replayLoad, at time.Duration, done func(r replayRequest, after time.Duration)) {
	for i := range s.waiting {
		for len(s.waiting[i]) > 0 && s.busyTo[i] <= at {
			next := 0
			for j, r := range s.waiting[i] {
				if l.kinds[r.kind].priority < l.kinds[s.waiting[i][next].kind].priority {
					next = j
				}
			}
			r := s.waiting[i][next]
			s.waiting[i] = slices.Delete(s.waiting[i], next, next+1)
			s.busyTo[i] = max(s.busyTo[i], r.at) + r.work
			done(r, s.busyTo[i]-r.sentAt)
		}
	}
}

// replayResult is what became of the requests of one kind.
type replayResult struct {
	owed, earned            float64
	asked, served, refused  int
	largeAsked, largeServed int
}

func (r *replayResult) servedShare() float64 { return float64(r.served) / float64(r.asked) }
func (r *replayResult) creditShare() float64 { return r.earned / r.owed }

// large is the size of the largest tenth of a kind.
const large = 2

// replay plays a load. decide stands for Decide.
func replay(l *replayLoad, seed uint64, decide func(r Request, room Room) Decision) []replayResult {
	rnd := rand.New(rand.NewPCG(seed, 1))
	queue, start := l.arrivals(rnd), time.Unix(1000, 0)
	var pricers []*Pricer
	for range replayInstances {
		pricers = append(pricers, NewPricer())
	}
	results := make([]replayResult, len(l.kinds))
	servers := &replayServers{}
	for range int(slices.MaxFunc(l.servers, func(a, b replayStep) int { return int(a.value - b.value) }).value) {
		servers.waiting, servers.busyTo = append(servers.waiting, nil), append(servers.busyTo, 0)
	}
	done := func(r replayRequest, after time.Duration) {
		k, result := &l.kinds[r.kind], &results[r.kind]
		pricers[r.instance].ObserveFirstEvent(Request{Priority: k.priority, Work: r.work}, r.sentAt+after-r.at, k.target, start.Add(r.sentAt+after))
		switch {
		case after <= k.target:
			result.earned += r.value
		case after <= k.deadline:
			result.earned += r.value * 0.1
		default:
			return
		}
		result.served++
		if r.size >= large {
			result.largeServed++
		}
	}
	for len(queue) > 0 {
		r := heap.Pop(&queue).(replayRequest)
		r.instance = rnd.IntN(replayInstances)
		k, result, pricer := &l.kinds[r.kind], &results[r.kind], pricers[r.instance]
		servers.run(l, r.at, done)
		if !r.returned {
			result.asked++
			result.owed += r.value
			if r.size >= large {
				result.largeAsked++
			}
		}
		best, least := 0, time.Duration(math.MaxInt64)
		for i := range int(valueAt(l.servers, r.at)) {
			if w := servers.wait(i, l, k.priority, r.at); w < least {
				best, least = i, w
			}
		}
		now := start.Add(r.at)
		request := Request{
			PredictedWait: least + r.work, TimeToTarget: r.sentAt + k.target - r.at, TimeLeft: r.sentAt + k.deadline - r.at, Priority: k.priority,
			Work: r.work, Value: r.value, Returned: r.returned, Jitter: rnd.Float64(), Draw: rnd.Float64(),
		}
		room := pricer.Room(now)
		pricer.ObserveRequest(request, k.target, now)
		decision := decide(request, room)
		if decision.Reason == "" {
			servers.waiting[best] = append(servers.waiting[best], r)
			continue
		}
		result.refused++
		if r.returned {
			continue
		}
		r.at, r.returned = r.at+decision.RetryAfter, true
		heap.Push(&queue, r)
	}
	servers.run(l, math.MaxInt64, done)
	return results
}

// byDeadline refuses only what has no hope.
func byDeadline(r Request, _ Room) Decision { return Decide(r, Room{}) }

// In a shortage, more is earned than by refusing only what has no hope. More urgent kinds
// aren't served worse than less urgent ones, and no kind starves, nor do the largest
// requests of a kind.
func TestShortage(t *testing.T) {
	for _, name := range []string{"shortage.txt", "reversed.txt"} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				is := is.New(t)
				l := readReplay(t, name)
				priced, plain := replay(&l, seed, Decide), replay(&l, seed, byDeadline)
				with, without, asked, served := 0.0, 0.0, 0, 0
				for i, k := range l.kinds {
					r := &priced[i]
					t.Logf("seed %d, %s: credit %.3f, by deadline %.3f; served %.3f, by deadline %.3f; refused %d of %d; large %d of %d", seed, k.name,
						r.creditShare(), plain[i].creditShare(), r.servedShare(), plain[i].servedShare(), r.refused, r.asked, r.largeServed, r.largeAsked)
					with += r.earned
					without += plain[i].earned
					asked, served = asked+r.asked, served+r.served
					if i > 0 {
						is.True(priced[i-1].servedShare() >= r.servedShare()-0.05) // a more urgent kind is served as often
						is.True(priced[i-1].creditShare() >= r.creditShare()-0.15) // and earns as much
					}
					is.True(float64(r.largeServed) >= 0.5*r.servedShare()*float64(r.largeAsked)) // large requests don't starve
				}
				for i := range priced {
					is.True(priced[i].servedShare() >= 0.25*float64(served)/float64(asked)) // no kind starves
				}
				t.Logf("seed %d: earned %.0f, by deadline %.0f", seed, with, without)
				is.True(with > without) // the price pays
			}
		})
	}
}

// While there is room, the price is zero and nothing is refused.
func TestRoomForAll(t *testing.T) {
	l := readReplay(t, "room.txt")
	for seed := range uint64(5) {
		is := is.New(t)
		for _, r := range replay(&l, seed, func(r Request, room Room) Decision {
			is.Equal(room.Price(r.Priority), 0.0)
			return Decide(r, room)
		}) {
			is.Equal(r.refused, 0)
		}
	}
}
