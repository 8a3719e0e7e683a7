// Package observation holds what the stand-ins saw: a bounded log of typed
// events. Checks of what must always hold are judged from these events and
// never from the router's own counters.
package observation

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind names what was observed.
type Kind string

// The kinds of observation.
const (
	// KindStarted is work accepted by a backend server.
	KindStarted Kind = "Started"
	// KindFinished is work that ran to its end.
	KindFinished Kind = "Finished"
	// KindCancelled is work given up because its connection closed.
	KindCancelled Kind = "Cancelled"
	// KindBroken is work that the server itself broke off.
	KindBroken Kind = "Broken"
	// KindRefused is work turned away before any of it ran.
	KindRefused Kind = "Refused"
	// KindColdExcess is a request above what the server bears in cold start.
	KindColdExcess Kind = "ColdExcess"
	// KindTurnedCold is a start, or a warm server that lost its warmth.
	KindTurnedCold Kind = "TurnedCold"
	// KindListed is a change of the instance list, at the time it was made.
	KindListed Kind = "Listed"
	// KindWritten is a key written to the store.
	KindWritten Kind = "Written"
	// KindOrdered is an order that an engine took or refused.
	KindOrdered Kind = "Ordered"
)

// Tag returns the hash of a request's last message or body.
func Tag(text string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(text)))
}

// Event is one observation.
type Event struct {
	Sequence   uint64
	At         time.Time
	Kind       Kind
	Server     string `json:",omitempty"`
	Service    string `json:",omitempty"`
	DataCentre string `json:",omitempty"`
	AttemptID  string `json:",omitempty"`
	RequestID  string `json:",omitempty"`
	Customer   string `json:",omitempty"`
	Model      string `json:",omitempty"`
	Version    string `json:",omitempty"`
	// Tag is the hash of what the caller asked, by which a request is known
	// whatever IDs the router gives it.
	Tag        string `json:",omitempty"`
	Method     string `json:",omitempty"`
	Path       string `json:",omitempty"`
	Tokens     int    `json:",omitempty"`
	Running    int    `json:",omitempty"`
	Limit      int    `json:",omitempty"`
	Cold       bool   `json:",omitempty"`
	Generation uint64 `json:",omitempty"`
	// Unannounced is the time at which a warm server turned cold without
	// warning, zero for a cold start that was announced.
	Unannounced time.Time `json:",omitzero"`
	Key         string    `json:",omitempty"`
	Revision    int64     `json:",omitempty"`
	Detail      string    `json:",omitempty"`
}

// DefaultCapacity is the number of events that a log keeps unless told
// otherwise.
const DefaultCapacity = 1 << 17

// Log keeps the latest events. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	capacity int
	events   []Event
	next     uint64
}

// New returns a log that keeps the latest capacity events.
func New(capacity int) *Log {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Log{capacity: capacity, next: 1}
}

// Add appends an event and numbers it. A nil log drops it.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Sequence = l.next
	l.next++
	l.events = append(l.events, e)
	if len(l.events) >= 2*l.capacity {
		l.events = append([]Event(nil), l.events[len(l.events)-l.capacity:]...)
	}
}

// After returns the kept events numbered above sequence, oldest first, and
// whether some of those asked for are no longer kept.
func (l *Log) After(sequence uint64) (events []Event, gap bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.next - uint64(len(l.events))
	skip := uint64(0)
	if sequence+1 > oldest {
		skip = min(sequence+1-oldest, uint64(len(l.events)))
	}
	return append([]Event(nil), l.events[skip:]...), sequence+1 < oldest
}

// page is the answer to GET /observations.
type page struct {
	Events []Event
	Gap    bool
}

// ServeHTTP answers GET /observations?after=N.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	events, gap := l.After(after)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page{events, gap})
}
