package site

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Access is one instance's way to the store, which can be disturbed by itself.
type Access struct {
	Address string

	store *Store
	http  *http.Server
	mu    sync.Mutex
	fault Fault
	delay time.Duration
}

// NewAccess starts a way to the store on a loopback port.
func NewAccess(store *Store) (*Access, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start a way to the store: %w", err)
	}
	a := &Access{Address: l.Addr().String(), store: store}
	a.http = &http.Server{Handler: a, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = a.http.Serve(l) }()
	return a, nil
}

// Disturb changes how calls are treated: with a fault, or served after a delay.
func (a *Access) Disturb(f Fault, delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault, a.delay = f, delay
}

// Close ends the way and its connections.
func (a *Access) Close() { a.http.Close() }

// ServeHTTP implements http.Handler.
func (a *Access) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	fault, delay := a.fault, a.delay
	a.mu.Unlock()
	if fault != Sound {
		a.store.serveWith(fault, w, r)
		return
	}
	select {
	case <-time.After(delay):
		a.store.ServeHTTP(w, r)
	case <-r.Context().Done():
	}
}
