package attempt

import (
	"errors"
	"expvar"
	"fmt"
	"syscall"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// Kind says how an attempt ended without a whole answer.
type Kind string

// The kinds of failure.
const (
	BadRequest       Kind = "BadRequest"
	NotStarted       Kind = "NotStarted"
	DialRefused      Kind = "DialRefused"
	DialTimeout      Kind = "DialTimeout"
	DialFailed       Kind = "DialFailed"
	WriteFailed      Kind = "WriteFailed"
	WriteTimeout     Kind = "WriteTimeout"
	FirstByteTimeout Kind = "FirstByteTimeout"
	ProgressTimeout  Kind = "ProgressTimeout"
	Reset            Kind = "Reset"
	Truncated        Kind = "Truncated"
	CrossedAnswer    Kind = "CrossedAnswer"
	SequenceGap      Kind = "SequenceGap"
	SequenceRepeat   Kind = "SequenceRepeat"
	Malformed        Kind = "Malformed"
	AnswerTooLarge   Kind = "AnswerTooLarge"
	Refused503       Kind = "Refused503"
	Status           Kind = "Status"
	CallerGone       Kind = "CallerGone"
	Cancelled        Kind = "Cancelled"
	Deadline         Kind = "Deadline"
	// Misdirected means that another server has the address now.
	Misdirected Kind = "Misdirected"
	// Unsigned means that an answer lacks the server's signature or is not in
	// the form that was asked for.
	Unsigned Kind = "Unsigned"
	// Unwanted means that the receiver declined the answer at its head.
	Unwanted Kind = "Unwanted"
)

// Error reports an attempt that did not bring back a whole answer.
type Error struct {
	Kind   Kind
	Server string
	// State is how far this attempt can have run. NotRun is exact: no byte
	// was handed to the network, or the engine itself said that nothing ran.
	State call.RunState
	// LastDelivered is the number of the last token given to the sink.
	LastDelivered int
	// Status, Body and RetryAfter are set for Status and Refused503.
	Status     int
	Body       []byte
	RetryAfter time.Duration
	Err        error
}

func (e *Error) Error() string {
	msg := fmt.Sprintf("attempt at %s: %s (%s, %d tokens delivered)", e.Server, e.Kind, e.State, e.LastDelivered)
	if e.Status != 0 {
		msg += fmt.Sprintf(": status %d", e.Status)
	}
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg
}

func (e *Error) Unwrap() error { return e.Err }

// RetryableElsewhere reports whether the same request may fare better at another
// server. Whether it may be sent again at all is the caller's decision.
func (e *Error) RetryableElsewhere() bool {
	switch e.Kind {
	case BadRequest, AnswerTooLarge, CallerGone, Cancelled, Deadline, Unwanted:
		return false
	case Status:
		return e.Status >= 500
	}
	return true
}

// failures counts the attempts that ended without a whole answer, by kind.
var failures = expvar.NewMap("AttemptFailures")

// connections counts what happened to connections, by event.
var connections = expvar.NewMap("AttemptConnections")

func classifyDial(err error) Kind {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return DialRefused
	case errors.As(err, &timeout) && timeout.Timeout():
		return DialTimeout
	}
	return DialFailed
}
