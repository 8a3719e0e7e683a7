package shedding

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
)

// While a queue grows beyond the deadline, requests are refused as soon as they could
// not start in time, and not before.
func TestGrowingQueue(t *testing.T) {
	is := is.New(t)
	const deadline = 5 * time.Second
	rnd := rand.New(rand.NewPCG(1, 1))
	retryTimes := map[time.Duration]int{}
	for queue := time.Duration(0); queue < 9*time.Second; queue += 10 * time.Millisecond {
		d := Decide(Request{PredictedWait: queue, TimeLeft: deadline, Jitter: rnd.Float64()}, Room{})
		is.Equal(d.Reason == NoHope, queue > deadline)
		if d.Reason == "" {
			continue
		}
		is.True(d.RetryAfter >= minRetryAfter/2)
		is.True(d.RetryAfter <= deadline/3) // callers give up on longer waits
		retryTimes[d.RetryAfter.Truncate(50*time.Millisecond)]++
	}
	is.True(len(retryTimes) > 10) // the retries are spread
}

// inShortage returns the room of a service at which the requests of three priorities, alike
// but for that, wait for the given multiples of their latency target.
func inShortage(waits ...float64) (Room, *Pricer) {
	pricer, now := NewPricer(), time.Unix(1000, 0)
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		for priority, wait := range waits {
			pricer.ObserveRequest(usualRequest(priority, time.Duration(wait*float64(time.Second))), time.Second, now)
		}
	}
	return pricer.Room(now), pricer
}

func usualRequest(priority int, wait time.Duration) Request {
	return Request{PredictedWait: wait, TimeToTarget: time.Second, TimeLeft: 10 * time.Second, Priority: priority, Work: 100 * time.Millisecond, Value: 1}
}

// Of two requests that differ in one thing only, the one is never refused where the other
// is served: the more urgent, the smaller, the more valuable one, the one that comes back,
// also if it is late by now, the one of a customer within its share.
func TestOrder(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	better := map[string]func(r *Request){
		"Urgent":      func(r *Request) { r.Priority = rnd.IntN(r.Priority + 1) },
		"Small":       func(r *Request) { r.Work /= 2 },
		"Valuable":    func(r *Request) { r.Value *= 2 },
		"Soon":        func(r *Request) { r.PredictedWait /= 2 },
		"Returned":    func(r *Request) { r.Returned, r.TimeToTarget = true, 0 },
		"WithinShare": func(r *Request) { r.OverShare = false },
	}
	for name, improve := range better {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			refused := 0
			var room Room
			for i := range 2000 {
				if i%40 == 0 {
					room, _ = inShortage(rnd.Float64()*2, rnd.Float64()*3, rnd.Float64()*3)
				}
				r := usualRequest(rnd.IntN(3), time.Duration(rnd.Float64()*float64(2*time.Second)))
				r.Work = time.Duration(rnd.Float64() * float64(300*time.Millisecond))
				r.Value, r.Draw, r.OverShare = rnd.Float64()*3, rnd.Float64(), true
				room = room.WithShares(true)
				other := r
				improve(&other)
				if Decide(r, room).Reason == "" {
					is.Equal(Decide(other, room).Reason, Reason(""))
				} else {
					refused++
				}
			}
			is.True(refused > 100)
		})
	}
}

// While one customer exceeds its share, usual requests of those within theirs are served.
func TestWithinShareIsServed(t *testing.T) {
	is := is.New(t)
	room, _ := inShortage(0.1, 1, 3)
	room = room.WithShares(true)
	for priority := range 3 {
		r := usualRequest(priority, time.Second)
		is.Equal(Decide(r, room), Decision{})
	}
	r := usualRequest(2, time.Second)
	r.OverShare = true
	is.Equal(Decide(r, room).Reason, OverShare)
}

// Nothing is refused by price while servers state that they have free places, and callers
// are told to come back when the shortage has ended.
func TestFreePlaces(t *testing.T) {
	is := is.New(t)
	_, pricer := inShortage(0.1, 1, 3)
	r, now := usualRequest(2, time.Second), time.Unix(1004, 0)
	is.Equal(Decide(r, pricer.Room(now)).Reason, TooDear)
	pricer.ObserveLoad(backend.Load{Running: 20, Slots: 64}, now)
	is.True(pricer.Room(now).Price(2) > 0)
	is.Equal(Decide(r, pricer.Room(now)), Decision{})
	pricer.ObserveFull(2, now)
	is.Equal(Decide(r, pricer.Room(now)).Reason, TooDear)
}

// A shortage is over soon after the waits are bearable again, or no requests come, and a
// caller isn't told to wait longer than that.
func TestShortageEnds(t *testing.T) {
	is := is.New(t)
	_, pricer := inShortage(0.1, 0.1, 2)
	now := time.Unix(1004, 0)
	is.True(pricer.Room(now).Price(2) > 0)
	is.Equal(pricer.Room(now.Add(5*time.Second)).Price(2), 0.0)
	_, pricer = inShortage(0.1, 0.1, 2)
	for range 30 {
		now = now.Add(20 * time.Millisecond)
		pricer.ObserveFirstEvent(usualRequest(2, 0), 50*time.Millisecond, time.Second, now)
	}
	room := pricer.Room(now)
	is.True(room.Price(2) > 0)
	r := usualRequest(2, 5*time.Second)
	r.Work, r.Jitter = time.Second, 0.999
	after := Decide(r, room).RetryAfter
	for range 200 {
		if now = now.Add(20 * time.Millisecond); pricer.Room(now).Price(2) == 0 {
			break
		}
		pricer.ObserveFirstEvent(usualRequest(2, 0), 50*time.Millisecond, time.Second, now)
	}
	ended := now.Sub(time.Unix(1004, 0).Add(600 * time.Millisecond))
	is.True(after <= ended*5/4 && after >= ended*3/4) // the caller is told about when
}
