package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// bookingWork is the work of a booking; bookingClients clients make bookingsPerClient
	// bookings each.
	bookingWork       = 60 * time.Millisecond
	bookingClients    = 16
	bookingsPerClient = 15
)

// playRefused sends bookings, which may run at most once, to two instances. With the
// trouble one worker of three fails a part of its requests: it runs them and answers with
// a 503 of its own, without X-Not-Executed.
func playRefused(s *stage, trouble bool) (string, error) {
	s.configure([]route{{name: "book", kind: "unsafe", service: "app", timeout: 3 * time.Second, goal: 300 * time.Millisecond}}, []string{"app"}, 1<<20, 0)
	for n := range 3 {
		w, err := s.startWorker(fmt.Sprintf("i-app-%d", n), "app")
		if err != nil {
			return "", err
		}
		w.work = bookingWork
		if n == 0 && trouble {
			w.answer = failPart()
		}
		w.announce(0)
	}
	var instances []*instance
	for n := 1; n <= 2; n++ {
		i, err := s.startInstance(n)
		if err != nil {
			return "", err
		}
		instances = append(instances, i)
	}
	if err := s.awaitReady(); err != nil {
		return "", err
	}
	var mu sync.Mutex
	answers := map[string]answer{}
	doubled := 0
	var group sync.WaitGroup
	for n := range bookingClients {
		group.Go(func() {
			c := s.newClient(fmt.Sprintf("c%d", n))
			defer c.hangUp()
			for range bookingsPerClient {
				runs := book(s, c, instances, n, func(a answer) {
					mu.Lock()
					defer mu.Unlock()
					answers[a.id] = a
				})
				mu.Lock()
				if runs > 1 {
					doubled++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	false503, example := 0, ""
	for id, list := range s.allArrivals() {
		a := answers[id]
		if (a.status == 408 || a.status == 421 || a.status == 429 || a.status == 503) && hasRun(list) {
			false503++
			example = fmt.Sprintf("%s was answered %d and had run at %s", id, a.status, names(list))
		}
	}
	s.line("%d client attempts, %d of them promised not to have run though they had, %d bookings ran twice", len(answers), false503, doubled)
	if false503 > 0 {
		return fmt.Sprintf("%d unsafe requests were answered as not run and had run, for example: %s", false503, example), nil
	}
	return "", nil
}

// failPart returns how a grey worker answers: it fails 0.45 of the requests that it ran.
func failPart() func(http.ResponseWriter, *http.Request) bool {
	var mu sync.Mutex
	n := 0
	return func(w http.ResponseWriter, _ *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		n++
		if n*45%100 >= 45 {
			return false
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(w, "the booking was written, the confirmation failed")
		return true
	}
}

// book makes one booking as the pages let a client do it: after a promise that it has not
// run, it is sent once more, on a new connection, to another instance, after the time that
// was asked for. It returns how often the booking ran.
func book(s *stage, c *client, instances []*instance, n int, note func(answer)) int {
	r := request{route: "book", body: []byte("a booking"), deadline: 3 * time.Second}
	a := c.send(instances[n%len(instances)], r)
	note(a)
	ids := []string{a.id}
	if a.status == 503 || a.status == 429 {
		time.Sleep(min(a.retryAfter, time.Second))
		c.hangUp()
		again := c.send(instances[(n+1)%len(instances)], r)
		note(again)
		ids = append(ids, again.id)
		c.hangUp()
	}
	runs, arrivals := 0, s.allArrivals()
	for _, id := range ids {
		for _, x := range arrivals[id] {
			if x.ran {
				runs++
			}
		}
	}
	if runs > 1 {
		s.line("the booking of %v ran %d times", ids, runs)
	}
	return runs
}
