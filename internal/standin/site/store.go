// Package site is a small stand-in of the users' platform: its store, backend
// servers and an operator. It speaks the published protocol as far as the
// project's tests and its own demonstration need it.
package site

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault says how the store treats its callers.
type Fault int

// The faults of the store.
const (
	// Sound serves all calls.
	Sound Fault = iota
	// Busy answers 503; nothing is done.
	Busy
	// Silent never answers; nothing is done.
	Silent
	// Lost does what it is asked and never answers.
	Lost
)

type item struct {
	Key           string
	Value         string
	Revision      int64
	Created       int64
	Lease         int64
	Tombstone     bool  `json:",omitempty"`
	StoreRevision int64 `json:",omitempty"`
}

// Store is the platform's store in memory.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	// lostBefore is the revision before which the history is gone.
	lostBefore int64
	leases     map[int64]*lease
	nextLease  int64
	changed    chan struct{}
	fault      Fault
	calls      map[string]int
	// era is one more than the number of times that the store has come back from a copy.
	// statedEra replaces it in the answers, if set.
	era       int
	statedEra *string
	// sources holds the last value of each entry that the operator or a backend server has
	// written, nil for one that it has ended.
	sources map[string]*string
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), calls: map[string]int{},
		era: 1, sources: map[string]*string{},
	}
}

// Set writes an entry as the operator or a backend server does.
func (s *Store) Set(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.SetRaw(key, raw)
}

// SetRaw writes any bytes.
func (s *Store) SetRaw(key string, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := base64.StdEncoding.EncodeToString(raw)
	s.sources[key] = &value
	s.put(key, value, 0)
}

// Remove ends an entry.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sources[key] = nil
	s.remove(key)
}

// Get returns an entry's value, or nil.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, err := base64.StdEncoding.DecodeString(s.items[key].Value)
	if err != nil || s.items[key].Key == "" {
		return nil
	}
	return raw
}

// SetFault changes how callers are treated.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Forget drops the history and cuts the watches.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.lostBefore = nil, s.revision
	s.wake()
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key, value string, lease int64) {
	s.revision++
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
	s.wake()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.calls[r.URL.Path]++
	if era := s.eraHeader(); era != "" {
		w.Header().Set("Store-Era", era)
	}
	s.mu.Unlock()
	s.serveWith(fault, w, r)
}

// serveWith serves a call with a fault.
func (s *Store) serveWith(fault Fault, w http.ResponseWriter, r *http.Request) {
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Silent:
		<-r.Context().Done()
	case Lost:
		s.serve(discard{http.Header{}}, r)
		<-r.Context().Done()
	case Sound:
		s.serve(w, r)
	}
}

// discard takes an answer that is lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header       { return d.header }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == "/-/kv-key":
		s.key(w, r)
	case path == "/-/kv-range":
		s.list(w, r)
	case path == "/-/kv-watch":
		s.watch(w, r)
	case path == "/-/kv-txn":
		s.txn(w, r)
	case path == "/-/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		s.keep(w, leaseOf(path, "/-/kv-keep/"))
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		s.mu.Lock()
		s.end(leaseOf(path, "/-/kv-lease-end/"))
		s.mu.Unlock()
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func leaseOf(path, prefix string) int64 {
	n, err := strconv.ParseInt(strings.TrimPrefix(path, prefix), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

func reply(w http.ResponseWriter, v any) { replyWith(w, http.StatusOK, v) }

func replyWith(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return // the caller is gone
	}
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.FormValue("Key")]
	it.StoreRevision = s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, it)
}

// pageItems is small, so that readers meet more than one page.
const pageItems = 5

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.FormValue("Prefix"), r.FormValue("After")
	var page []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, it)
		}
	}
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	truncated := len(page) > pageItems
	if truncated {
		page = page[:pageItems]
	}
	reply(w, map[string]any{"Items": page, "Truncated": truncated, "StoreRevision": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("After"), 10, 64)
	wait, waitErr := strconv.Atoi(r.FormValue("WaitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.lostBefore || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var events []item
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, r.FormValue("Prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, map[string]any{"events": events, "StoreRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// maxTxnEntries is the number of conditions, writes and removals that a transaction may
// have together.
const maxTxnEntries = 32

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		ExpectedRev []struct {
			Key      string
			Revision int64
		}
		Writes []struct {
			Key   string
			Value string
			Lease int64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil || len(txn.ExpectedRev)+len(txn.Writes)+len(txn.Remove) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met, current := true, []item{}
	for _, c := range txn.ExpectedRev {
		it, ok := s.items[c.Key]
		met = met && it.Revision == c.Revision
		if ok {
			current = append(current, it)
		}
	}
	if !met {
		replyWith(w, http.StatusPreconditionFailed, map[string]any{"Items": current})
		return
	}
	for _, p := range txn.Writes {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range txn.Writes {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	reply(w, map[string]any{"Revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct{ TtlMs int64 } //nolint:revive // the name on the wire
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TtlMs <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id, ttl := s.nextLease, time.Duration(in.TtlMs)*time.Millisecond
	s.open(id, ttl)
	reply(w, map[string]any{"Lease": id, "TtlMs": in.TtlMs})
}

// open opens a lease.
func (s *Store) open(id int64, ttl time.Duration) {
	l := &lease{ttl: ttl}
	l.timer = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == l {
			s.end(id)
		}
	})
	s.leases[id] = l
}

func (s *Store) keep(w http.ResponseWriter, id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, map[string]any{"TtlMs": l.ttl.Milliseconds()})
}

func (s *Store) end(id int64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}
