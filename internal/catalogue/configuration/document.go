// Package configuration defines the document that operators edit: models and
// their versions, customers, data centres, services, cascades, rollouts and
// presets. The whole document is stored under a single key of the platform's
// store, and only the store's revisions order its versions.
//
// A Document is immutable once published. To change it, clone it, edit the
// clone and commit the result.
package configuration

import (
	"encoding/json"
	"fmt"
	"time"
)

// FormatVersion is the document format that this program writes and the newest
// format that it reads.
const FormatVersion = 1

// Document is the whole configuration at one revision of the store.
type Document struct {
	FormatVersion int
	// Revision orders documents: Base plus the store's modification revision.
	// It is not part of the stored value.
	Revision int64 `json:"-"`
	// Base is added to the store's revision. It is raised when a document is
	// written to a store whose own revisions have decreased, so that Revision
	// still increases.
	Base int64 `json:",omitempty"`
	// Serial counts the accepted edits. A document with a higher revision but
	// without a higher serial is not derived from the document in force.
	Serial      int64 `json:",omitempty"`
	Changes     []Change
	Preset      string // name of the active preset
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
// that a writer that lost the response can find out whether its edit took
// effect.
type Change struct {
	ID       string
	Operator string
	Summary  string
	At       time.Time
	// Parent is the revision that the edit is based on.
	Parent int64 `json:",omitempty"`
	// Fields lists the paths of the fields that the edit changed.
	Fields []string `json:",omitempty"`
}

// Preset is a named set of policies. Exactly one preset is active at any time.
type Preset struct {
	Name string
	// QualityTarget is the share of the most expensive model's pass rate that
	// answers must reach, 0 to 1.
	QualityTarget float64
	// Judge allows a judge to check a cheap model's answer before the answer is
	// delivered.
	Judge bool
	// DelayPrice is the cost of one second of delay, in price units.
	DelayPrice float64
	// ShedAt is the utilisation above which new sessions are refused, 0 to 1.
	ShedAt float64
	// RampSeconds is the minimum time in which the load of a cold server is
	// raised to its full load.
	RampSeconds float64
	// RolloutPace is the speed of rollouts: the minimum duration of a stage is
	// divided by it. At 0 rollouts stay in their current stage.
	RolloutPace float64
	// ExploreShare is the maximum share of requests used for exploration, 0 to 1.
	ExploreShare float64
}

// VersionState says whether a version may receive new requests.
type VersionState string

// The states of a version.
const (
	VersionRegistered VersionState = "Registered" // known, receives no traffic
	VersionActive     VersionState = "Active"     // may receive new requests
	VersionWithdrawn  VersionState = "Withdrawn"  // receives no new requests
)

// Model is a language model with its versions, oldest first.
type Model struct {
	Name string
	// Service is the backend service whose servers run the model.
	Service string
	// Price is the cost of 1,000 generated tokens, in price units.
	Price    float64
	Versions []Version
	// Default is the version that serves requests outside a rollout.
	Default string
}

// Version is a version of a model and its state.
type Version struct {
	Name  string
	State VersionState
	// WithdrawnAt is the time of the withdrawal, zero if the version is not
	// withdrawn.
	WithdrawnAt time.Time
	Reason      string
}

// Cascade is a name that callers may use in place of a model's. The router
// selects one of its models, which are listed cheapest first.
type Cascade struct {
	Name   string
	Models []string
}

// RolloutState is the state of a rollout.
type RolloutState string

// The states of a rollout.
const (
	RolloutPreparing RolloutState = "Preparing" // servers load the new version, which receives no traffic
	RolloutRunning   RolloutState = "Running"   // the new version receives the stage's share of new sessions
	RolloutHalted    RolloutState = "Halted"    // the new version receives no new sessions but keeps those in progress
	RolloutComplete  RolloutState = "Complete"  // the new version receives all new sessions
	RolloutWithdrawn RolloutState = "Withdrawn" // the rollout has ended and the new version is withdrawn
)

// Rollout moves a model's traffic from one version to another in stages.
type Rollout struct {
	ID    string
	Model string
	From  string
	To    string
	// Stages lists the shares of traffic that To receives, ascending, each in
	// (0, 1]. Stage is the index of the current one.
	Stages []float64
	Stage  int
	State  RolloutState
	// Fence is the fencing token of the driver that wrote this record.
	Fence     int64
	StartedAt time.Time
	StageAt   time.Time
	// History lists the stage changes, oldest first; session pins are
	// recomputed from it.
	History []StageChange
	Reason  string
}

// StageChange records the share of new sessions that the new version receives
// from a time on.
type StageChange struct {
	At    time.Time
	Share float64
}

// Share returns the share of new sessions that the new version receives.
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

// OnWithdrawal says how a session continues when its version is withdrawn.
type OnWithdrawal string

// The rules for sessions of a withdrawn version.
const (
	WithdrawalRefuse OnWithdrawal = "Refuse" // its requests are refused
	WithdrawalMove   OnWithdrawal = "Move"   // it moves to another version
)

// Customer is a customer with its API keys and the models and services that it
// may use.
type Customer struct {
	Name string
	// KeyHashes are hex SHA-256 digests of the customer's API keys.
	KeyHashes []string
	Allowed   []ModelAccess
	Services  []string
	// Weight is the customer's share of the capacity under overload, relative
	// to the weights of other customers.
	Weight float64
	// Priority is the customer's base priority; higher priorities are served
	// first.
	Priority     int
	OnWithdrawal OnWithdrawal
}

// ModelAccess permits the use of a model: of the listed versions, or of all
// versions if none is listed.
type ModelAccess struct {
	Model    string
	Versions []string
}

// DataCentre is a data centre. Out is set while it is out of service by an
// operator's command.
type DataCentre struct {
	Name   string
	Region string
	Out    bool
}

// ServiceKind distinguishes services that run models from plain HTTP services.
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
	// Concurrency is the concurrency limit of one warm server.
	Concurrency int
	// ColdConcurrency is the concurrency limit of one server during its cold
	// start.
	ColdConcurrency int
	// NonIdempotent lists the calls of a plain service that must not be
	// retried.
	NonIdempotent []CallPattern
	// FencingChecked is set if the service's engines refuse orders with old
	// fencing tokens.
	FencingChecked bool
}

// CallPattern matches calls by method and path prefix. An empty method matches
// all methods.
type CallPattern struct {
	Method string
	Prefix string
}

// SessionKey is a key for sealing session tokens. New tokens are sealed with the
// document's first key; tokens sealed with any of its keys can be opened.
type SessionKey struct {
	ID string
	// Secret is the 32-byte key, base64 in JSON.
	Secret []byte
}

// Parse decodes and validates a stored value. It returns a *FormatError if the
// value is malformed, has a newer format or has unknown fields, and a
// *FieldError if a field is invalid.
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

// Encode returns the document as it is stored.
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
