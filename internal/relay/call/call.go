// Package call defines the types that describe a caller's request while an
// instance handles it: the request itself, its run state, and the refusal that
// is returned when there is no complete answer.
package call

import (
	"fmt"
	"sync/atomic"
	"time"
)

// RunState says whether a request may have had an effect on a backend server. In
// a Progress it only moves forward.
type RunState int32

// The run states, in order.
const (
	// NotRun means that no backend server ran the request: none can have received
	// a byte of it, or the server reported that it did not run it.
	NotRun RunState = iota
	// MayHaveRun means that a byte may have reached a backend server.
	MayHaveRun
	// Ran means that a backend server answered.
	Ran
)

// String returns the name that is sent to callers.
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

// Progress holds the furthest run state that a request or an attempt has
// reached. It is safe for concurrent use.
type Progress struct {
	state atomic.Int32
}

// Advance moves the state forward to s. It does nothing if the state is already
// s or later.
func (p *Progress) Advance(s RunState) {
	for {
		current := p.state.Load()
		if int32(s) <= current || p.state.CompareAndSwap(current, int32(s)) {
			return
		}
	}
}

// State returns the current state.
func (p *Progress) State() RunState { return RunState(p.state.Load()) }

// Request is a decoded request of a caller. It must not be modified once built.
type Request struct {
	// ID is unique. It is made of the customer and the idempotency key if the
	// caller sent one, and is a UUIDv7 otherwise.
	ID string
	// HasIdempotencyKey reports whether the ID is derived from the caller's
	// idempotency key.
	HasIdempotencyKey bool
	// CallerRequestID is the request ID that the caller sent, if any. It is
	// returned in the response's X-Request-Id header and recorded in
	// explanation.Record, and does not identify the request.
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

// Reason identifies why a request was refused. Refusals are counted in expvar by
// reason.
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
	ReasonNoMemory                Reason = "NoMemory"
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
	ReasonPromptQuarantined       Reason = "PromptQuarantined"
)

// Refusal is the error returned for a request that gets no complete answer.
type Refusal struct {
	Reason Reason
	State  RunState
	// Field names the invalid header or body field; empty if none is to blame.
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
