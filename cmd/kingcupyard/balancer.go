package main

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// readyInterval is how often a balancer asks each instance.
	readyInterval = 100 * time.Millisecond
	readyTimeout  = time.Second
)

// balancer gives requests to ready instances in turn, as the platform's does.
type balancer struct {
	targets []string
	checks  []string
	ready   []atomic.Bool
	next    atomic.Uint64
	client  http.Client
}

func newBalancer(targets, checks []string) *balancer {
	return &balancer{targets: targets, checks: checks, ready: make([]atomic.Bool, len(targets)), client: http.Client{Timeout: readyTimeout}}
}

// pick returns the next ready target, or "" if none is.
func (b *balancer) pick() string {
	for range b.targets {
		i := b.next.Add(1) % uint64(len(b.targets))
		if b.ready[i].Load() {
			return b.targets[i]
		}
	}
	return ""
}

// watch asks every instance again and again until the context ends.
func (b *balancer) watch(ctx context.Context) {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		for i := range b.checks {
			go b.check(ctx, i)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) check(ctx context.Context, i int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.checks[i]+"/readyz", nil)
	if err != nil {
		return
	}
	resp, err := b.client.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	b.ready[i].Store(err == nil && resp.StatusCode == http.StatusOK)
}
