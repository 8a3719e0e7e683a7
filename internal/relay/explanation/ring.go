// Package explanation keeps the decision records of recent requests, so that
// an operator can ask why a request went where it went.
package explanation

import (
	"sync"
	"time"
)

// Record is what was decided for one request at one instance.
type Record struct {
	RequestID string
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

// Step is one attempt, or one choice that led to none.
type Step struct {
	At        time.Time
	Model     string
	Version   string
	Server    string
	AttemptID string
	// RuledOut counts the backend servers not chosen, by reason.
	RuledOut map[string]int `json:",omitempty"`
	Outcome  string
	Judged   string `json:",omitempty"`
}

// Ring holds the latest records. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	records []*Record
	next    int
	byID    map[string]*Record
}

// New returns a Ring for size records.
func New(size int) *Ring {
	return &Ring{records: make([]*Record, size), byID: make(map[string]*Record, size)}
}

// Add keeps the record and drops the oldest. The record must not be changed
// afterwards.
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

// Find returns the record under a request ID or a caller's trace ID, or nil.
func (r *Ring) Find(id string) *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}
