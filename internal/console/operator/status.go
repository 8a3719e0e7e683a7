package operator

import "time"

// Status is the state of one instance.
type Status struct {
	Instance   string
	DataCentre string
	Region     string
	Generation uint64
	At         time.Time
	Ready      bool
	Reason     string
	Revision   int64
	Preset     string
	// ConfirmedAge is the time since the revision was last confirmed.
	ConfirmedAge time.Duration
	// StoreAge is the time since the store itself confirmed it, as far as
	// the instance has heard; negative if it never did.
	StoreAge time.Duration
	// Watching is set on the watchers of the store.
	Watching bool
	// ListAge is the time since the platform's instance list was last known
	// to be the one in use; negative if it never was.
	ListAge time.Duration
	Members []MemberStatus
	Servers ServerStatus
	// Keeper counts the keys this instance is keeper of, by duty.
	Keeper map[string]int
	// StoreCalls counts calls to the platform's store by purpose.
	StoreCalls map[string]int64
	Refusals   map[string]int64
	Retries    map[string]int64
	InFlight   int
}

// MemberStatus is one instance as another sees it.
type MemberStatus struct {
	Name       string
	DataCentre string
	State      string
}

// ServerStatus counts backend servers as an instance sees them.
type ServerStatus struct {
	Live    int
	Leaving int
	Cold    int
}

// InForce says which revision an instance has in force.
type InForce struct {
	Instance string
	Revision int64
	Ready    bool
	Err      string `json:",omitempty"`
}
