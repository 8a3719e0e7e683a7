// Package route holds the routing table that operators put in force: which
// service answers which calls, whose keys open them, and what may be repeated.
// A Table is immutable once built.
package route

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind int

// The kinds of route.
const (
	// Unsafe calls run at most once for each request.
	Unsafe Kind = iota
	// Safe calls may run more than once.
	Safe
	// Streaming calls are answered by a series of numbered events.
	Streaming
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Unsafe:
		return "Unsafe"
	case Safe:
		return "Safe"
	case Streaming:
		return "Streaming"
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// Route is one entry of the table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a caller may be kept waiting for the whole
	// answer; 0 sets no limit.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to a stream's first event, within
	// which it has its full worth.
	LatencyTarget time.Duration
	// MaxEventGap is the longest pause between events of an answer that is on time.
	MaxEventGap time.Duration
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// Models are the models to choose from, smallest first. If there are
	// none, the caller names the model.
	Models  []string
	Targets []Target
}

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// IsIdempotent reports whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Serves reports whether the service may take requests of the route.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Target returns the service for a request, by its position in the split: a
// number that is evenly spread over all values.
func (r *Route) Target(position uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(position % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}

// Service is a set of backend servers that answer the same calls.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one backend server from all
	// instances together.
	MaxConnections int
	// ColdStart is how long a backend server stays cold after its start.
	ColdStart time.Duration
	// ColdRate is how many requests a second a cold backend server bears.
	ColdRate float64
	Models   []Model
}

// Model is one model of a service's engines.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens; tokens read count a quarter.
	Cost float64
}

// Customer owns requests by the keys that they carry.
type Customer struct {
	Name string
	Keys []string
	// Priority goes before a route's own if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the routing table.
type Table struct {
	Version   int64
	Routes    []Route
	Services  map[string]Service
	Customers []Customer
	Limits    Limits

	hosts map[string][]*Route
	keys  map[string]*Customer
}

// Index prepares the table for look-ups. It must be called once, before the
// table is shared.
func (t *Table) Index() {
	t.hosts = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.keys = map[string]*Customer{}
	for i := range t.Customers {
		for _, key := range t.Customers[i].Keys {
			t.keys[key] = &t.Customers[i]
		}
	}
}

// Match returns the route of the host with the longest prefix that begins the
// path, or nil.
func (t *Table) Match(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests of the route must carry a customer's key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Customers) > 0 && !r.Public }

// Customer returns the customer that owns the key, or nil.
func (t *Table) Customer(key string) *Customer { return t.keys[key] }
