// Package explanation keeps the decision records of recent requests in memory,
// so that an operator can ask which models and backend servers a request was
// sent to and why.
package explanation

import (
	"sync"
	"time"
)

// Record holds the decisions that one instance took for one request.
type Record struct {
	RequestID string
	// Trace is the caller's own request ID, or empty.
	Trace     string
	Instance  string
	Customer  string
	Model     string
	Class     string
	Session   string
	Revision  int64
	Preset    string
	ArrivedAt time.Time
	Plan      string
	Steps     []Step
	Reason    string
	RunState  string
	Cost      float64
	Elapsed   time.Duration
}

// Step describes one attempt, or a placement that found no backend server.
type Step struct {
	At        time.Time
	Model     string
	Version   string
	Server    string
	AttemptID string
	// RuledOut counts the backend servers that were ruled out, by reason.
	RuledOut map[string]int `json:",omitempty"`
	Outcome  string
	Judged   string `json:",omitempty"`
}

// Ring is a ring buffer of the latest records. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	records []*Record
	next    int
	byID    map[string]*Record
}

// New returns a Ring that holds up to size records.
func New(size int) *Ring {
	return &Ring{records: make([]*Record, size), byID: make(map[string]*Record, size)}
}

// Add stores the record and evicts the oldest one if the ring is full. The
// caller must not change the record afterwards.
func (r *Ring) Add(rec *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.records[r.next]; old != nil {
		r.forget(old)
	}
	r.records[r.next] = rec
	r.next = (r.next + 1) % len(r.records)
	r.byID[rec.RequestID] = rec
	if rec.Trace != "" {
		r.byID[rec.Trace] = rec
	}
}

func (r *Ring) forget(old *Record) {
	for _, id := range []string{old.RequestID, old.Trace} {
		if r.byID[id] == old {
			delete(r.byID, id)
		}
	}
}

// Find returns the record with the given request ID or caller's request ID, or
// nil if there is none.
func (r *Ring) Find(id string) *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}
