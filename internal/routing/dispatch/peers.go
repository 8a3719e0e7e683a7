package dispatch

import (
	"maps"
	"time"
)

// Backlog maps the ID of a server to the predicted work there that waits for its
// first event, in milliseconds.
type Backlog map[string]int64

// Add adds other to the backlog in place.
func (b Backlog) Add(other Backlog) {
	for server, work := range other {
		b[server] += work
	}
}

// Subtract returns the backlog less other, without the servers where nothing is
// left.
func (b Backlog) Subtract(other Backlog) Backlog {
	rest := maps.Clone(b)
	for server, work := range other {
		if rest[server] -= work; rest[server] <= 0 {
			delete(rest, server)
		}
	}
	return rest
}

// peerReport is the latest report of a source, which may be an instance, a group of
// instances or all the others. run and sequence order the reports of one source.
type peerReport struct {
	run      int64
	sequence int64
	at       time.Time
	pending  Backlog
}

// peerReportTTL is how long a report counts: four of the intervals at which it is
// renewed. With a longer one, the backlog of instances that are gone, or that now
// report to another reader, would count for too long.
const peerReportTTL = time.Second

// Backlog returns this instance's own backlog at each server.
func (d *Dispatcher) Backlog() Backlog {
	d.mu.Lock()
	defer d.mu.Unlock()
	pending := Backlog{}
	for id, st := range d.states {
		if work := st.ownBacklog.Milliseconds(); work > 0 {
			pending[id] = work
		}
	}
	return pending
}

// UpdatePeer stores a source's report of its backlog, unless the stored report of
// that source is as new or newer.
func (d *Dispatcher) UpdatePeer(name string, run, sequence int64, pending Backlog, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.peers[name]; p.isOlderThan(run, sequence) {
		d.peers[name] = &peerReport{run, sequence, now, pending}
		d.peersUpdatedAt = now
	}
}

// UpdateTotal stores the report of a source that has added up the backlogs of all
// other instances, unless a report of the same source is as new or newer. It
// replaces the total of any other source, and takes precedence over older reports
// stored with UpdatePeer, since an instance can change the reader that it belongs to.
func (d *Dispatcher) UpdateTotal(name string, run, sequence int64, pending Backlog, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.totalSource != name || d.total.isOlderThan(run, sequence) {
		d.totalSource, d.total = name, &peerReport{run, sequence, now, pending}
	}
}

// isOlderThan reports whether a report with the given run and sequence is newer than
// p, which may be nil.
func (p *peerReport) isOlderThan(run, sequence int64) bool {
	return p == nil || run > p.run || run == p.run && sequence > p.sequence
}

// ActivePeers returns the names of the sources, stored with UpdatePeer, whose
// reports have not expired.
func (d *Dispatcher) ActivePeers(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expirePeers(now)
	names := make([]string, 0, len(d.peers))
	for name := range d.peers {
		names = append(names, name)
	}
	return names
}

// PeerBacklog returns the sum of the backlogs that the named sources reported.
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

// expirePeers drops the reports that are older than peerReportTTL.
func (d *Dispatcher) expirePeers(now time.Time) {
	maps.DeleteFunc(d.peers, func(_ string, p *peerReport) bool { return now.Sub(p.at) >= peerReportTTL })
}

// otherBacklog returns the predicted work of the other instances that waits at a
// server, from their own reports or, if there are none, from the load that the
// server stated. The caller has dropped expired reports with expirePeers.
func (d *Dispatcher) otherBacklog(server string, st *serverState, now time.Time) time.Duration {
	if t := d.total; t != nil && t.at.After(d.peersUpdatedAt) && now.Sub(t.at) < peerReportTTL {
		return time.Duration(t.pending[server]) * time.Millisecond
	}
	if len(d.peers) == 0 {
		return time.Duration(st.decayedOtherLoad(now) * float64(d.meanPrefillTime) * otherLoadWeight)
	}
	sum := int64(0)
	for _, p := range d.peers {
		sum += p.pending[server]
	}
	return time.Duration(sum) * time.Millisecond
}

// longestWait returns how long the oldest of the requests that wait for their first
// event has waited. Servers start requests in about the order of arrival, so a new
// request waits at least as long.
func (st *serverState) longestWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, at := range st.awaitingFirstEvent {
		longest = max(longest, now.Sub(at))
	}
	return longest
}
