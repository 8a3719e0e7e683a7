package site

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Operator writes the routing table.
type Operator struct {
	Host string

	store   *Store
	mu      sync.Mutex
	version int
	routes  []string
	keys    []string
}

// NewOperator returns an operator with a table of the routes book, look and chat, and one
// key.
func NewOperator(store *Store, host, key string) *Operator {
	o := &Operator{Host: host, store: store, keys: []string{key}}
	o.write()
	return o
}

// AddRoutes adds safe routes with the given names. It returns when the store has them.
func (o *Operator) AddRoutes(names ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.routes = append(o.routes, names...)
	o.write()
}

// RemoveRoute removes a route that AddRoutes added.
func (o *Operator) RemoveRoute(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.routes = slices.DeleteFunc(o.routes, func(r string) bool { return r == name })
	o.write()
}

// AddKey adds a key of the customer, RevokeKey takes one away.
func (o *Operator) AddKey(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keys = append(o.keys, key)
	o.write()
}

// RevokeKey takes a key of the customer away.
func (o *Operator) RevokeKey(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keys = slices.DeleteFunc(o.keys, func(k string) bool { return k == key })
	o.write()
}

// write writes the next version of the table.
func (o *Operator) write() {
	o.version += 2
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"Name": name, "Host": o.Host, "Prefix": "/" + name + "/", "Type": kind, "TimeoutMs": 3000, "GoalMs": 1000, "Service": service,
			"MaxAttempts": 3, "Priority": 1,
		}
	}
	chat := route("chat", "streaming", "llm")
	chat["Resumable"], chat["Sticky"], chat["Sizes"], chat["GapTargetMs"] = true, true, []string{"small", "large"}, 1000
	routes := []any{route("book", "unsafe", "app"), route("look", "safe", "app"), chat}
	for _, name := range o.routes {
		routes = append(routes, route(name, "safe", "app"))
	}
	o.store.Set("op/config", map[string]any{
		"Version": o.version, "Routes": routes,
		"Services": []any{map[string]any{"Name": "app", "MaxConns": 100}, map[string]any{"Name": "llm", "MaxConns": 100}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "customer-1", "ApiKeys": o.keys}},
	})
}

// Announce writes the entry of a backend server.
func (s *Server) Announce(store *Store, service, state string) {
	store.Set("servers/"+s.ID, map[string]any{
		"Service": service, "Address": s.Address, "Zone": "gulberg", "Version": "v1", "Slots": 6, "State": state, "ColdLeftMs": 0, "Seq": time.Now().UnixMilli(), "born": 1,
	})
}

// RouteNames returns names for a number of routes that begin with a prefix.
func RouteNames(prefix string, n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return names
}
