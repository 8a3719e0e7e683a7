// Package call defines what a request is on its way through an instance: its
// identity, how far it has run, and the refusal a caller gets.
package call

import (
	"fmt"
	"sync/atomic"
	"time"
)

// RunState says whether a request may have had an effect on a backend server.
// It only moves forward.
type RunState int32

// The run states, in order.
const (
	// NotRun means that no byte can have reached a backend server.
	NotRun RunState = iota
	// MayHaveRun means that a byte may have reached a backend server.
	MayHaveRun
	// Ran means that a backend server answered.
	Ran
)

// String returns the name that callers see.
func (s RunState) String() string {
	switch s {
	case NotRun:
		return "NotRun"
	case MayHaveRun:
		return "MayHaveRun"
	case Ran:
		return "Ran"
	}
	return fmt.Sprintf("RunState(%d)", int32(s))
}

// Progress tracks how far something can have run. It is safe for concurrent use.
type Progress struct {
	state atomic.Int32
}

// Advance moves the state forward to s; a lower s changes nothing.
func (p *Progress) Advance(s RunState) {
	for {
		now := p.state.Load()
		if int32(s) <= now || p.state.CompareAndSwap(now, int32(s)) {
			return
		}
	}
}

// State returns the present state.
func (p *Progress) State() RunState { return RunState(p.state.Load()) }

// Request is one request of a caller. It is immutable.
type Request struct {
	// ID is unique: the customer and its idempotency key, else a UUIDv7.
	ID string
	// HasIdempotencyKey says that the ID comes from the caller's idempotency key.
	HasIdempotencyKey bool
	// CallerRequestID is the caller's own request ID, for explanations only.
	CallerRequestID string
	Customer        string
	Model           string
	Class           string
	Session         string
	Priority        int
	Stream          bool
	Idempotent      bool
	Body            []byte
	BodyHash        uint64
	MaxTokens       int
	ArrivedAt       time.Time
	Deadline        time.Time
}

// Reason names why a request was refused; expvar counts each.
type Reason string

// The refusal reasons.
const (
	ReasonBadRequest              Reason = "BadRequest"
	ReasonUnauthorised            Reason = "Unauthorised"
	ReasonNotAllowed              Reason = "NotAllowed"
	ReasonUnknownModel            Reason = "UnknownModel"
	ReasonUnknownService          Reason = "UnknownService"
	ReasonUnknownPath             Reason = "UnknownPath"
	ReasonTooLarge                Reason = "TooLarge"
	ReasonVersionWithdrawn        Reason = "VersionWithdrawn"
	ReasonSessionVersionWithdrawn Reason = "SessionVersionWithdrawn"
	ReasonSessionInvalid          Reason = "SessionInvalid"
	ReasonOverloaded              Reason = "Overloaded"
	ReasonCustomerShare           Reason = "CustomerShare"
	ReasonNoServer                Reason = "NoServer"
	ReasonColdLimit               Reason = "ColdLimit"
	ReasonDeadline                Reason = "Deadline"
	ReasonNotReady                Reason = "NotReady"
	ReasonStopping                Reason = "Stopping"
	ReasonClaimUnavailable        Reason = "ClaimUnavailable"
	ReasonDuplicate               Reason = "Duplicate"
	ReasonBodyMismatch            Reason = "BodyMismatch"
	ReasonBackendFailed           Reason = "BackendFailed"
	ReasonBackendTimeout          Reason = "BackendTimeout"
	ReasonIncomplete              Reason = "Incomplete"
	ReasonCallerGone              Reason = "CallerGone"
	ReasonDataCentreOut           Reason = "DataCentreOut"
)

// Refusal is the typed error that ends a request without a whole answer.
type Refusal struct {
	Reason Reason
	State  RunState
	// Field names the input at fault, if one is.
	Field      string
	Detail     string
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	msg := fmt.Sprintf("refused: %s (%s)", r.Reason, r.State)
	if r.Field != "" {
		msg += " field " + r.Field
	}
	if r.Detail != "" {
		msg += ": " + r.Detail
	}
	return msg
}
