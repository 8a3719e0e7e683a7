package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// playForeign sends bookings to two instances. With the trouble another writer leaves an
// entry below servers/ that lacks four of the fields that a worker writes. It names the
// address of a web service that isn't a worker.
func playForeign(s *stage, trouble bool) (string, error) {
	s.configure([]route{{name: "book", kind: "unsafe", service: "app", timeout: 3 * time.Second, goal: 300 * time.Millisecond}}, []string{"app"}, 1<<20, 0)
	for n := range 3 {
		w, err := s.startWorker(fmt.Sprintf("i-app-%d", n), "app")
		if err != nil {
			return "", err
		}
		w.work = bookingWork
		w.announce(0)
	}
	other, err := startOther(s)
	if err != nil {
		return "", err
	}
	defer other.http.Close()
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
	if trouble {
		s.line("another writer leaves the entry servers/other-writer, without Version, ColdLeftMs, Seq and born")
		s.store.Set("servers/other-writer", map[string]any{"Service": "app", "Address": other.address, "Zone": zone, "Slots": 6, "State": "ready"})
	}
	var mu sync.Mutex
	sent, failed := 0, 0
	var group sync.WaitGroup
	for n := range bookingClients {
		group.Go(func() {
			c := s.newClient(fmt.Sprintf("c%d", n))
			defer c.hangUp()
			for range bookingsPerClient {
				a := c.send(instances[n%2], request{route: "book", body: []byte("a booking"), deadline: 3 * time.Second})
				mu.Lock()
				sent++
				if a.status != http.StatusOK {
					failed++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	strayed := other.count()
	s.line("%d bookings, %d without success, %d taken by what is no worker", sent, failed, strayed)
	if strayed > 0 {
		return fmt.Sprintf("%d of %d bookings ran at a server that no configuration sends them to, %d had no success", strayed, sent, failed), nil
	}
	return "", nil
}

// other is a web service that knows nothing of the platform's pages.
type other struct {
	stage   *stage
	address string
	http    *http.Server

	mu    sync.Mutex
	taken int
}

func startOther(s *stage) (*other, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start a web service: %w", err)
	}
	o := &other{stage: s, address: l.Addr().String()}
	o.http = &http.Server{Handler: o, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = o.http.Serve(l) }()
	return o, nil
}

// ServeHTTP implements http.Handler: the service takes what it is sent.
func (o *other) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the sender broke off
	}
	o.mu.Lock()
	o.taken++
	o.mu.Unlock()
	o.stage.line("what is no worker takes request %s of tenant %s", r.Header.Get("X-Request-Id"), r.Header.Get("X-Tenant"))
	fmt.Fprintln(w, "stored")
}

func (o *other) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.taken
}
