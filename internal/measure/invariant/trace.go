// Package invariant judges what must always hold from a trace of what callers,
// backend servers, the platform and operators saw. It never reads the router's
// own counters.
package invariant

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// Kind names what an event is.
type Kind string

// The kinds of event.
const (
	// KindSent is a request leaving its caller; KindEnded is how it ended.
	KindSent  Kind = "Sent"
	KindEnded Kind = "Ended"
	// KindSeen is the list of models that a caller was shown by an instance.
	KindSeen Kind = "Seen"

	// KindStarted is work accepted by a backend server.
	KindStarted Kind = "Started"
	// KindColdExcess is work above what a cold backend server bears.
	KindColdExcess Kind = "ColdExcess"
	// KindListed is a change of the platform's instance list.
	KindListed Kind = "Listed"
	// KindBilled is a bill found in the store.
	KindBilled Kind = "Billed"

	// KindAllowed and KindDisallowed change what a customer may use; an empty
	// version stands for all.
	KindAllowed    Kind = "Allowed"
	KindDisallowed Kind = "Disallowed"
	// KindMoves says that the customer's sessions move on withdrawal.
	KindMoves Kind = "Moves"
	// KindWithdrawn is an accepted withdrawal of a version.
	KindWithdrawn Kind = "Withdrawn"
	// KindTakenOut and KindReturned are accepted moves of a data centre.
	KindTakenOut Kind = "TakenOut"
	KindReturned Kind = "Returned"
	// KindExpected is an accepted change of what the probing caller is shown.
	KindExpected Kind = "Expected"
	// KindStopping and KindStopped are the begin and end of a planned stop.
	KindStopping Kind = "Stopping"
	KindStopped  Kind = "Stopped"
)

// Event is one line of a trace.
type Event struct {
	At         time.Time
	Kind       Kind
	Instance   string `json:",omitempty"`
	Server     string `json:",omitempty"`
	DataCentre string `json:",omitempty"`
	Customer   string `json:",omitempty"`
	// Tag is the hash of what was asked; it matches callers with servers.
	Tag string `json:",omitempty"`
	// RequestID is the ID that the router gave the request.
	RequestID string `json:"RequestId,omitempty"`
	// Call is the kind of request, such as NonIdempotent.
	Call     string `json:",omitempty"`
	Model    string `json:",omitempty"`
	Version  string `json:",omitempty"`
	Session  string `json:",omitempty"`
	Turn     int    `json:",omitempty"`
	Result   string `json:",omitempty"`
	Reason   string `json:",omitempty"`
	RunState string `json:",omitempty"`
	Asked    int    `json:",omitempty"`
	Tokens   int    `json:",omitempty"`
	Own      bool   `json:",omitempty"`
	Cold     bool   `json:",omitempty"`
	Running  int    `json:",omitempty"`
	Limit    int    `json:",omitempty"`
	// Unannounced is when a warm server turned cold without warning.
	Unannounced time.Time `json:",omitzero"`
	State       string    `json:",omitempty"`
	Models      []string  `json:",omitempty"`
	Detail      string    `json:",omitempty"`
}

// Trace is a list of events in order of time.
type Trace []Event

// Sort puts the events in order of time.
func (t Trace) Sort() {
	slices.SortStableFunc(t, func(a, b Event) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
}

// of returns the events of a kind.
func (t Trace) of(kind Kind) Trace {
	var out Trace
	for _, e := range t {
		if e.Kind == kind {
			out = append(out, e)
		}
	}
	return out
}

// LineError reports a line of a trace that can't be read.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("trace line %d: %v", e.Line, e.Err) }

func (e *LineError) Unwrap() error { return e.Err }

// Read reads a trace from JSON lines and puts it in order.
func Read(r io.Reader) (Trace, error) {
	dec := json.NewDecoder(bufio.NewReader(r))
	dec.DisallowUnknownFields()
	var t Trace
	for line := 1; ; line++ {
		var e Event
		err := dec.Decode(&e)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, &LineError{line, err}
		}
		t = append(t, e)
	}
	t.Sort()
	return t, nil
}

// Write writes a trace as JSON lines.
func (t Trace) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	for _, e := range t {
		if err := enc.Encode(e); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}
