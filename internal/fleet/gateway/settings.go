// Package gateway assembles an instance that forwards calls according to the
// operators' routing table. It connects the view of the platform's store, the
// placement of requests on backend servers, the rollout of new versions, the
// messages between instances and the billing, and it defines when the instance is
// ready and how it shuts down.
package gateway

import "time"

// Settings configures an instance on the platform.
type Settings struct {
	// Instance is the name of this instance, Address its IP address.
	Instance   string
	Address    string
	DataCentre string
	// CallersAddress, ReadyAddress and PeerAddress are the addresses (IP and
	// port) that the instance listens on for callers, readiness checks and other
	// instances. StoreAddress is the address of the store.
	CallersAddress string
	ReadyAddress   string
	PeerAddress    string
	StoreAddress   string
	// MemoryBytes and MaxFileDescriptors are the limits of the process.
	MemoryBytes        int64
	MaxFileDescriptors int
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
	// DrainDuration is how long a leaving server keeps serving.
	DrainDuration time.Duration
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// MaxApplyDelay bounds the time until a new routing table is applied.
	MaxApplyDelay time.Duration
	// StrictRevocation demands that a revoked key is refused MaxRevokeDelay
	// after its revocation, whatever fails.
	StrictRevocation bool
	MaxRevokeDelay   time.Duration
	// RetryRatio, RetryWindow and BaseRetries define the retry budget: the number
	// of retries in a window is at most RetryRatio times the number of requests,
	// plus BaseRetries for all instances together.
	RetryRatio  float64
	RetryWindow time.Duration
	BaseRetries float64
	// ColdOverrun and ColdSlack raise the rate of requests that a cold server may
	// get.
	ColdOverrun float64
	ColdSlack   float64
	// ExposureShare bounds the share of requests that a faulty version may get, of those
	// until the deadline of its rollout. BaseExposure is added to that bound.
	ExposureShare float64
	BaseExposure  float64
	// ModelSampleShare is the fraction of the requests whose first attempt goes to the
	// largest model, while there is room, to learn how the smaller ones compare.
	ModelSampleShare float64
	// SessionIdleTimeout is the time without a request after which a session has
	// ended.
	SessionIdleTimeout time.Duration
}
