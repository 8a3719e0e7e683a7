package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// coldPerS is ColdPerS of the service, coldBound what the rule allows in a second:
	// ColdPerS x ColdOverrun + ColdSlack.
	coldPerS  = 11
	coldBound = coldPerS*1.5 + 5
)

// playCold lets the workers of a service come back cold. With the trouble all processes of
// the system are killed shortly after. A cold worker crashes above the rule's bound.
func playCold(s *stage, trouble bool) (string, error) {
	s.configure([]route{{name: "book", kind: "unsafe", service: "app", timeout: 3 * time.Second, goal: 300 * time.Millisecond}}, []string{"app"}, 1<<20, coldPerS)
	var instances []*instance
	for n := 1; n <= 3; n++ {
		i, err := s.startInstance(n)
		if err != nil {
			return "", err
		}
		instances = append(instances, i)
	}
	if err := s.awaitReady(); err != nil {
		return "", err
	}
	// The instances know each other by their entries in the store.
	time.Sleep(2 * time.Second)
	var workers []*worker
	for n := range 2 {
		w, err := s.startWorker(fmt.Sprintf("i-app-%d", n), "app")
		if err != nil {
			return "", err
		}
		w.work, w.coldBound = bookingWork, coldBound
		workers = append(workers, w)
	}
	var mu sync.Mutex
	lost := 0
	var group sync.WaitGroup
	end := time.Now().Add(4 * time.Second)
	for n := range 60 {
		group.Go(func() {
			c := s.newClient(fmt.Sprintf("c%d", n))
			defer c.hangUp()
			for time.Now().Before(end) {
				a := c.send(instances[n%3], request{route: "book", body: []byte("a booking"), deadline: 3 * time.Second})
				if a.status == http.StatusBadGateway {
					mu.Lock()
					lost++
					mu.Unlock()
				}
				time.Sleep(max(50*time.Millisecond, a.retryAfter))
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	for _, w := range workers {
		s.line("%s is back, cold", w.id)
		w.announce(4 * time.Second)
	}
	time.Sleep(120 * time.Millisecond)
	if trouble {
		var kills sync.WaitGroup
		for _, i := range instances {
			kills.Go(func() { i.kill("all processes are killed at once") })
		}
		kills.Wait()
	}
	group.Wait()
	worst, at := 0, ""
	for _, w := range workers {
		n, second := w.busiestSecond()
		s.line("%s: %d requests in its busiest second", w.id, n)
		if n > worst {
			worst, at = n, fmt.Sprintf("%s from %.3f s on", w.id, second.Sub(s.started).Seconds())
		}
	}
	s.line("%d bookings ended with 502", lost)
	if float64(worst) > coldBound {
		return fmt.Sprintf("a cold worker got %d requests in one second, %s; %.1f are allowed; %d bookings ended with 502", worst, at, coldBound, lost), nil
	}
	return "", nil
}

// busiestSecond returns the most requests that reached the worker within a second while
// it was cold.
func (w *worker) busiestSecond() (int, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var times []time.Time
	for _, a := range w.arrivals {
		if a.at.Before(w.coldUntil) {
			times = append(times, a.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, from := 0, time.Time{}
	for i, start := range times {
		n := 0
		for i+n < len(times) && times[i+n].Sub(start) < time.Second {
			n++
		}
		if n > most {
			most, from = n, start
		}
	}
	return most, from
}
