// Package soak runs real instances as separate processes before the stand-in of the users'
// platform, disturbs them from outside, and judges what callers, backend servers and
// operators have seen.
package soak

import "time"

// Trace is what was seen in one run. Times are since its start.
type Trace struct {
	Requests  []Request
	Arrivals  []Arrival
	Facts     []Fact
	Disturbed []Disturbance
}

// Kind is a kind of request.
type Kind string

// The kinds of requests. A Book may run once.
const (
	Book Kind = "Book"
	Look Kind = "Look"
	Chat Kind = "Chat"
)

// Request is a request as its caller saw it.
type Request struct {
	ID       string
	Kind     Kind
	Instance string
	// Needs is the route or key that the request depends on, if operators have added or
	// revoked it during the run.
	Needs string
	Sent  time.Duration
	Ended time.Duration
	// Status is 0 if the connection ended without an answer.
	Status int
	// Sound is set if a success is a backend server's whole answer.
	Sound bool
	// Leaving names the server that said in the answer that it leaves; Limited the one
	// that named a limit.
	Leaving string
	Limited string
}

// Arrival is a request as a backend server saw it.
type Arrival struct {
	ID     string
	Server string
	At     time.Duration
	Ran    bool
	// Pause is for how long the server said, with a refusal, that it wants no request of
	// the instance.
	Pause time.Duration
	// Limit is the limit that the server named in its answer; below 0 if none.
	Limit float64
}

// FactKind is a kind of fact that operators or backend servers have written to the store.
type FactKind string

// The kinds of facts.
const (
	RouteAdded   FactKind = "RouteAdded"
	RouteRemoved FactKind = "RouteRemoved"
	KeyRevoked   FactKind = "KeyRevoked"
	Draining     FactKind = "Draining"
	// Ended is the unexpected end of an instance's process.
	Ended FactKind = "Ended"
)

// Fact is an accepted change. At is when the store had accepted it.
type Fact struct {
	Kind FactKind
	Name string
	At   time.Duration
}

// Disturbance is a fault on an instance, or on the store if Instance is empty. Process is
// set if the process ended or was paused, Planned for a stop that lets it finish.
type Disturbance struct {
	Kind     string
	Instance string
	From, To time.Duration
	Process  bool
	Planned  bool
}
