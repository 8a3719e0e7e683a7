package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"sync"
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
	return maps.Clone(b).subtractInPlace(other)
}

// subtractInPlace is Subtract without a copy.
func (b Backlog) subtractInPlace(other Backlog) Backlog {
	for server, work := range other {
		if b[server] -= work; b[server] <= 0 {
			delete(b, server)
		}
	}
	return b
}

// Largest returns the backlog at the servers where most work waits, as far as they take no more
// than the given number of bytes in JSON.
func (b Backlog) Largest(bytes int) Backlog {
	total := 0
	for server := range b {
		total += len(server) + backlogEntryBytes
	}
	if total <= bytes {
		return b
	}
	byWork := slices.SortedFunc(maps.Keys(b), func(x, y string) int { return cmp.Or(cmp.Compare(b[y], b[x]), cmp.Compare(x, y)) })
	largest := Backlog{}
	for _, server := range byWork {
		if bytes -= len(server) + backlogEntryBytes; bytes < 0 {
			break
		}
		largest[server] = b[server]
	}
	return largest
}

// backlogEntryBytes is what an entry of a Backlog takes in JSON besides the server's ID: quotes,
// separators and up to eight digits.
const backlogEntryBytes = 12

// peerReport is the latest report of a source, which may be an instance, a group of
// instances or all the others. run and sequence order the reports of one source.
type peerReport struct {
	run      int64
	sequence int64
	at       time.Time
	pending  Backlog
}

// peerReportTTL is how long a report counts: some four of the intervals at which it is
// renewed. With a longer one, the backlog of instances that are gone, or that now
// report to another reader, would count for too long.
const peerReportTTL = time.Second

// otherBacklogs holds the backlogs of other instances.
type otherBacklogs struct {
	mu sync.RWMutex
	// peers holds the latest report of each source that reports only its own
	// backlog or its group's, and peersUpdatedAt is when the last one was stored.
	// sum is what they add up to. No report expires before nextExpiry.
	peers          map[string]*peerReport
	peersUpdatedAt time.Time
	sum            Backlog
	nextExpiry     time.Time
	// total is the latest report of the sum over all other instances, and
	// totalSource is its sender.
	total       *peerReport
	totalSource string
}

func newOtherBacklogs() *otherBacklogs {
	return &otherBacklogs{peers: map[string]*peerReport{}, sum: Backlog{}}
}

// backlogView is what is known of the other instances' backlogs at one moment.
type backlogView struct {
	// total is the sum over all other instances as one of them reported it; if it is
	// nil, parts are summed up here.
	total Backlog
	parts *otherBacklogs
}

// view drops expired reports and returns what is left. A placement reads a total without
// a lock.
func (o *otherBacklogs) view(now time.Time) backlogView {
	o.dropExpired(now)
	o.mu.RLock()
	defer o.mu.RUnlock()
	if t := o.total; t != nil && t.pending != nil && t.at.After(o.peersUpdatedAt) && now.Sub(t.at) < peerReportTTL {
		return backlogView{total: t.pending}
	}
	return backlogView{parts: o}
}

// at returns the other instances' predicted work at a server, and whether any instance
// has reported.
func (v backlogView) at(server string) (time.Duration, bool) {
	if v.total != nil {
		return time.Duration(v.total[server]) * time.Millisecond, true
	}
	v.parts.mu.RLock()
	defer v.parts.mu.RUnlock()
	return time.Duration(v.parts.sum[server]) * time.Millisecond, len(v.parts.peers) > 0
}

// dropExpired drops the reports of peers that are older than peerReportTTL.
func (o *otherBacklogs) dropExpired(now time.Time) {
	o.mu.RLock()
	due := len(o.peers) > 0 && !now.Before(o.nextExpiry)
	o.mu.RUnlock()
	if !due {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nextExpiry = now.Add(peerReportTTL)
	for name, p := range o.peers {
		expiresAt := p.at.Add(peerReportTTL)
		if !now.Before(expiresAt) {
			o.replace(name, nil)
		} else if expiresAt.Before(o.nextExpiry) {
			o.nextExpiry = expiresAt
		}
	}
}

// replace replaces the report of a source, or drops it if p is nil, and corrects the sum.
// The caller holds mu.
func (o *otherBacklogs) replace(name string, p *peerReport) {
	if old := o.peers[name]; old != nil {
		o.sum = o.sum.subtractInPlace(old.pending)
		delete(o.peers, name)
	}
	if p == nil {
		return
	}
	if len(o.peers) == 0 {
		o.nextExpiry = p.at.Add(peerReportTTL)
	}
	o.peers[name] = p
	o.sum.Add(p.pending)
}

// Backlog returns this instance's own backlog at each server.
func (d *Dispatcher) Backlog() Backlog {
	pending := Backlog{}
	d.eachState(func(id string, st *serverState) bool {
		if work := st.ownBacklog.Milliseconds(); work > 0 {
			pending[id] = work
		}
		return true
	})
	return pending
}

// UpdatePeer stores a source's report of its backlog, unless the stored report of
// that source is as new or newer.
func (d *Dispatcher) UpdatePeer(name string, run, sequence int64, pending Backlog, now time.Time) {
	o := d.others
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.peers[name]; p.isOlderThan(run, sequence) {
		o.replace(name, &peerReport{run, sequence, now, pending})
		o.peersUpdatedAt = now
	}
}

// UpdateTotal stores the report of a source that has added up the backlogs of all
// other instances, unless a report of the same source is as new or newer. It
// replaces the total of any other source, and takes precedence over older reports
// stored with UpdatePeer, since an instance can change the reader that it belongs to.
func (d *Dispatcher) UpdateTotal(name string, run, sequence int64, pending Backlog, now time.Time) {
	o := d.others
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.totalSource != name || o.total == nil || now.Sub(o.total.at) >= peerReportTTL || o.total.isOlderThan(run, sequence) {
		o.totalSource, o.total = name, &peerReport{run, sequence, now, pending}
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
	o := d.others
	o.dropExpired(now)
	o.mu.RLock()
	defer o.mu.RUnlock()
	names := make([]string, 0, len(o.peers))
	for name := range o.peers {
		names = append(names, name)
	}
	return names
}

// PeerBacklog returns the sum of the backlogs that the named sources reported.
func (d *Dispatcher) PeerBacklog(names []string) Backlog {
	o := d.others
	o.mu.RLock()
	defer o.mu.RUnlock()
	sum := Backlog{}
	for _, name := range names {
		if p := o.peers[name]; p != nil {
			sum.Add(p.pending)
		}
	}
	return sum
}
