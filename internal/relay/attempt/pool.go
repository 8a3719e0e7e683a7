package attempt

import (
	"sync"
	"time"
)

// cohortWindow is how close together silences at two servers of one data
// centre must be to put all its idle connections in doubt.
const cohortWindow = 10 * time.Second

// pool keeps idle connections by address, newest last.
type pool struct {
	perAddress int
	idleLimit  time.Duration
	ageLimit   time.Duration

	mu   sync.Mutex
	idle map[string][]*conn
	// silences holds the latest silence of each address, by data centre.
	silences map[string]map[string]time.Time
}

func newPool(perAddress int, idleLimit, ageLimit time.Duration) *pool {
	return &pool{
		perAddress: perAddress,
		idleLimit:  idleLimit,
		ageLimit:   ageLimit,
		idle:       map[string][]*conn{},
		silences:   map[string]map[string]time.Time{},
	}
}

// take returns the youngest usable connection to the address, or nil.
func (p *pool) take(address string, now time.Time) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		switch {
		case now.Sub(c.idleSince) >= p.idleFor(c) || now.Sub(c.dialledAt) >= p.ageLimit:
			connections.Add("Aged", 1)
		case c.reader.Buffered() > 0 || !isQuiet(c.Conn):
			connections.Add("Unusable", 1)
		default:
			return c
		}
		c.abort(Cancelled)
	}
}

// idleMargin is taken off the time that a server says it keeps an idle
// connection: a request on its way must arrive before the server closes.
const idleMargin = 500 * time.Millisecond

func (p *pool) idleFor(c *conn) time.Duration {
	if c.idleLimit > 0 {
		return min(p.idleLimit, c.idleLimit-idleMargin)
	}
	return p.idleLimit
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.store(address, list[:len(list)-1])
	return c
}

func (p *pool) store(address string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = list
}

// put gives a connection back after a whole exchange.
func (p *pool) put(c *conn, now time.Time) {
	c.disarm()
	c.idleSince = now
	p.mu.Lock()
	list := p.idle[c.target.Address]
	if len(list) < p.perAddress && now.Sub(c.dialledAt) < p.ageLimit {
		p.idle[c.target.Address] = append(list, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		c.abort(Cancelled)
	}
}

// retire closes the cohort of a connection that went silent at since: every
// idle connection to its address that has not shown life after that. When a
// second server of the data centre falls silent, that holds for all servers
// of the data centre.
func (p *pool) retire(silent *conn, since, now time.Time) {
	p.mu.Lock()
	var doomed []*conn
	wide := p.noteSilence(silent.target, now)
	for address, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			same := address == silent.target.Address || wide && c.target.DataCentre == silent.target.DataCentre
			if same && !c.proven().After(since) {
				doomed = append(doomed, c)
				continue
			}
			kept = append(kept, c)
		}
		p.store(address, kept)
	}
	p.mu.Unlock()
	for _, c := range doomed {
		connections.Add("Retired", 1)
		c.abort(Cancelled)
	}
}

// noteSilence records a silence and reports whether another server of the
// same data centre fell silent within the window.
func (p *pool) noteSilence(t Target, now time.Time) bool {
	if t.DataCentre == "" {
		return false
	}
	at := p.silences[t.DataCentre]
	if at == nil {
		at = map[string]time.Time{}
		p.silences[t.DataCentre] = at
	}
	for address, when := range at {
		if now.Sub(when) > cohortWindow {
			delete(at, address)
		}
	}
	at[t.Address] = now
	return len(at) > 1
}

func (p *pool) closeAll() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.abort(Cancelled)
		}
	}
}
