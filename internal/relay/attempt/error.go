package attempt

import (
	"errors"
	"expvar"
	"fmt"
	"syscall"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// Kind classifies why an attempt ended without a complete answer.
type Kind string

// The kinds of failure.
const (
	BadRequest       Kind = "BadRequest"
	NotStarted       Kind = "NotStarted" // BeforeWrite returned an error
	DialRefused      Kind = "DialRefused"
	DialTimeout      Kind = "DialTimeout"
	DialFailed       Kind = "DialFailed"
	WriteFailed      Kind = "WriteFailed"
	WriteTimeout     Kind = "WriteTimeout"
	FirstByteTimeout Kind = "FirstByteTimeout"
	ProgressTimeout  Kind = "ProgressTimeout"
	Reset            Kind = "Reset"
	Truncated        Kind = "Truncated"
	CrossedAnswer    Kind = "CrossedAnswer" // the answer has the ID of another attempt or request
	SequenceGap      Kind = "SequenceGap"
	SequenceRepeat   Kind = "SequenceRepeat"
	Malformed        Kind = "Malformed"
	AnswerTooLarge   Kind = "AnswerTooLarge"
	OutOfMemory      Kind = "OutOfMemory" // the answers in progress take all of their memory
	Refused503       Kind = "Refused503"  // the server states that it did not run the request
	Status           Kind = "Status"      // any other error status
	// UnprovenRefusal means that the status of an answer tells callers that the request
	// has not run, though the server does not state this.
	UnprovenRefusal Kind = "UnprovenRefusal"
	CallerGone      Kind = "CallerGone" // the sink returned an error
	// CallerSlow means that the server cut off an answer that had long remained unread, as
	// the sink was slow.
	CallerSlow Kind = "CallerSlow"
	Cancelled  Kind = "Cancelled"
	Deadline   Kind = "Deadline"
	// Misdirected means that the address now belongs to another server.
	Misdirected Kind = "Misdirected"
	// Unsigned means that an answer lacks the server's signature or has a
	// content encoding that was not requested.
	Unsigned Kind = "Unsigned"
	// Unwanted means that the sink declined the answer when it got the head.
	Unwanted Kind = "Unwanted"
)

// Error reports an attempt that returned no complete answer.
type Error struct {
	Kind   Kind
	Server string
	// State is the run state of this attempt. NotRun is certain: no byte was
	// handed to the network, or the server reported that it ran nothing.
	State call.RunState
	// LastDelivered is the number of the last token or event passed to the
	// sink.
	LastDelivered int
	// Status is the HTTP status of an error response, or 0. Body is its body if
	// Kind is Refused503 or Misdirected, and for chat attempts also if it is
	// Status. RetryAfter is the delay in the Retry-After header, set for chat
	// attempts only.
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

// RetryableElsewhere reports whether the same request may succeed at another
// server. Whether it is safe to send it again depends on State, and the caller
// decides.
func (e *Error) RetryableElsewhere() bool {
	switch e.Kind {
	case BadRequest, AnswerTooLarge, OutOfMemory, CallerGone, Cancelled, Deadline, Unwanted:
		return false
	case Status:
		return e.Status >= 500
	}
	return true
}

// LostAnswer reports whether the connection ended while the server may have been
// working on the request.
func (e *Error) LostAnswer() bool {
	return e.State != call.NotRun && (e.Kind == Reset || e.Kind == Truncated || e.Kind == WriteFailed)
}

// failures counts the attempts that ended without a complete answer, by kind.
var failures = expvar.NewMap("AttemptFailures")

// connections counts connection events. Idle connections that were closed are
// counted as Aged (too old or idle for too long), Unusable (closed by the server,
// or with unread bytes) or Retired (evicted because another connection stalled).
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
