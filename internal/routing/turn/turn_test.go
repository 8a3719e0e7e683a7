package turn

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// replay is the play of one file below testdata.
type replay struct {
	instances, places, queue int
	kinds                    []kind
	servers                  []step
}

type kind struct {
	name                   string
	priority               int
	work, target, deadline time.Duration
	rate                   float64
}

type step struct {
	at    time.Duration
	count int
}

func readReplay(t *testing.T, name string) (p replay) {
	t.Helper()
	raw, err := os.ReadFile("testdata/" + name)
	is.New(t).NoErr(err)
	millis := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	for line := range strings.Lines(string(raw)) {
		var word string
		switch word, _, _ = strings.Cut(line, " "); word {
		case "instances":
			_, err = fmt.Sscan(line, &word, &p.instances)
		case "places":
			_, err = fmt.Sscan(line, &word, &p.places, &p.queue)
		case "kind":
			var k kind
			var work, target, deadline float64
			_, err = fmt.Sscan(line, &word, &k.name, &k.priority, &work, &target, &deadline, &k.rate)
			k.work, k.target, k.deadline = millis(work), millis(target), millis(deadline)
			p.kinds = append(p.kinds, k)
		case "servers":
			var s step
			var at float64
			_, err = fmt.Sscan(line, &word, &at, &s.count)
			s.at = millis(1000 * at)
			p.servers = append(p.servers, s)
		}
		is.New(t).NoErr(err)
	}
	return p
}

// played is a call of a replay.
type played struct {
	Call
	kind   int
	work   time.Duration
	tries  int
	server int
	endsAt time.Time
	// instance is the one that the call came to, againAt when it is sent.
	instance        int
	againAt, sentAt time.Time
}

// result is what became of the calls of one kind.
type result struct{ asked, inTime, late, refused, attempts int }

const (
	// wireTime is the time of an attempt that is refused, maxTries the number of attempts of
	// an instance that doesn't let calls wait, and callerWait the time after which a caller
	// that it has refused comes back, once.
	wireTime   = 5 * time.Millisecond
	maxTries   = 8
	callerWait = 300 * time.Millisecond
)

// play plays a replay in steps of a millisecond. If ordered is false, instances send a
// refused call again at once.
func (p *replay) play(seed uint64, ordered bool) []result {
	const steps, tick = 16000, time.Millisecond
	rnd, start := rand.New(rand.NewPCG(seed, 1)), time.Unix(1000, 0)
	choices := rand.New(rand.NewPCG(seed, 2)) // apart, so that both plays have the same calls
	results, queues := make([]result, len(p.kinds)), make([]Queue, p.instances)
	waiting := make([]map[*Call]*played, p.instances)
	for i := range waiting {
		waiting[i] = map[*Call]*played{}
	}
	servers := make([][]*played, slices.MaxFunc(p.servers, func(a, b step) int { return cmp.Compare(a.count, b.count) }).count)
	up := 0
	var again []*played
	// send sends a call to a random server and reports whether it was taken.
	send := func(c *played, now time.Time) bool {
		results[c.kind].attempts++
		c.tries++
		c.server = choices.IntN(up)
		if len(servers[c.server]) >= p.places+p.queue {
			return false
		}
		c.sentAt = now
		servers[c.server] = append(servers[c.server], c)
		return true
	}
	for n := range steps {
		now := start.Add(time.Duration(n) * tick)
		for _, s := range p.servers {
			if now.Sub(start) >= s.at {
				up = s.count
			}
		}
		for i := range servers {
			for j := 0; j < min(p.places, len(servers[i])); j++ {
				c := servers[i][j]
				if c.endsAt.IsZero() {
					c.endsAt = now.Add(c.work)
				}
				if now.Before(c.endsAt) {
					continue
				}
				servers[i] = slices.Delete(servers[i], j, j+1)
				j--
				queues[c.instance].Taken(now.Sub(c.sentAt))
				switch {
				case !now.After(c.Target):
					results[c.kind].inTime++
				case !now.After(c.Deadline):
					results[c.kind].late++
				default:
					results[c.kind].refused++
				}
			}
		}
		for k, kind := range p.kinds {
			if rnd.Float64() >= kind.rate*tick.Seconds() {
				continue
			}
			results[k].asked++
			i := rnd.IntN(p.instances)
			c := &played{instance: i, Call: Call{Priority: kind.priority, ArrivedAt: now, Target: now.Add(kind.target), Deadline: now.Add(kind.deadline)}, kind: k, work: time.Duration(float64(kind.work) * (0.5 + rnd.Float64()))}
			switch {
			case !ordered:
				c.againAt = now
				again = append(again, c)
			case queues[i].IsOpen(now):
				if !send(c, now) {
					queues[i].Full(now)
					waiting[i][&c.Call] = c
					queues[i].Add(&c.Call, now)
				}
			default:
				waiting[i][&c.Call] = c
				if last := queues[i].Add(&c.Call, now); last != nil {
					results[waiting[i][last].kind].refused++
					delete(waiting[i], last)
				}
			}
		}
		again = slices.DeleteFunc(again, func(c *played) bool {
			switch {
			case now.Before(c.againAt):
				return false
			case send(c, now):
				return true
			case c.tries == 2*maxTries:
				results[c.kind].refused++
				return true
			}
			c.againAt = now.Add(wireTime)
			if c.tries == maxTries {
				c.againAt = now.Add(callerWait)
			}
			return false
		})
		for i := range queues {
			for call, c := range waiting[i] {
				if queues[i].IsHopeless(call, now) && queues[i].Remove(call) {
					results[c.kind].refused++
					delete(waiting[i], call)
				}
			}
			for call := queues[i].Next(now); call != nil; call = queues[i].Next(now) {
				c := waiting[i][call]
				delete(waiting[i], call)
				if !send(c, now) {
					queues[i].Full(now)
					waiting[i][call] = c
					queues[i].Add(call, now)
				}
			}
		}
	}
	return results
}

// While servers are lost, more calls are answered in time than if refused ones are sent
// again at once, with fewer attempts, and the more urgent kind isn't served worse.
func TestLostServers(t *testing.T) {
	for _, name := range []string{"lost-servers.txt", "few-instances.txt"} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				is := is.New(t)
				p := readReplay(t, name)
				ordered, atOnce := p.play(seed, true), p.play(seed, false)
				sum := func(results []result) (s result) {
					for _, r := range results {
						s.asked, s.inTime, s.late, s.refused, s.attempts = s.asked+r.asked, s.inTime+r.inTime, s.late+r.late, s.refused+r.refused, s.attempts+r.attempts
					}
					return s
				}
				t.Logf("seed %d: in order %+v, at once %+v", seed, ordered, atOnce)
				is.True(sum(ordered).inTime > sum(atOnce).inTime)
				is.True(sum(ordered).attempts < sum(atOnce).attempts)
				urgent, other := &ordered[0], &ordered[1]
				if p.kinds[0].priority > p.kinds[1].priority {
					urgent, other = other, urgent
				}
				share := func(r *result) float64 { return float64(r.inTime+r.late) / float64(r.asked) }
				is.True(share(urgent) >= share(other)-0.05)
			}
		})
	}
}

// Calls go in order, and not faster than the servers take them.
func TestOrder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	call := func(priority int, target time.Duration) *Call {
		return &Call{Priority: priority, ArrivedAt: now, Target: now.Add(target), Deadline: now.Add(4 * time.Second)}
	}
	var q Queue
	is.True(q.IsOpen(now))
	q.Taken(50 * time.Millisecond)
	q.Full(now)
	is.True(!q.IsOpen(now))
	late, soon, later, urgentLate := call(1, 20*time.Millisecond), call(1, 100*time.Millisecond), call(1, 200*time.Millisecond), call(0, -time.Second)
	for _, c := range []*Call{late, later, soon, urgentLate} {
		is.Equal(q.Add(c, now), nil)
	}
	is.Equal(q.Next(now), nil) // not yet
	for _, c := range []*Call{soon, later} {
		is.Equal(q.Next(q.NextAt()), c)
	}
	is.Equal(q.Next(q.NextAt()), nil) // late calls make way
	for _, c := range []*Call{urgentLate, late} {
		is.Equal(q.Next(q.NextAt().Add(quiet)), c)
	}
	first := now.Add(2 * time.Second)
	q.Full(first)
	q.Full(first)
	is.Equal(q.NextAt(), first.Add(4*minInterval))
	for range 100 {
		q.Full(first)
	}
	is.Equal(q.NextAt(), first.Add(maxInterval))
	for range 100 {
		q.Taken(50 * time.Millisecond)
	}
	is.True(q.IsOpen(now))
}

// No more than MaxWaiting calls wait; the last in order is refused.
func TestTooMany(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var q Queue
	q.Full(now)
	for range MaxWaiting {
		is.Equal(q.Add(&Call{Priority: 1, Target: now.Add(time.Second), Deadline: now.Add(time.Minute)}, now), nil)
	}
	worse := &Call{Priority: 2, Target: now.Add(time.Second), Deadline: now.Add(time.Minute)}
	is.Equal(q.Add(worse, now), worse)
	better := &Call{Priority: 0, Target: now.Add(time.Second), Deadline: now.Add(time.Minute)}
	refused := q.Add(better, now)
	is.Equal(refused.Priority, 1)
}

// A call waits for its turn, is refused at once when it is hopeless, and leaves with its
// caller.
func TestLine(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := NewLine(clock)
	call := func(deadline time.Duration) *Call {
		return &Call{ArrivedAt: clock.Now(), Target: clock.Now().Add(time.Second), Deadline: clock.Now().Add(deadline)}
	}
	is.NoErr(l.Wait(t.Context(), call(time.Second))) // the servers take all
	l.Taken(20 * time.Millisecond)
	l.Full()
	done := make(chan error)
	go func() { done <- l.Wait(t.Context(), call(time.Minute)) }()
	is.NoErr(clock.BlockUntilContext(t.Context(), 1))
	is.Equal(l.Waiting(), 1)
	clock.Advance(minInterval)
	is.NoErr(<-done)
	for range 10 {
		l.Full()
	}
	var refused *RefusedError
	is.True(errors.As(l.Wait(t.Context(), call(10*time.Millisecond)), &refused))
	is.True(refused.Hopeless && refused.RetryAfter >= maxInterval)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { done <- l.Wait(ctx, call(time.Minute)) }()
	is.NoErr(clock.BlockUntilContext(t.Context(), 1))
	cancel()
	is.True(errors.Is(<-done, context.Canceled))
	is.Equal(l.Waiting(), 0)
}

// A call that won't have its turn in time is told at once, and one that is late waits no longer
// than it takes to see that no server is full.
func TestHopelessCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var q Queue
	q.Taken(50 * time.Millisecond)
	for range 5 {
		q.Full(now) // an interval of 160 ms
	}
	call := func(target, deadline time.Duration) *Call {
		return &Call{Priority: 1, ArrivedAt: now, Target: now.Add(target), Deadline: now.Add(deadline)}
	}
	late := call(0, 20*time.Second)
	q.Add(late, now)
	is.True(!q.IsHopeless(late, now))
	is.True(q.IsHopeless(late, now.Add(quiet+time.Millisecond)))
	q.Remove(late)
	for range 200 {
		q.Add(call(10*time.Second, 20*time.Second), now)
	}
	last := call(11*time.Second, 20*time.Second)
	q.Add(last, now)
	is.True(q.IsHopeless(last, now)) // 200 calls go before it, in 32 s
}

// The interval is forgotten some time after the last refusal, and calls that waited for its
// end don't go all at once.
func TestIntervalIsForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var q Queue
	for range 20 {
		q.Full(now)
	}
	is.True(!q.IsOpen(now.Add(intervalMemory - time.Millisecond)))
	is.True(q.IsOpen(now.Add(intervalMemory)))

	q.Full(now)
	for range 3 {
		q.Add(&Call{ArrivedAt: now, Target: now.Add(time.Second), Deadline: now.Add(time.Minute)}, now)
	}
	q.Taken(time.Millisecond)
	at := now.Add(minInterval)
	is.True(q.Next(at) != nil)
	is.Equal(q.Next(at), nil)
}
