// Package route defines the routing table: which services receive which calls,
// which customers' keys they need, and which calls may be retried. A Table is
// immutable once it is indexed.
package route

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says whether the requests of a route may be retried and how they are
// answered.
type Kind int

// The kinds of route.
const (
	// Unsafe calls run at most once per request.
	Unsafe Kind = iota
	// Safe calls may run more than once per request.
	Safe
	// Streaming calls are answered with a stream of numbered events.
	Streaming
)

// String returns the kind's name, as logs show it.
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

// Route says how calls to one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the complete answer; 0 means no limit.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or the first event of a
	// stream, has its full value.
	LatencyTarget time.Duration
	// MaxEventGap is the maximum time between two events of a timely stream.
	MaxEventGap time.Duration
	// MaxAttempts is the maximum number of backend servers that one request is
	// sent to.
	MaxAttempts int
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Public is set if callers need no key.
	Public bool
	// Resumable is set if another backend server can resume a stream.
	Resumable bool
	// Models lists the models to choose from, smallest first. If it is empty,
	// the caller names the model.
	Models  []string
	Targets []Target
}

// Target is a service that receives a share of a route's requests, in proportion
// to its weight.
type Target struct {
	Service string
	Weight  int
}

// IsIdempotent reports whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Serves reports whether the service receives requests of the route.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Target returns the service for a request, or "" if no target has a weight.
// splitHash is a hash of the request that is uniformly distributed over all
// values.
func (r *Route) Target(splitHash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	offset := int(splitHash % uint64(total))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service
		}
		offset -= t.Weight
	}
	return ""
}

// Service is a set of backend servers that serve the same calls.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections to one backend server
	// from all instances together.
	MaxConnections int
	// ColdStart is how long a backend server stays cold after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold backend server
	// can serve.
	ColdRate float64
	Models   []Model
}

// Model is a model that a service's engines run.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens. A prompt token costs a
	// quarter of a generated token.
	Cost float64
}

// Customer is the owner of the requests that carry one of its keys.
type Customer struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds the size of callers' requests and the time to send them.
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

	routesByHost   map[string][]*Route
	customersByKey map[string]*Customer
}

// Index builds the maps that Match and Customer use. It must be called once,
// before the table is shared.
func (t *Table) Index() {
	t.routesByHost = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.customersByKey = map[string]*Customer{}
	for i := range t.Customers {
		for _, key := range t.Customers[i].Keys {
			t.customersByKey[key] = &t.Customers[i]
		}
	}
}

// Match returns the route of the host with the longest prefix of the path, or
// nil.
func (t *Table) Match(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests of the route must carry a customer's key.
// A table without customers needs none.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Customers) > 0 && !r.Public }

// Customer returns the customer with this key, or nil.
func (t *Table) Customer(key string) *Customer { return t.customersByKey[key] }
