package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store as it is sent, or the end of one.
type item struct {
	Key           string
	Value         string
	Revision      int64
	Created       int64
	Lease         int64
	Tombstone     bool  `json:",omitempty"`
	StoreRevision int64 `json:",omitempty"`
}

// state is what a copy of the store holds.
type state struct {
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]time.Duration
}

// store is a stand-in of the platform's store. Besides the calls of the protocol it can go
// away for a while, and come back from a copy.
type store struct {
	mu        sync.Mutex
	now       state
	era       int
	nextLease int64
	renewed   map[int64]time.Time
	changed   chan struct{}
	// sources holds what the operator and the workers wrote last, which they write again
	// after the store has come back from a copy; nil stands for an entry that they ended.
	sources map[string]*string
	away    bool
	// cut is closed when the store goes away.
	cut chan struct{}
}

const (
	minLease = time.Second
	// historyLength is how many changes are kept; at the rate of these tests that is more
	// than the 20 s that the platform keeps at least.
	historyLength  = 5000
	maxTxnEntries  = 32
	maxPageEntries = 500
	maxWatchWait   = 30 * time.Second
)

func newStore() *store {
	s := &store{
		now:     state{revision: 100, items: map[string]item{}, leases: map[int64]time.Duration{}},
		renewed: map[int64]time.Time{}, changed: make(chan struct{}), cut: make(chan struct{}), sources: map[string]*string{}, era: 1, nextLease: 7000,
	}
	go s.expire()
	return s
}

// write writes an entry as the operator or a worker does. It reports whether the store was
// there to acknowledge it; the writer writes it again otherwise.
func (s *store) write(key string, value any) bool {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	text := base64.StdEncoding.EncodeToString(raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sources[key] = &text
	if s.away {
		return false
	}
	s.put(key, text, 0)
	return true
}

// end ends an entry as the operator or a worker does.
func (s *store) end(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sources[key] = nil
	if s.away {
		return false
	}
	s.remove(key)
	return true
}

func (s *store) put(key, value string, lease int64) {
	s.now.revision++
	created := s.now.items[key].Created
	if created == 0 {
		created = s.now.revision
	}
	s.record(item{Key: key, Value: value, Revision: s.now.revision, Created: created, Lease: lease})
}

func (s *store) remove(key string) {
	if _, ok := s.now.items[key]; ok {
		s.now.revision++
		s.record(item{Key: key, Revision: s.now.revision, Tombstone: true})
	}
}

func (s *store) record(it item) {
	if it.Tombstone {
		delete(s.now.items, it.Key)
	} else {
		s.now.items[it.Key] = it
	}
	s.now.history = append(s.now.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns a copy of the store.
func (s *store) copy() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.now
	c.items, c.history, c.leases = maps.Clone(c.items), slices.Clone(c.history), maps.Clone(c.leases)
	return c
}

// revision returns the store's revision.
func (s *store) revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now.revision
}

// leave makes the store answer 503 to all calls and cut its watches.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.cut)
	s.cut = make(chan struct{})
}

// comeBack ends leave. With a copy, the store is as the copy was, and at once the operator and
// the workers write again what they wrote since. The leases that the copy has run anew.
func (s *store) comeBack(from *state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if from == nil {
		for id := range s.renewed {
			s.renewed[id] = time.Now()
		}
		s.writeAgain()
		return
	}
	s.now, s.renewed, s.era = *from, map[int64]time.Time{}, s.era+1
	for id := range s.now.leases {
		s.renewed[id] = time.Now()
	}
	s.writeAgain()
}

func (s *store) writeAgain() {
	for _, key := range slices.Sorted(maps.Keys(s.sources)) {
		switch value := s.sources[key]; {
		case value == nil:
			s.remove(key)
		case s.now.items[key].Value != *value:
			s.put(key, *value, 0)
		}
	}
}

// expire ends the leases that are not renewed. They pause while the store is away.
func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, ttl := range s.now.leases {
			if !s.away && time.Since(s.renewed[id]) > ttl {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.now.leases, id)
	for key, it := range s.now.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	away := s.away
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path := r.URL.Path
	id := func(prefix string) (int64, bool) {
		text, ok := strings.CutPrefix(path, prefix)
		n, err := strconv.ParseInt(text, 10, 64)
		return n, ok && err == nil
	}
	switch {
	case path == "/-/kv-key":
		s.serveKey(w, r)
	case path == "/-/kv-range":
		s.serveRange(w, r)
	case path == "/-/kv-watch":
		s.serveWatch(w, r)
	case path == "/-/kv-txn":
		s.serveTxn(w, r)
	case path == "/-/kv-lease":
		s.serveLease(w, r)
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		if n, ok := id("/-/kv-keep/"); ok {
			ttl, alive := s.now.leases[n]
			if !alive {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			s.renewed[n] = time.Now()
			answer(w, map[string]any{"TtlMs": ttl.Milliseconds()})
		} else if n, ok := id("/-/kv-lease-end/"); ok {
			s.endLease(n)
			answer(w, map[string]any{})
		} else {
			w.WriteHeader(http.StatusNotFound)
		}
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.now.items[r.FormValue("Key")]
	it.StoreRevision = s.now.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, it)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("Prefix"), r.FormValue("After")
	s.mu.Lock()
	page := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.now.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, s.now.items[key])
		}
	}
	revision := s.now.revision
	s.mu.Unlock()
	truncated := len(page) > maxPageEntries
	if truncated {
		page = page[:maxPageEntries]
	}
	answer(w, map[string]any{"Items": page, "Truncated": truncated, "StoreRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("After"), 10, 64)
	wait, waitErr := strconv.Atoi(r.FormValue("WaitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(min(maxWatchWait, time.Duration(wait)*time.Millisecond))
	for ended := false; ; {
		s.mu.Lock()
		first := s.now.revision
		if len(s.now.history) > 0 {
			first = s.now.history[max(0, len(s.now.history)-historyLength)].Revision - 1
		}
		revision, changed, cut, events := s.now.revision, s.changed, s.cut, []item{}
		for _, it := range s.now.history {
			if it.Revision > after && strings.HasPrefix(it.Key, r.FormValue("Prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if after < first || after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || ended {
			answer(w, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
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
		it, ok := s.now.items[c.Key]
		met = met && it.Revision == c.Revision
		if ok {
			current = append(current, it)
		}
	}
	for _, write := range txn.Writes {
		if isForeign(write.Key) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, alive := s.now.leases[write.Lease]; write.Lease != 0 && !alive {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	if slices.ContainsFunc(txn.Remove, isForeign) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if !met {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"Items": current}) // the caller may be gone
		return
	}
	for _, write := range txn.Writes {
		s.put(write.Key, write.Value, write.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	answer(w, map[string]any{"Revision": s.now.revision})
}

// isForeign reports whether only the operator and the workers may write a key.
func isForeign(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct{ TtlMs int64 }
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TtlMs <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(minLease, time.Duration(in.TtlMs)*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.now.leases[s.nextLease], s.renewed[s.nextLease] = ttl, time.Now()
	answer(w, map[string]any{"Lease": s.nextLease, "TtlMs": ttl.Milliseconds()})
}
