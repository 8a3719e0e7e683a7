package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in of a worker. It can crash and start again under its ID and address.
type worker struct {
	world                         *world
	id, service, address, version string
	zone                          string
	// serve answers a request that was accepted.
	serve func(w http.ResponseWriter, r *http.Request)

	mu   sync.Mutex
	http *http.Server
	// born is the Unix millisecond of the start, run counts the starts.
	born     int64
	run      int
	seq      int
	cold     time.Time
	arrivals []arrival
	running  int
}

// arrival is a request that reached a worker and wasn't answered 421.
type arrival struct {
	id     string
	worker string
	run    int
	at     time.Time
}

// start starts the worker on its address, or on a free port of the loopback address.
func (k *worker) start() error {
	address := k.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("start worker %s: %w", k.id, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.address = l.Addr().String()
	k.born, k.seq, k.running = time.Now().UnixMilli(), 0, 0
	k.run++
	run := k.run
	k.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { k.handle(w, r, run) }), ReadHeaderTimeout: 10 * time.Second}
	server := k.http
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends the worker: nothing listens, and its connections end.
func (k *worker) crash() {
	k.mu.Lock()
	server := k.http
	k.mu.Unlock()
	server.Close()
}

// announce writes the worker's entry to the store, as at its start, its heartbeats and its
// changes of state.
func (k *worker) announce(state string) {
	k.mu.Lock()
	k.seq++
	entry := map[string]any{
		"Service": k.service, "Address": k.address, "Zone": k.zone, "Version": k.version, "Slots": 64, "State": state,
		"ColdLeftMs": max(0, time.Until(k.cold).Milliseconds()), "Seq": k.seq, "born": k.born,
	}
	k.mu.Unlock()
	k.world.store.Set("servers/"+k.id, entry)
}

func (k *worker) handle(w http.ResponseWriter, r *http.Request, run int) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", k.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != k.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.mu.Lock()
	k.arrivals = append(k.arrivals, arrival{id, k.id, run, time.Now()})
	k.running++
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,64", k.running))
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		k.running--
		k.mu.Unlock()
	}()
	w.Header().Set("X-Server-Seal", "seal-of-"+k.id)
	k.serve(w, r)
}

// seen returns the requests that reached the worker.
func (k *worker) seen() []arrival {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]arrival(nil), k.arrivals...)
}

// stream answers with events a time apart.
func stream(events int, pause time.Duration) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Confidence", "90")
		first := 1
		if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &first); err == nil {
			first++
		}
		for n := first; n <= events; n++ {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pause):
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: part %d\n\n", n, n); err != nil {
				return
			}
			if f, ok := w.(http.Flusher); ok {
				f.Flush()
			}
		}
	}
}
