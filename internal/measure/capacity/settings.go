// Package capacity measures what the control of a fleet costs: it runs the
// control planes of many instances in one process, over loopback TCP, against
// stand-ins of the platform, and counts messages, bytes, processor time, memory
// and calls of the store. docs/CAPACITY.md draws its slopes from it.
package capacity

import "time"

// Settings describe one fleet to measure.
type Settings struct {
	Instances   int
	DataCentres int
	// ServersPerInstance is how many backend servers there are to one
	// instance.
	ServersPerInstance int
	// Settle is how long the fleet runs before it is measured.
	Settle time.Duration
	// Window is how long it is measured while nothing changes.
	Window time.Duration
	// Changes is how many changes of the configuration are timed.
	Changes int
	// Loss is the share of calls between instances that fail, 0 to 1.
	Loss float64
	// StoreDelay is added to each answer of the store.
	StoreDelay time.Duration
	// RestartShare is the share of instances that restart during each
	// change, 0 to 1.
	RestartShare float64
	// DocumentBytes is about how large the configuration is.
	DocumentBytes int
}

// Result is what one fleet costs. Figures for an instance include the share of
// the stand-ins that answer it, since all run in one process.
type Result struct {
	Instances int
	// CoreShare is the processor time of one instance, as a share of a core.
	CoreShare float64
	// MemoryBytes is the live heap and the stacks of one instance.
	MemoryBytes float64
	Goroutines  float64
	// PeerBytes is what one instance sends and receives between instances
	// each second; PeerCalls is how many calls it makes and answers.
	PeerBytes float64
	PeerCalls float64
	// ListBytes and LoadBytes are read from the instance list and from
	// backend servers.
	ListBytes float64
	LoadBytes float64
	// StoreReads and StoreWrites are the whole fleet's, each second.
	StoreReads  float64
	StoreWrites float64
	// StoreWatches is how many watches wait.
	StoreWatches int
	// StartReads is the most reads and watches in a second while all start.
	StartReads  int
	StartWrites int
	// InForce is how long each change took to be in force on every
	// instance, ascending.
	InForce []time.Duration
	// Late counts instances that did not have a change within the bound,
	// Reverts those that went back.
	Late    int
	Reverts int
	// JoinedMembers is the least number of members that an instance sees.
	JoinedMembers int
}
