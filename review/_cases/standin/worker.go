package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a worker.
type arrival struct {
	id     string
	worker string
	at     time.Time
	ran    bool
}

// worker is a sound worker of the platform's pages, but for what a case adds to it.
type worker struct {
	stage   *stage
	id      string
	service string
	address string
	born    int64
	// work is the time to the answer, or to the first event; events follow each pause.
	work   time.Duration
	events int
	pause  time.Duration
	// coldBound, if not 0, is the number of requests in a second above which the worker
	// crashes while it is cold.
	coldBound float64
	// answer, if not nil, answers a request that has run in place of a sound answer. It
	// returns false to leave the answer to the worker.
	answer func(w http.ResponseWriter, r *http.Request) bool

	http     *http.Server
	mu       sync.Mutex
	arrivals []arrival
	seq      int
	// coldUntil is when the worker is warm.
	coldUntil time.Time
}

// startWorker starts a worker on a free loopback port. It isn't announced yet.
func (s *stage) startWorker(id, service string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start worker %s: %w", id, err)
	}
	w := &worker{stage: s, id: id, service: service, address: l.Addr().String(), born: time.Now().UnixMilli(), work: 20 * time.Millisecond}
	w.http = &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = w.http.Serve(l) }()
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	return w, nil
}

func (w *worker) close() { w.http.Close() }

// announce writes the worker's entry.
func (w *worker) announce(coldLeft time.Duration) {
	w.mu.Lock()
	w.seq++
	seq := w.seq
	w.coldUntil = time.Now().Add(coldLeft)
	w.mu.Unlock()
	w.stage.store.Set("servers/"+w.id, map[string]any{
		"Service": w.service, "Address": w.address, "Zone": zone, "Version": "v1", "Slots": 64, "State": "ready", "ColdLeftMs": coldLeft.Milliseconds(),
		"Seq": seq, "born": w.born,
	})
}

// note records a request that arrived.
func (w *worker) note(id string, ran bool) {
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{id, w.id, time.Now(), ran})
	w.mu.Unlock()
	w.stage.line("%s: request %s arrives, ran %v", w.id, id, ran)
}

// crashes reports whether the worker is cold and got more than coldBound requests within
// the last second.
func (w *worker) crashes() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.coldBound == 0 || !now.Before(w.coldUntil) {
		return false
	}
	n := 0
	for _, a := range w.arrivals {
		if now.Sub(a.at) < time.Second {
			n++
		}
	}
	return float64(n) > w.coldBound
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := rw.Header()
	h.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.note(id, false)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender broke off
	}
	w.note(id, true)
	if w.crashes() {
		w.stage.line("%s crashes", w.id)
		w.close()
		return
	}
	h.Set("X-Server-Seal", "seal-of-"+w.id)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	if w.answer != nil && w.answer(rw, r) {
		return
	}
	if w.events == 0 {
		fmt.Fprintf(rw, "%s took %d bytes of %s\n", w.id, len(body), id)
		return
	}
	w.stream(rw, r)
}

// stream answers with events.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("Content-Type", "text/event-stream")
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	for n := first; n <= w.events; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: part %d\n\n", n, n); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush() // a sender that is gone shows at the next write
		select {
		case <-time.After(w.pause):
		case <-r.Context().Done():
			return
		}
	}
}

// allArrivals returns the requests that reached the stage's workers, by ID.
func (s *stage) allArrivals() map[string][]arrival {
	byID := map[string][]arrival{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		w.mu.Lock()
		for _, a := range w.arrivals {
			byID[a.id] = append(byID[a.id], a)
		}
		w.mu.Unlock()
	}
	return byID
}

// hasRun reports whether one of the arrivals ran.
func hasRun(list []arrival) bool {
	for _, a := range list {
		if a.ran {
			return true
		}
	}
	return false
}

// names joins the workers of the arrivals.
func names(list []arrival) string {
	var parts []string
	for _, a := range list {
		parts = append(parts, a.worker)
	}
	return strings.Join(parts, ", ")
}
