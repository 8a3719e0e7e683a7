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
	MemoryBytes        int64
	MaxFileDescriptors int
	// MinLeaseTTL is the store's shortest lease.
	MinLeaseTTL time.Duration
	// DrainDuration is how long a leaving server goes on serving.
	DrainDuration time.Duration
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// MaxApplyDelay bounds the time to put a routing table in force.
	MaxApplyDelay time.Duration
	// StrictRevocation demands that keys are refused RevokeWithin after they
	// were taken away, whatever fails.
	StrictRevocation bool
	MaxRevokeDelay   time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound what is sent again.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdOverrun and ColdSlack widen a cold server's rate.
	ColdOverrun float64
	ColdSlack   float64
	// ExposureShare bounds the share of requests that a bad version may get.
	ExposureShare float64
	// SessionIdleTimeout is the pause after which a session is over.
	SessionIdleTimeout time.Duration
}
