// Package gateway puts together an instance that forwards calls along the
// operators' routes: what it knows from the platform's store, which servers it
// may use, how roll-outs go on, and when it is ready.
package gateway

import "time"

// Settings of an instance on the platform.
type Settings struct {
	// Instance is this instance's name, Address its IP.
	Instance   string
	Address    string
	DataCentre string
	// CallersAddress, ReadyAddress and PeerAddress are IPs and ports that are
	// listened at; StoreAddress is the store's.
	CallersAddress string
	ReadyAddress   string
	PeerAddress    string
	StoreAddress   string
	// MemoryBytes and Descriptors bound the process.
	MemoryBytes int64
	Descriptors int
	// LeaseMin is the store's shortest lease.
	LeaseMin time.Duration
	// Drain is how long a leaving server goes on serving.
	Drain time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// ApplyWithin bounds the time to put a routing table in force.
	ApplyWithin time.Duration
	// StrictRevocation demands that keys are refused RevokeWithin after they
	// were taken away, whatever fails.
	StrictRevocation bool
	RevokeWithin     time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound what is sent again.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdOverrun and ColdSlack widen a cold server's rate.
	ColdOverrun float64
	ColdSlack   float64
	// ExposureShare bounds the share of requests that a bad version may get.
	ExposureShare float64
	// SessionWindow is the pause after which a session is over.
	SessionWindow time.Duration
}
