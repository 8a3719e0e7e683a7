package store

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/kingcupyard/kingcupyard/internal/standin/host"
	"github.com/kingcupyard/kingcupyard/internal/standin/observation"
)

// leaseCheckInterval is how often lapsed leases are looked for.
const leaseCheckInterval = 50 * time.Millisecond

// Counts are the calls that reached the store, by kind.
type Counts struct {
	Range       int64
	Txn         int64
	Put         int64
	DeleteRange int64
	LeaseGrant  int64
	KeepAlive   int64
	Revoke      int64
	Watch       int64
	// Watching is the number of watches open now.
	Watching int64
	// Limited is the number of calls refused for their rate.
	Limited int64
	// BytesWritten is the length of all values written.
	BytesWritten int64
}

// Store is the key-value service.
type Store struct {
	settings Settings
	clock    clockwork.Clock
	log      *observation.Log
	host     *host.Host
	faults   host.Faults[Faults]
	onWrite  func(Entry, time.Time)

	mu      sync.Mutex
	data    *data
	backup  *data
	counts  Counts
	writes  *rate.Limiter
	reads   *rate.Limiter
	changed chan struct{}
}

// Option changes how a store is built.
type Option func(*Store)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(s *Store) { s.clock = clock } }

// WithLog sets the log that observations go to.
func WithLog(log *observation.Log) Option { return func(s *Store) { s.log = log } }

// WithWriteHook calls hook with each value as it is committed, in order. The
// hook must not call the store.
func WithWriteHook(hook func(Entry, time.Time)) Option {
	return func(s *Store) { s.onWrite = hook }
}

// New returns an empty store that is not listening yet.
func New(settings Settings, opts ...Option) *Store {
	s := &Store{
		settings: settings.withDefaults(), clock: clockwork.NewRealClock(), log: observation.New(0),
		host: host.New(), data: newData(), changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.faults.OnChange = s.applyFaults
	s.writes = limiter(s.settings.WritesPerSecond)
	s.reads = limiter(s.settings.ReadsPerSecond)
	s.handle("/v3/kv/range", s.reads, s.serveRange)
	s.handle("/v3/kv/put", s.writes, s.servePut)
	s.handle("/v3/kv/deleterange", s.writes, s.serveDelete)
	s.handle("/v3/kv/txn", s.writes, s.serveTxn)
	s.handle("/v3/lease/grant", s.writes, s.serveGrant)
	s.handle("/v3/lease/keepalive", s.writes, s.serveKeepAlive)
	s.handle("/v3/lease/revoke", s.writes, s.serveRevoke)
	s.handle("/v3/watch", s.reads, s.serveWatch)
	s.host.Control("/faults", &s.faults)
	s.host.Control("GET /observations", s.log)
	s.host.Control("GET /calls", http.HandlerFunc(s.serveCalls))
	return s
}

func limiter(perSecond int) *rate.Limiter { return rate.NewLimiter(rate.Limit(perSecond), perSecond) }

// Start listens on address and returns the address bound.
func (s *Store) Start(address string) (string, error) {
	bound, err := s.host.Start(address)
	if err == nil {
		go s.expireLeases()
	}
	return bound, err
}

// Close stops the store.
func (s *Store) Close() { s.host.Close() }

// Observations returns the log of what was written.
func (s *Store) Observations() *observation.Log { return s.log }

// Faults returns the faults in force.
func (s *Store) Faults() Faults { return s.faults.Get() }

// SetFaults changes the faults in force.
func (s *Store) SetFaults(change func(*Faults)) { s.faults.Update(change) }

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Entry is one key as in-process readers see it.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
}

// Put writes a key, past limits, counts and faults.
func (s *Store) Put(key string, value []byte) (revision int64, err error) {
	s.change(func(d *data) {
		_, err = d.apply([]operation{{Put: &putRequest{Key: []byte(key), Value: value}}}, s.settings.ValueLimit)
		revision = int64(d.revision)
	})
	return revision, err
}

// Entries returns the keys from start up to end, in order, past limits, counts
// and faults; an empty end reads one key.
func (s *Store) Entries(start, end string) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Entry
	for _, kv := range s.data.find([]byte(start), []byte(end)) {
		out = append(out, Entry{string(kv.Key), slices.Clone(kv.Value), int64(kv.ModRevision)})
	}
	return out
}

func (s *Store) applyFaults(f *Faults) {
	s.host.SetHang(f.Hang)
	if f.Silence {
		s.host.Silence()
		f.Silence = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.WritesPerSecond > 0 {
		s.writes.SetLimit(rate.Limit(f.WritesPerSecond))
		s.writes.SetBurst(f.WritesPerSecond)
	}
	if f.ReadsPerSecond > 0 {
		s.reads.SetLimit(rate.Limit(f.ReadsPerSecond))
		s.reads.SetBurst(f.ReadsPerSecond)
	}
	if f.Backup {
		s.backup, f.Backup = s.data.copy(), false
	}
	if f.Restore && s.backup != nil {
		s.data = s.backup.copy()
	}
	f.Restore = false
	s.wake()
}

// wake lets the watches look for changes. The lock must be held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// change edits the data, logs what was written and wakes the watches.
func (s *Store) change(edit func(*data)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.data.expire(now)
	before := s.data.revision
	edit(s.data)
	if s.data.revision == before {
		return
	}
	for _, ev := range s.data.written(before, now) {
		s.log.Add(ev)
	}
	if s.onWrite != nil {
		for _, c := range s.data.since(before+1, []byte{0}, []byte{0}) {
			if c.Type == "" {
				s.onWrite(Entry{string(c.KV.Key), c.KV.Value, int64(c.KV.ModRevision)}, now)
			}
		}
	}
	s.data.trim(s.settings.HistoryLimit)
	s.wake()
}

func (s *Store) expireLeases() {
	ticker := s.clock.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.host.Done():
			return
		case <-ticker.Chan():
			s.change(func(*data) {})
		}
	}
}

// handle registers a call behind delay, outage and rate limit.
func (s *Store) handle(path string, limit *rate.Limiter, call http.HandlerFunc) {
	s.host.Handle("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.Get()
		if f.DelayMilliseconds > 0 {
			select {
			case <-s.clock.After(time.Duration(f.DelayMilliseconds) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		if f.Down {
			fail(w, http.StatusServiceUnavailable, 14, "etcdserver: no leader")
			return
		}
		if !limit.AllowN(s.clock.Now(), 1) {
			s.count(func(c *Counts) { c.Limited++ })
			fail(w, http.StatusTooManyRequests, 8, "etcdserver: too many requests")
			return
		}
		call(w, r)
	})
}

func (s *Store) count(add func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counts)
}

func (s *Store) serveCalls(w http.ResponseWriter, _ *http.Request) {
	host.JSON(w, http.StatusOK, s.Counts())
}

func (s *Store) header() *header {
	return &header{ClusterID: 1, MemberID: 1, Revision: s.data.revision, RaftTerm: 1}
}

// answer sends the answer to a write, unless it is to be lost.
func (s *Store) answer(w http.ResponseWriter, value any) {
	lost := false
	s.faults.Update(func(f *Faults) {
		if lost = f.LoseAnswers > 0; lost {
			f.LoseAnswers--
		}
	})
	if lost {
		panic(http.ErrAbortHandler)
	}
	host.JSON(w, http.StatusOK, value)
}

func fail(w http.ResponseWriter, status, code int, message string) {
	host.JSON(w, status, problem{message, code, message})
}

// decode reads a call's body; it answers 400 and reports false if it cannot.
func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := host.Decode(r, value); err != nil {
		fail(w, http.StatusBadRequest, 3, err.Error())
		return false
	}
	return true
}

// stream is the gateway's envelope around each message of a stream.
type stream[T any] struct {
	Result T `json:"result"`
}

func writeStream[T any](w http.ResponseWriter, value T) error {
	if err := json.NewEncoder(w).Encode(stream[T]{value}); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
