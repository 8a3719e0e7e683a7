// Package roster is a stand-in for the platform's instance list, which names
// live and leaving instances with a lag.
package roster

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/standin/host"
	"github.com/kingcupyard/kingcupyard/internal/standin/observation"
)

// The states of an instance.
const (
	StateLive    = "Live"
	StateLeaving = "Leaving"
)

// Instance is one entry of the list.
type Instance struct {
	Name        string
	Address     string
	PeerAddress string `json:",omitempty"`
	Service     string
	DataCentre  string
	Region      string
	State       string
	Generation  uint64
}

// List is the answer to GET /instances.
type List struct {
	Sequence  uint64
	At        time.Time
	Instances []Instance
}

// Settings describe the instance list.
type Settings struct {
	// Lag is how late a change shows.
	Lag time.Duration
}

// Faults are the faults of the instance list. Silence is a single event.
type Faults struct {
	// Down answers 503.
	Down bool
	// Hang accepts requests and never answers.
	Hang bool
	// Silence makes the connections that are open now silent for good.
	Silence bool
	// Stale keeps answering with the list as it was when this was set.
	Stale bool
	// Empty answers with a list that names nobody.
	Empty bool
}

// Roster is the instance list.
type Roster struct {
	settings Settings
	clock    clockwork.Clock
	log      *observation.Log
	host     *host.Host
	faults   host.Faults[Faults]

	mu     sync.Mutex
	now    map[string]Instance
	past   []List
	shown  List
	frozen bool
}

// Option changes how a roster is built.
type Option func(*Roster)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(r *Roster) { r.clock = clock } }

// WithLog sets the log that observations go to.
func WithLog(log *observation.Log) Option { return func(r *Roster) { r.log = log } }

// New returns an empty instance list that is not listening yet.
func New(settings Settings, opts ...Option) *Roster {
	r := &Roster{
		settings: settings, clock: clockwork.NewRealClock(), log: observation.New(0),
		host: host.New(), now: map[string]Instance{},
	}
	for _, opt := range opts {
		opt(r)
	}
	r.shown.Instances = []Instance{}
	r.faults.OnChange = func(f *Faults) {
		r.host.SetHang(f.Hang)
		if f.Silence {
			r.host.Silence()
			f.Silence = false
		}
		r.mu.Lock()
		r.frozen = f.Stale
		r.mu.Unlock()
	}
	r.host.Handle("GET /instances", r.serveList)
	r.host.Handle("POST /instances", r.servePut)
	r.host.Handle("DELETE /instances/{name}", r.serveDelete)
	r.host.Control("/faults", &r.faults)
	r.host.Control("GET /observations", r.log)
	return r
}

// Start listens on address and returns the address bound.
func (r *Roster) Start(address string) (string, error) { return r.host.Start(address) }

// Close stops the instance list.
func (r *Roster) Close() { r.host.Close() }

// Observations returns the log of changes.
func (r *Roster) Observations() *observation.Log { return r.log }

// SetFaults changes the faults in force.
func (r *Roster) SetFaults(change func(*Faults)) { r.faults.Update(change) }

// Put adds an instance or replaces it; an empty state is Live.
func (r *Roster) Put(in Instance) {
	if in.State == "" {
		in.State = StateLive
	}
	r.change(in, func() { r.now[in.Name] = in })
}

// Leave marks an instance as leaving.
func (r *Roster) Leave(name string) {
	r.mu.Lock()
	in, ok := r.now[name]
	r.mu.Unlock()
	if ok {
		in.State = StateLeaving
		r.Put(in)
	}
}

// Remove takes an instance off the list.
func (r *Roster) Remove(name string) {
	r.change(Instance{Name: name, State: "Removed"}, func() { delete(r.now, name) })
}

func (r *Roster) change(in Instance, edit func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	edit()
	now := r.clock.Now()
	byName := func(a, b Instance) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	}
	sequence := r.shown.Sequence + uint64(len(r.past)) + 1
	r.past = append(r.past, List{sequence, now, slices.SortedFunc(maps.Values(r.now), byName)})
	r.log.Add(observation.Event{
		At: now, Kind: observation.KindListed, Server: in.Name, Service: in.Service,
		DataCentre: in.DataCentre, Detail: in.State,
	})
}

// current moves what is shown up to the lag and returns it.
func (r *Roster) current() List {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.clock.Now().Add(-r.settings.Lag)
	for !r.frozen && len(r.past) > 0 && !r.past[0].At.After(limit) {
		r.shown, r.past = r.past[0], r.past[1:]
	}
	return r.shown
}

func (r *Roster) serveList(w http.ResponseWriter, _ *http.Request) {
	f := r.faults.Get()
	if f.Down {
		host.Fail(w, http.StatusServiceUnavailable, "down by fault")
		return
	}
	list := r.current()
	if f.Empty {
		list.Instances = []Instance{}
	}
	host.JSON(w, http.StatusOK, list)
}

func (r *Roster) servePut(w http.ResponseWriter, req *http.Request) {
	var in Instance
	if err := host.Decode(req, &in); err != nil || in.Name == "" {
		host.Fail(w, http.StatusBadRequest, "an instance with a Name is expected: %v", err)
		return
	}
	r.Put(in)
	host.JSON(w, http.StatusOK, in)
}

func (r *Roster) serveDelete(w http.ResponseWriter, req *http.Request) {
	r.Remove(req.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}
