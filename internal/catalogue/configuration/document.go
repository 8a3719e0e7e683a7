// Package configuration holds the one document that operators edit: models
// and their versions, customers, data centres, services, cascades, roll-outs
// and presets. The document lives under a single key of the platform's store;
// the store's revision is its only order.
//
// A Document is immutable once published. Change it by Clone, edit and commit.
package configuration

import (
	"encoding/json"
	"fmt"
	"time"
)

// FormatVersion is the document format that this program writes and the
// highest that it reads.
const FormatVersion = 1

// Document is the whole configuration at one revision of the store.
type Document struct {
	FormatVersion int
	// Revision orders documents: Base plus the store's modification revision.
	// It is not part of the stored value.
	Revision int64 `json:"-"`
	// Base is added to the store's revision. It is raised when a document is
	// written into a store whose own revisions have gone back.
	Base int64 `json:",omitempty"`
	// Serial counts the accepted edits. A document with a higher revision but
	// no higher serial does not descend from the one in force.
	Serial      int64 `json:",omitempty"`
	Changes     []Change
	Preset      string
	Presets     []Preset
	Models      []Model
	Cascades    []Cascade
	Rollouts    []Rollout
	Customers   []Customer
	DataCentres []DataCentre
	Services    []Service
	SessionKeys []SessionKey
}

// Change records one accepted edit. Recent changes stay in the document so
// that a writer whose answer was lost learns whether its edit took effect.
type Change struct {
	ID       string
	Operator string
	Summary  string
	At       time.Time
	// Parent is the revision that the edit was made on.
	Parent int64 `json:",omitempty"`
	// Fields names what the edit changed.
	Fields []string `json:",omitempty"`
}

// Preset is a named set of policies. Exactly one is in force at any time.
type Preset struct {
	Name string
	// QualityTarget is the share of the dearest model's pass rate that
	// answers must reach, 0 to 1.
	QualityTarget float64
	// Judge allows a cheap answer to be judged before it is delivered.
	Judge bool
	// DelayPrice is the cost of one second of delay, in price units.
	DelayPrice float64
	// ShedAt is the utilisation above which new sessions are refused, 0 to 1.
	ShedAt float64
	// RampSeconds is the shortest time over which a cold server is ramped up.
	RampSeconds float64
	// RolloutPace scales how long each roll-out stage lasts; 0 holds them.
	RolloutPace float64
	// ExploreShare bounds the share of requests spent on exploration, 0 to 1.
	ExploreShare float64
}

// VersionState says whether a version may get new work.
type VersionState string

// The states of a version.
const (
	VersionRegistered VersionState = "Registered" // known, no traffic
	VersionActive     VersionState = "Active"     // may get work
	VersionWithdrawn  VersionState = "Withdrawn"  // gets no new work
)

// Model is one language model with its versions, oldest first.
type Model struct {
	Name string
	// Service is the backend service whose servers run the model.
	Service string
	// Price is the cost of 1,000 generated tokens, in price units.
	Price    float64
	Versions []Version
	// Default is the version that requests get outside a roll-out.
	Default string
}

// Version is one version of a model.
type Version struct {
	Name  string
	State VersionState
	// WithdrawnAt is the time of withdrawal, zero if not withdrawn.
	WithdrawnAt time.Time
	Reason      string
}

// Cascade is a name that callers may use as a model; the router picks among
// its models, cheapest first.
type Cascade struct {
	Name   string
	Models []string
}

// RolloutState is the state of a roll-out.
type RolloutState string

// The states of a roll-out.
const (
	RolloutPreparing RolloutState = "Preparing" // servers load the new version, no traffic
	RolloutRunning   RolloutState = "Running"   // new sessions get the stage's share
	RolloutHalted    RolloutState = "Halted"    // no new sessions, those in progress stay
	RolloutComplete  RolloutState = "Complete"  // all new sessions
	RolloutWithdrawn RolloutState = "Withdrawn" // ended, the new version is withdrawn
)

// Rollout moves traffic of a model from one version to another in stages.
type Rollout struct {
	ID    string
	Model string
	From  string
	To    string
	// Stages are shares of traffic given to To, ascending, each in (0, 1].
	Stages []float64
	Stage  int
	State  RolloutState
	// Fence is the fencing number of the driver that wrote this record.
	Fence     int64
	StartedAt time.Time
	StageAt   time.Time
	// History lists the stage changes, oldest first; session pins are
	// recomputed from it.
	History []StageChange
	Reason  string
}

// StageChange is one step in the history of a roll-out.
type StageChange struct {
	At    time.Time
	Share float64
}

// Share returns the share of new sessions that get the new version.
func (r Rollout) Share() float64 {
	switch r.State {
	case RolloutComplete:
		return 1
	case RolloutPreparing, RolloutHalted, RolloutWithdrawn:
		return 0
	}
	if r.Stage < 0 || r.Stage >= len(r.Stages) {
		return 0
	}
	return r.Stages[r.Stage]
}

// OnWithdrawal says what a session does when its version is withdrawn.
type OnWithdrawal string

// The rules for sessions of a withdrawn version.
const (
	WithdrawalRefuse OnWithdrawal = "Refuse"
	WithdrawalMove   OnWithdrawal = "Move"
)

// Customer is one customer and what it may use.
type Customer struct {
	Name string
	// KeyHashes are hex SHA-256 digests of the customer's API keys.
	KeyHashes []string
	Allowed   []ModelAccess
	Services  []string
	// Weight is the customer's share under overload, relative to others.
	Weight float64
	// Priority is the customer's base priority; higher goes first.
	Priority     int
	OnWithdrawal OnWithdrawal
}

// ModelAccess allows a model, in all versions or in those listed.
type ModelAccess struct {
	Model    string
	Versions []string
}

// DataCentre is one data centre. Out is set while operators have taken it out.
type DataCentre struct {
	Name   string
	Region string
	Out    bool
}

// ServiceKind tells model services from plain ones.
type ServiceKind string

// The kinds of service.
const (
	ServiceModel ServiceKind = "Model"
	ServicePlain ServiceKind = "Plain"
)

// Service is a pool of backend servers.
type Service struct {
	Name string
	Kind ServiceKind
	// Concurrency is what one warm server bears.
	Concurrency int
	// ColdConcurrency is what one server bears in cold start.
	ColdConcurrency int
	// NonIdempotent lists the calls of a plain service that must not be
	// repeated.
	NonIdempotent []CallPattern
	// FencingChecked says that the engines refuse orders with old fencing
	// numbers.
	FencingChecked bool
}

// CallPattern matches a method and a path prefix; an empty method matches all.
type CallPattern struct {
	Method string
	Prefix string
}

// SessionKey seals session tokens. The first key seals, all keys open.
type SessionKey struct {
	ID string
	// Secret is the 32-byte key, base64 in JSON.
	Secret []byte
}

// Parse decodes a stored value. It refuses newer formats and unknown fields.
func Parse(value []byte, revision int64) (*Document, error) {
	var head struct{ FormatVersion int }
	if err := json.Unmarshal(value, &head); err != nil {
		return nil, &FormatError{Revision: revision, Err: err}
	}
	if head.FormatVersion > FormatVersion {
		return nil, &FormatError{Revision: revision, Newer: true, Err: fmt.Errorf("format version %d is newer than %d", head.FormatVersion, FormatVersion)}
	}
	doc, err := decodeStrict(value)
	if err != nil {
		return nil, &FormatError{Revision: revision, Newer: isUnknownField(err), Err: err}
	}
	doc.Revision = revision
	if err := doc.Validate(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Encode returns the stored form of the document.
func (d *Document) Encode() ([]byte, error) {
	return json.Marshal(d)
}

// Clone returns a deep copy that can be edited.
func (d *Document) Clone() *Document {
	value, err := json.Marshal(d)
	if err != nil {
		panic(fmt.Sprintf("configuration: a document failed to encode: %v", err))
	}
	c := new(Document)
	if err := json.Unmarshal(value, c); err != nil {
		panic(fmt.Sprintf("configuration: an encoded document failed to decode: %v", err))
	}
	c.Revision = d.Revision
	return c
}
