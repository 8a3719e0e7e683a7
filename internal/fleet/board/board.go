package board

import (
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// Board has one section for each kind of state that controllers share.
type Board struct {
	// Configuration is written by the configuration controller.
	Configuration Section[configuration.Document]
	// Confirmation is written by the configuration controller.
	Confirmation Section[Confirmation]
	// Members is written by the membership controller.
	Members Section[Members]
	// Servers is written by the roster controller, which combines the
	// platform's list of backend servers with their load reports.
	Servers Section[Servers]
	// InstanceList is written by the roster controller.
	InstanceList Section[InstanceList]
	// PeerStatuses is written by the membership controller.
	PeerStatuses Section[PeerStatuses]
}

// Confirmation records when this instance last confirmed that its configuration is
// current, and whether it may accept new work.
type Confirmation struct {
	// ConfirmedAt is when this instance sent the last request to which the store
	// or a peer replied with no newer configuration than the applied one.
	ConfirmedAt time.Time
	Revision    int64
	Ready       bool
	Reason      string
	// ValidUntil is when the confirmation expires. An instance that was paused
	// beyond it must not accept new work even if Ready is set.
	ValidUntil time.Time
	// StoreConfirmedAt is when the store itself last confirmed the revision,
	// directly or as reported by a peer.
	StoreConfirmedAt time.Time
	// Watching is set while this instance is one of the instances that watch the
	// store for their data centre.
	Watching bool
}

// AllowsNewWork reports whether the instance may accept new work at the given
// time.
func (c *Confirmation) AllowsNewWork(now time.Time) bool {
	return c != nil && c.Ready && now.Before(c.ValidUntil)
}

// Members is the membership as this instance sees it, sorted by name.
type Members struct {
	Self string
	// List includes, as Suspect, listed instances that don't answer. Keepers of
	// credits are chosen from suspect members too, so that members that can't
	// reach each other still agree on the keeper of each key.
	List []Member
	// Epoch increases with every change of List.
	Epoch uint64
	// ListedAt is when this instance, on its own clock, sent the last successful
	// request for the platform's instance list. The list is older than that by
	// at most the platform's lag.
	ListedAt time.Time
}

// MemberState is the state of an instance.
type MemberState string

// The states of a member.
const (
	MemberAlive   MemberState = "Alive"
	MemberSuspect MemberState = "Suspect"
	MemberLeaving MemberState = "Leaving"
)

// Member is one instance of the system.
type Member struct {
	Name string
	// PeerAddress is the IP address and port of the instance's peer listener.
	PeerAddress string
	DataCentre  string
	Region      string
	// Generation distinguishes runs under the same name; it increases with every
	// restart.
	Generation uint64
	State      MemberState
	LastSeen   time.Time
}

// ServerState is the state of a backend server as listed by the platform.
type ServerState string

// The states of a backend server.
const (
	ServerLive    ServerState = "Live"
	ServerLeaving ServerState = "Leaving"
)

// Servers holds every backend server that the platform lists, sorted by name.
type Servers struct {
	List []Server
	// At is when the list was published.
	At time.Time
}

// Server is a backend server with its latest load report.
type Server struct {
	Name       string
	Address    string
	Service    string
	DataCentre string
	Region     string
	State      ServerState
	Report     LoadReport
}

// LoadReport is a backend server's report of its own load. It arrives with a lag.
type LoadReport struct {
	// ReportedAt is when the report was made, on the server's clock; ReceivedAt
	// is when it arrived, on this instance's clock.
	ReportedAt time.Time
	ReceivedAt time.Time
	Sequence   uint64
	// Generation and StartedAt change when the server restarts.
	Generation uint64
	StartedAt  time.Time
	Cold       bool
	Running    int
	Waiting    int
	// Concurrency is the number of requests that the server can run concurrently
	// when warm, ColdConcurrency when cold.
	Concurrency     int
	ColdConcurrency int
	// TimeToFirstToken is the server's recent median time to first token.
	TimeToFirstToken time.Duration
	// Loaded lists the versions that the server has loaded.
	Loaded []LoadedVersion
}

// LoadedVersion is a model version that a backend server has loaded.
type LoadedVersion struct {
	Model   string
	Version string
}

// HasLoaded reports whether the server has loaded the version.
func (s *Server) HasLoaded(model, version string) bool {
	for _, l := range s.Report.Loaded {
		if l.Model == model && l.Version == version {
			return true
		}
	}
	return false
}
