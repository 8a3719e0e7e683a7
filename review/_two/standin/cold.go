package main

import (
	"fmt"
	"sort"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/standin/site"
)

const (
	coldPerS    = 11
	coldOverrun = 1.5
	coldSlack   = 5
	coldStart   = 3 * time.Second
	llmPerS     = 48
)

// table returns a routing table with one resumable streaming route to the service llm.
func coldTable() map[string]any {
	return map[string]any{
		"Version": 2,
		"Routes": []any{map[string]any{
			"Name": "chat", "Host": host, "Prefix": "/chat/", "Type": "streaming", "TimeoutMs": 8000, "GoalMs": 3000, "GapTargetMs": 1500, "Service": "llm",
			"MaxAttempts": 3, "Priority": 1, "Resumable": true, "Sticky": true,
		}},
		"Services": []any{map[string]any{"Name": "llm", "MaxConns": 370, "ColdStartS": coldStart.Seconds(), "ColdPerS": coldPerS}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "customer-1", "ApiKeys": []string{key}}},
	}
}

// runCold crashes a worker that is cut off from the store. It starts again, cold, under its ID
// and address, and can't say so in its entry.
func runCold(w *world, trouble bool) (bool, error) {
	w.store.Set("op/config", coldTable())
	var workers []*worker
	for i := range 2 {
		k := &worker{world: w, id: fmt.Sprintf("i-llm-%d", i), service: "llm", version: "v1", zone: "gulberg", serve: stream(5, 60*time.Millisecond)}
		if err := k.start(); err != nil {
			return false, err
		}
		defer k.crash()
		k.announce("ready")
		workers = append(workers, k)
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	done := make(chan []answer)
	go func() {
		done <- w.load(llmPerS, stop, func(n *node, i int) answer {
			return w.call(n, "POST", "/chat/x", fmt.Sprintf("r-%d", i), map[string]string{"X-Model": "m0", "X-Token-Counts": "500,5", "X-Prefix-Hash": fmt.Sprintf("a%d:300,b%d:200", i%20, i)}, 8*time.Second)
		})
	}()
	time.Sleep(6 * time.Second)
	if trouble {
		w.logf("the store is down")
		w.store.SetFault(site.Silent)
		time.Sleep(300 * time.Millisecond)
		for _, k := range workers {
			k.crash()
		}
		w.logf("the workers have crashed")
		time.Sleep(200 * time.Millisecond)
		for _, k := range workers {
			k.mu.Lock()
			k.cold = time.Now().Add(coldStart)
			k.mu.Unlock()
			if err := k.start(); err != nil {
				return false, err
			}
		}
		w.logf("the workers have started again, cold")
		time.Sleep(4 * time.Second)
		w.store.SetFault(site.Sound)
		for _, k := range workers {
			k.announce("ready")
		}
		w.logf("the store is back")
	} else {
		time.Sleep(4500 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	answers := <-done
	sent := map[string]time.Time{}
	count := map[int]int{}
	for _, a := range answers {
		sent[a.id] = a.sentAt
		count[a.status]++
	}
	w.logf("answers by status: %v", count)
	limit := coldPerS*coldOverrun + coldSlack
	broken := false
	for _, k := range workers {
		var cold []arrival
		for _, a := range k.seen() {
			w.printf("%8.3f request %s, sent at %.3f, reaches %s run %d", w.since(a.at), a.id, w.since(sent[a.id]), a.worker, a.run)
			if a.run == 2 && a.at.Before(k.cold) {
				cold = append(cold, a)
			}
		}
		most := mostInSecond(cold, sent)
		broken = broken || float64(most) > limit
		w.logf("while cold, %s got %d requests, at most %d in a second; the limit is %.1f", k.id, len(cold), most, limit)
		fmt.Printf("while cold, %s got %d requests, at most %d in a second; the limit is %.1f\n", k.id, len(cold), most, limit)
	}
	return broken, nil
}

// mostInSecond returns the largest number of requests that were sent and arrived within a second.
func mostInSecond(arrivals []arrival, sent map[string]time.Time) int {
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].at.Before(arrivals[j].at) })
	most := 0
	for _, last := range arrivals {
		from, n := last.at.Add(-time.Second), 0
		for _, a := range arrivals {
			if !a.at.After(last.at) && a.at.After(from) && sent[a.id].After(from) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
