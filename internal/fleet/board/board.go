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
	// Members is written by membership.
	Members Section[Members]
	// Servers is written by the roster controller, which joins the
	// platform's instance list with the engines' load reports.
	Servers Section[Servers]
	// InstanceList is written by the roster controller.
	InstanceList Section[InstanceList]
	// PeerStatuses is written by membership.
	PeerStatuses Section[PeerStatuses]
}

// Confirmation says when this instance last knew its configuration to be in
// force, and whether it may take new work.
type Confirmation struct {
	// ConfirmedAt is when the store or a peer last answered that nothing newer is in
	// force, counted from when it was asked.
	ConfirmedAt time.Time
	Revision    int64
	Ready       bool
	Reason      string
	// ValidUntil is when the confirmation lapses: an instance that was paused past
	// it must take no new work, whatever Ready says.
	ValidUntil time.Time
	// StoreConfirmedAt is when the store itself last confirmed the revision, as far as
	// this instance has heard.
	StoreConfirmedAt time.Time
	// Watching is set while this instance is one of its data centre's
	// watchers of the store.
	Watching bool
}

// AllowsNewWork reports whether the instance may take new work at this moment.
func (c *Confirmation) AllowsNewWork(now time.Time) bool {
	return c != nil && c.Ready && now.Before(c.ValidUntil)
}

// Members is the membership as this instance sees it, sorted by name.
type Members struct {
	Self string
	List []Member
	// Epoch grows with every change of the list.
	Epoch uint64
	// ListedAt is this instance's time when it last asked the platform for
	// the instance list and got it; the list is no older than that plus the
	// platform's lag. Every listed instance stays in List, as Suspect if it
	// does not answer, so that members who cannot reach each other still
	// agree on who keeps what.
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
	// PeerAddress is the IP and port of its peer listener.
	PeerAddress string
	DataCentre  string
	Region      string
	// Generation distinguishes runs under the same name; a restart raises it.
	Generation uint64
	State      MemberState
	LastSeen   time.Time
}

// ServerState is the state of a backend server in the instance list.
type ServerState string

// The states of a backend server.
const (
	ServerLive    ServerState = "Live"
	ServerLeaving ServerState = "Leaving"
)

// Servers is every backend server in the instance list, sorted by name.
type Servers struct {
	List []Server
	At   time.Time
}

// Server is one backend server with its latest load report.
type Server struct {
	Name       string
	Address    string
	Service    string
	DataCentre string
	Region     string
	State      ServerState
	Report     LoadReport
}

// LoadReport is an engine's own account of its load; it arrives with a lag.
type LoadReport struct {
	// ReportedAt is the server's time of the report; ReceivedAt is this instance's.
	ReportedAt time.Time
	ReceivedAt time.Time
	Sequence   uint64
	// Generation and StartedAt change when the server restarts.
	Generation uint64
	StartedAt  time.Time
	Cold       bool
	Running    int
	Waiting    int
	// Concurrency is how many requests the server can run at once when warm.
	Concurrency     int
	ColdConcurrency int
	// TimeToFirstToken is the server's recent median time to first token.
	TimeToFirstToken time.Duration
	// Loaded lists the versions that the server runs.
	Loaded []LoadedVersion
}

// LoadedVersion is one version held by a backend server.
type LoadedVersion struct {
	Model   string
	Version string
}

// HasLoaded reports whether the server has this version loaded.
func (s *Server) HasLoaded(model, version string) bool {
	for _, l := range s.Report.Loaded {
		if l.Model == model && l.Version == version {
			return true
		}
	}
	return false
}
