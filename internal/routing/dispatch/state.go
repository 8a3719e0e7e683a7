package dispatch

import (
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
)

// serverState is what this instance has learnt about one server from its own
// requests. Its methods don't lock it unless they say so.
type serverState struct {
	born int64

	mu       sync.Mutex
	inFlight int
	// ownBacklog is the predicted work of this instance's requests that wait for
	// their first event.
	ownBacklog time.Duration
	// awaitingFirstEvent maps each request that waits for its first event to the
	// time at which it was placed.
	awaitingFirstEvent map[*Assignment]time.Time
	// otherLoad is the number of other instances' requests, as of the load that
	// the server stated at otherLoadAt.
	otherLoad   float64
	otherLoadAt time.Time
	sends       sendLog
	notice      serverNotice
	failures    failureRate
	slowness    slowness
	// unlisted is set while the server isn't listed.
	unlisted bool
}

func newServerState(born int64) *serverState {
	return &serverState{born: born, awaitingFirstEvent: map[*Assignment]time.Time{}}
}

// backlog returns ownBacklog. It locks the state.
func (st *serverState) backlog() time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.ownBacklog
}

// longestWait returns how long the oldest of the requests that wait for their first
// event has waited. Servers start requests in about the order of arrival, so a new
// request waits at least as long.
func (st *serverState) longestWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	if len(st.awaitingFirstEvent) == 0 {
		return longest
	}
	for _, at := range st.awaitingFirstEvent {
		longest = max(longest, now.Sub(at))
	}
	return longest
}

// rosterOf returns the roster of a listing, which usually is the latest one.
func (d *Dispatcher) rosterOf(l *backend.Listing) *roster {
	if r := d.latest.Load(); r != nil && r.listing == l {
		return r
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := newRoster(l, d.state)
	d.latest.Store(r)
	return r
}

// state returns the state of a server. A restarted server gets a new one. The caller
// holds d.mu.
func (d *Dispatcher) state(s *backend.Server) *serverState {
	st := d.states[s.ID]
	if st == nil || st.born != s.StartedAt {
		st = newServerState(s.StartedAt)
		d.states[s.ID] = st
	}
	return st
}

// PruneServers drops the state of servers that are no longer listed and have none
// of this instance's requests in flight. A server that has given a notice keeps its state
// for noticeMemory: its entry may come back.
func (d *Dispatcher) PruneServers(l *backend.Listing) {
	d.eachState(func(id string, st *serverState) bool {
		st.unlisted = l.ByID[id] == nil
		return !st.unlisted || st.inFlight > 0 || st.notice != (serverNotice{})
	})
}

// eachState calls f with each server's state, locked. It drops the state if f returns
// false.
func (d *Dispatcher) eachState(f func(id string, st *serverState) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, st := range d.states {
		st.mu.Lock()
		keep := f(id, st)
		st.mu.Unlock()
		if !keep {
			delete(d.states, id)
		}
	}
}
