package attempt

import (
	"sync"
	"time"
)

// stallWindow is the time within which connections to two servers of one data
// centre must stall for all idle connections to that data centre to be suspect.
const stallWindow = 10 * time.Second

// pool keeps idle connections by address. The most recently used is last.
type pool struct {
	perAddress int
	idleLimit  time.Duration
	ageLimit   time.Duration

	mu   sync.Mutex
	idle map[string][]*conn
	// stalls holds the time of the last stall of each address, by data centre.
	stalls map[string]map[string]time.Time
}

func newPool(perAddress int, idleLimit, ageLimit time.Duration) *pool {
	return &pool{
		perAddress: perAddress,
		idleLimit:  idleLimit,
		ageLimit:   ageLimit,
		idle:       map[string][]*conn{},
		stalls:     map[string]map[string]time.Time{},
	}
}

// get returns the most recently used connection to the address that is still
// usable, or nil. It closes unusable connections that it finds on the way.
func (p *pool) get(address string, now time.Time) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		switch {
		case p.isAged(c, now):
			connections.Add("Aged", 1)
		case c.reader.Buffered() > 0 || !isIdle(c.Conn):
			connections.Add("Unusable", 1)
		default:
			return c
		}
		c.abort(Cancelled)
	}
}

// idleSafetyMargin is subtracted from the idle time that a server announces, so
// that a request in transit arrives before the server closes the connection.
const idleSafetyMargin = 500 * time.Millisecond

func (p *pool) maxIdle(c *conn) time.Duration {
	if c.idleLimit > 0 {
		return min(p.idleLimit, c.idleLimit-idleSafetyMargin)
	}
	return p.idleLimit
}

// isAged reports whether a connection has been idle for too long or is too old.
func (p *pool) isAged(c *conn, now time.Time) bool {
	return now.Sub(c.idleSince) >= p.maxIdle(c) || now.Sub(c.dialledAt) >= p.ageLimit
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.setIdle(address, list[:len(list)-1])
	return c
}

func (p *pool) setIdle(address string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = list
}

// put returns a connection to the pool after a complete exchange. It closes the
// connection if the pool is full or the connection too old.
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

// evictStalled closes every idle connection that probably shares the fault of
// the stalled one: those to the same address on which no byte has arrived after
// since, when the stall began. If another server of the same data centre stalled
// within stallWindow, it does so for all addresses of the data centre.
func (p *pool) evictStalled(stalled *conn, since, now time.Time) {
	p.mu.Lock()
	var evicted []*conn
	wholeDataCentre := p.recordStall(stalled.target, now)
	for address, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			suspect := address == stalled.target.Address || wholeDataCentre && c.target.DataCentre == stalled.target.DataCentre
			if suspect && !c.lastActive().After(since) {
				evicted = append(evicted, c)
				continue
			}
			kept = append(kept, c)
		}
		p.setIdle(address, kept)
	}
	p.mu.Unlock()
	for _, c := range evicted {
		connections.Add("Retired", 1)
		c.abort(Cancelled)
	}
}

// recordStall records a stall of t and reports whether another server of the same
// data centre stalled within stallWindow.
func (p *pool) recordStall(t Target, now time.Time) bool {
	if t.DataCentre == "" {
		return false
	}
	byAddress := p.stalls[t.DataCentre]
	if byAddress == nil {
		byAddress = map[string]time.Time{}
		p.stalls[t.DataCentre] = byAddress
	}
	for address, stalledAt := range byAddress {
		if now.Sub(stalledAt) > stallWindow {
			delete(byAddress, address)
		}
	}
	byAddress[t.Address] = now
	return len(byAddress) > 1
}

// prune closes the idle connections that are too old to be used, and those to addresses that
// aren't listed.
func (p *pool) prune(listed map[string]bool, now time.Time) {
	p.mu.Lock()
	var gone, aged []*conn
	for address, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			switch {
			case !listed[address]:
				gone = append(gone, c)
			case p.isAged(c, now):
				aged = append(aged, c)
			default:
				kept = append(kept, c)
			}
		}
		p.setIdle(address, kept)
	}
	p.mu.Unlock()
	connections.Add("Gone", int64(len(gone)))
	connections.Add("Aged", int64(len(aged)))
	for _, c := range append(gone, aged...) {
		c.abort(Cancelled)
	}
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
