package dispatch

import "time"

// Pending is one instance's work that waits at a server.
type Pending struct {
	// Requests is the number of requests under way, Work the predicted time
	// that those without a first event take, in milliseconds.
	Requests int
	Work     int64
}

// peer is what another instance last told of its work.
type peer struct {
	run      int64
	sequence int64
	at       time.Time
	pending  map[string]Pending
}

// peerFresh is how long another instance's word holds: a few of the intervals
// at which it is renewed.
const peerFresh = 2 * time.Second

// Pending returns this instance's work at each server.
func (d *Dispatcher) Pending() map[string]Pending {
	d.mu.Lock()
	defer d.mu.Unlock()
	pending := map[string]Pending{}
	for id, a := range d.servers {
		if a.inFlight > 0 {
			pending[id] = Pending{Requests: a.inFlight, Work: a.pending.Milliseconds()}
		}
	}
	return pending
}

// Peer takes in another instance's work. Words that were overtaken are ignored.
func (d *Dispatcher) Peer(name string, run, sequence int64, pending map[string]Pending, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[name]
	if p != nil && (run < p.run || run == p.run && sequence <= p.sequence) {
		return
	}
	d.peers[name] = &peer{run, sequence, now, pending}
}

// elsewhere is the work of the other instances that waits at a server: their
// own word, or what the server itself stated if none is known.
func (d *Dispatcher) elsewhere(server string, a *account, now time.Time) time.Duration {
	told := false
	sum := int64(0)
	for name, p := range d.peers {
		age := now.Sub(p.at)
		if age >= peerFresh {
			delete(d.peers, name)
			continue
		}
		told = true
		sum += p.pending[server].Work
	}
	if told {
		return time.Duration(sum) * time.Millisecond
	}
	return time.Duration(a.decayed(now) * float64(d.average) * othersWeight)
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
