package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/standin/site"
)

// callPause is the mean time between two requests of a caller.
const callPause = 20 * time.Millisecond

// runCallers lets callers send requests to all instances until the context ends. A caller
// keeps its connection for as long as it lasts, also while the instance stops.
func (w *world) runCallers(ctx context.Context) {
	var group sync.WaitGroup
	for i, n := range w.nodes {
		for c := range callersPerInstance {
			random := rand.New(rand.NewPCG(w.settings.Seed, uint64(1000+100*i+c)))
			group.Go(func() {
				client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
				defer client.CloseIdleConnections()
				for ctx.Err() == nil {
					w.call(ctx, client, n, random)
					select {
					case <-ctx.Done():
					case <-time.After(time.Duration(random.ExpFloat64() * float64(callPause))):
					}
				}
			})
		}
	}
	group.Wait()
}

// call sends one request and records it.
func (w *world) call(ctx context.Context, client *http.Client, n *node, random *rand.Rand) {
	w.mu.Lock()
	w.calls++
	call := site.Call{ID: fmt.Sprintf("q-%d", w.calls), Host: host, Key: baseKey, Method: http.MethodPost, Timeout: callTimeout}
	kind, needs := Look, ""
	switch p := random.Float64(); {
	case p < 0.3:
		call.Route, kind = "book", Book
	case p < 0.5:
		call.Route, kind, call.Events = "chat", Chat, 3+random.IntN(20)
	case p < 0.7 && len(w.routes) > 0:
		needs = w.routes[random.IntN(len(w.routes))]
		call.Route = needs
	case p < 0.8 && len(w.keys) > 0:
		needs = w.keys[random.IntN(len(w.keys))]
		call.Route, call.Key = "look", needs
	default:
		call.Route = "look"
	}
	w.mu.Unlock()
	sent := w.now()
	answer := call.Do(ctx, client, n.instance.CallersAddress)
	if ctx.Err() != nil {
		return // the run ended first
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trace.Requests = append(w.trace.Requests, Request{
		ID: call.ID, Kind: kind, Instance: n.instance.Name, Needs: needs, Sent: sent, Ended: w.now(), Status: answer.Status, Sound: answer.Whole,
		Leaving: answer.Leaving, Limited: answer.Limited,
	})
}

// collect adds what the backend servers have seen to the trace and returns it.
func (w *world) collect() Trace {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.servers {
		for _, run := range b.server.Runs() {
			limit := run.Notice.Limit
			if limit == 0 {
				limit = -1
			}
			w.trace.Arrivals = append(w.trace.Arrivals, Arrival{
				ID: run.ID, Server: b.server.ID, At: run.At.Sub(w.start), Ran: run.Ran, Pause: run.Notice.RetryAfter, Limit: limit,
			})
		}
	}
	return w.trace
}
