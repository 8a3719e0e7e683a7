package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// request is one request of a client, and what became of it.
type request struct {
	id, key, path string
	gateway       *gateway
	sentAt        time.Duration
	answeredAt    time.Duration
	status        string
	runs          []run
}

// run is a run of a request at a worker.
type run struct {
	worker *worker
	at     time.Duration
}

// test is one run of a case.
type test struct {
	store        *store
	storeAddress string
	network      string // the first three parts of the loopback addresses
	temporary    string
	gateways     []*gateway
	workers      []*worker
	config       config
	start        time.Time
	trouble      bool

	mu       sync.Mutex
	requests map[string]*request
	order    []*request
	events   []string
	sending  sync.WaitGroup
	stop     chan struct{}
}

// since returns the time from the start of the traffic.
func (t *test) since() time.Duration { return time.Since(t.start) }

// until sleeps until a time from the start of the traffic.
func (t *test) until(at time.Duration) { time.Sleep(at - t.since()) }

// note records an event of the test.
func (t *test) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, fmt.Sprintf("%8.3f EVENT %s", t.since().Seconds(), fmt.Sprintf(format, args...)))
}

func (t *test) ran(id string, w *worker) {
	at := t.since()
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.requests[id]; r != nil {
		r.runs = append(r.runs, run{w, at})
		return
	}
	t.events = append(t.events, fmt.Sprintf("%8.3f EVENT worker %s ran %q, which no client sent", at.Seconds(), w.id, id))
}

// config is what the operator writes to op/config.
type config struct {
	version int
	keys    []string
}

// write writes the next version and returns when the store acknowledged it.
func (t *test) writeConfig(keys ...string) time.Duration {
	t.config.version += 3
	t.config.keys = keys
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": "/" + name + "/", "Type": kind, "TimeoutMs": 1500, "GoalMs": 300, "Priority": 2, "Service": serviceName,
			"MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false,
		}
	}
	if !t.store.write("op/config", map[string]any{
		"Version": t.config.version, "Routes": []any{route("status", "safe"), route("book", "unsafe")},
		"Services": []any{map[string]any{"Name": serviceName, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false, "ColdStartS": 0, "ColdPerS": 0}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "household", "ApiKeys": keys, "Priority": 1}},
	}) {
		panic("the operator writes while the store is away")
	}
	at := t.since()
	t.note("config version %d acknowledged, keys %s, store revision %d", t.config.version, strings.Join(keys, " "), t.store.revision())
	return at
}

const (
	host        = "rounds.example"
	deadline    = 3 * time.Second
	sendGap     = 100 * time.Millisecond
	warmUp      = 25 * time.Second
	bodyOfBook  = `{"street":"Canal Bank 4"}`
	settleAfter = 4 * time.Second
)

// send sends requests to a gateway, with the keys in turn, until the test stops.
func (t *test) send(g *gateway, keys []string) {
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		case <-time.After(sendGap):
		}
		r := &request{id: fmt.Sprintf("%s-%05d", g.name, n), key: keys[n%len(keys)], gateway: g, path: "/status/round"}
		if n%5 == 4 {
			r.path = "/book/pickup"
		}
		t.sending.Go(func() { t.exchange(client, r) })
	}
}

// exchange sends one request and records its answer.
func (t *test) exchange(client *http.Client, r *request) {
	method, body := http.MethodGet, io.Reader(nil)
	if strings.HasPrefix(r.path, "/book/") {
		method, body = http.MethodPost, bytes.NewReader([]byte(bodyOfBook))
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", r.gateway.ip, frontPort, r.path), body)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Token "+r.key)
	t.mu.Lock()
	r.sentAt = t.since()
	t.requests[r.id] = r
	t.order = append(t.order, r)
	t.mu.Unlock()
	status := "no answer"
	if resp, err := client.Do(req); err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if status = fmt.Sprint(resp.StatusCode); err != nil {
			status += " broken off"
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r.status, r.answeredAt = status, t.since()
}

// begin starts the deployment and its traffic.
func (t *test) begin(keys []string) error {
	l, err := t.listen()
	if err != nil {
		return err
	}
	t.storeAddress = l.Addr().String()
	t.store = newStore()
	go func() { _ = (&http.Server{Handler: t.store}).Serve(l) }()
	t.start = time.Now().Add(trafficStart)
	t.writeConfig(keys...)
	for i := range workers {
		if err := t.startWorker(i); err != nil {
			return err
		}
	}
	for i := range gateways {
		if err := t.startGateway(i); err != nil {
			return err
		}
	}
	t.until(0)
	for _, g := range t.gateways {
		for !g.isReady() {
			if t.since() > warmUp {
				return fmt.Errorf("%s isn't ready", g.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	t.start = time.Now()
	t.note("all gateways ready, traffic starts, store revision %d", t.store.revision())
	for _, g := range t.gateways {
		go t.send(g, keys)
	}
	return nil
}

// listen chooses loopback addresses whose ports are free.
func (t *test) listen() (net.Listener, error) {
	for try := range 50 {
		t.network = fmt.Sprintf("127.%d.%d", 64+(os.Getpid()+try)%100, (os.Getpid()/100+7*try)%200)
		free := true
		for i := range gateways {
			for _, port := range []int{frontPort, readyPort, peerPort, 9464} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", t.network, 10+i, port))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return net.Listen("tcp", t.network+".2:0")
		}
	}
	return nil, fmt.Errorf("no loopback addresses with free ports")
}

// finish stops the traffic and the processes.
func (t *test) finish() {
	if t.stop != nil {
		close(t.stop)
	}
	if t.store != nil {
		time.Sleep(settleAfter)
	}
	for _, g := range t.gateways {
		_ = g.process.Process.Kill() // it may have ended
		_ = g.process.Wait()
		g.log.Close()
	}
}

// restored makes the store go away and come back, from a copy as old as age if there is
// trouble, and otherwise as it was. copied is the copy.
func (t *test) storeReturns(gone time.Duration, copied state) {
	t.until(gone)
	if !t.trouble {
		return
	}
	t.note("store goes away at revision %d", t.store.revision())
	t.store.leave()
	time.Sleep(awayFor)
	t.store.comeBack(&copied)
	t.note("store is back from a copy of revision %d; revision %d once the operator and the workers have written again", copied.revision, t.store.revision())
}

// awayFor is how long the store is away before it comes back.
const awayFor = 500 * time.Millisecond

// write writes the record.
func (t *test) write(dir string, verdict string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := slices.Clone(t.events)
	for _, r := range t.order {
		line := fmt.Sprintf("%8.3f REQUEST %s key %s path %s", r.sentAt.Seconds(), r.id, r.key, r.path)
		for _, run := range r.runs {
			line += fmt.Sprintf(", run at %.3f by %s of %s", run.at.Seconds(), run.worker.id, run.worker.zone)
		}
		lines = append(lines, line+fmt.Sprintf(", answered at %.3f with %s", r.answeredAt.Seconds(), r.status))
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(a[:8], b[:8]) })
	return os.WriteFile(filepath.Join(dir, "record.txt"), []byte("seconds from the start of the traffic\n"+strings.Join(lines, "\n")+"\n"+verdict+"\n"), 0o644)
}
