package dispatch

import (
	"maps"
	"time"
)

// Backlog is the work that waits at each server for its first event, in
// milliseconds.
type Backlog map[string]int64

// Add adds other work, in place.
func (p Backlog) Add(o Backlog) {
	for server, work := range o {
		p[server] += work
	}
}

// Subtract returns the work less what is counted twice.
func (p Backlog) Subtract(o Backlog) Backlog {
	rest := maps.Clone(p)
	for server, work := range o {
		if rest[server] -= work; rest[server] <= 0 {
			delete(rest, server)
		}
	}
	return rest
}

// peer is what another source last told of work that is not this instance's.
type peer struct {
	run      int64
	sequence int64
	at       time.Time
	pending  Backlog
}

// peerFresh is how long another instance's word holds: four of the intervals at
// which it is renewed. Longer, and the work of instances that are gone, or that
// tell another reader now, counts for too long.
const peerFresh = time.Second

// Backlog returns this instance's work at each server.
func (d *Dispatcher) Backlog() Backlog {
	d.mu.Lock()
	defer d.mu.Unlock()
	pending := Backlog{}
	for id, a := range d.servers {
		if work := a.pending.Milliseconds(); work > 0 {
			pending[id] = work
		}
	}
	return pending
}

// UpdatePeer takes in another source's word of its work. Words that were overtaken
// are ignored.
func (d *Dispatcher) UpdatePeer(name string, run, sequence int64, pending Backlog, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.peers[name]; p.isOvertakenBy(run, sequence) {
		d.peers[name] = &peer{run, sequence, now, pending}
		d.peersAt = now
	}
}

// UpdateTotal takes in the word of a source that has added up all others' work. The
// last one takes the place of those before it, and of single sources' words that
// are older: instances change the source that they belong to.
func (d *Dispatcher) UpdateTotal(name string, run, sequence int64, pending Backlog, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.totalOf != name || d.total.isOvertakenBy(run, sequence) {
		d.totalOf, d.total = name, &peer{run, sequence, now, pending}
	}
}

func (p *peer) isOvertakenBy(run, sequence int64) bool {
	return p == nil || run > p.run || run == p.run && sequence > p.sequence
}

// ActivePeers returns the names of the sources whose word still holds.
func (d *Dispatcher) ActivePeers(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetPeers(now)
	names := make([]string, 0, len(d.peers))
	for name := range d.peers {
		names = append(names, name)
	}
	return names
}

// PeerBacklog adds up the work of some sources.
func (d *Dispatcher) PeerBacklog(names []string) Backlog {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := Backlog{}
	for _, name := range names {
		if p := d.peers[name]; p != nil {
			sum.Add(p.pending)
		}
	}
	return sum
}

func (d *Dispatcher) forgetPeers(now time.Time) {
	maps.DeleteFunc(d.peers, func(_ string, p *peer) bool { return now.Sub(p.at) >= peerFresh })
}

// elsewhere is the work of the other instances that waits at a server: their
// own word, or what the server itself stated if none is known. Words that are too
// old are forgotten before.
func (d *Dispatcher) elsewhere(server string, a *account, now time.Time) time.Duration {
	if t := d.total; t != nil && t.at.After(d.peersAt) && now.Sub(t.at) < peerFresh {
		return time.Duration(t.pending[server]) * time.Millisecond
	}
	if len(d.peers) == 0 {
		return time.Duration(a.decayed(now) * float64(d.average) * othersWeight)
	}
	sum := int64(0)
	for _, p := range d.peers {
		sum += p.pending[server]
	}
	return time.Duration(sum) * time.Millisecond
}

// oldest is how long the request that has waited longest at the server has
// waited. Servers begin requests in about the order of their arrival, so a new
// one waits no less.
func (a *account) oldest(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, at := range a.waiting {
		longest = max(longest, now.Sub(at))
	}
	return longest
}
