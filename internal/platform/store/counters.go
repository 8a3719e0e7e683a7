package store

import (
	"expvar"
	"sync/atomic"
)

// published sums the calls of every client in the process.
var published = expvar.NewMap("Store")

// Calls is how many calls of one purpose a client has made.
type Calls struct {
	Purpose string
	Reads   int64
	Writes  int64
	Watches int64
	Failed  int64
	Refused int64
}

type purposeCounters struct {
	sent    [3]atomic.Int64
	failed  atomic.Int64
	refused atomic.Int64
}

type counters struct {
	byPurpose [purposes]purposeCounters
}

func newCounters() *counters { return &counters{} }

var kindNames = [3]string{"Reads", "Writes", "Watches"}

func (c *counters) sent(p Purpose, k kind) {
	c.byPurpose[p].sent[k].Add(1)
	published.Add(p.String()+kindNames[k], 1)
}

func (c *counters) failed(p Purpose) {
	c.byPurpose[p].failed.Add(1)
	published.Add(p.String()+"Failed", 1)
}

func (c *counters) refused(p Purpose, reason string) {
	c.byPurpose[p].refused.Add(1)
	published.Add(p.String()+"Refused"+reason, 1)
}

// Calls returns the calls made so far, by purpose.
func (c *Client) Calls() []Calls {
	all := make([]Calls, purposes)
	for p := range all {
		n := &c.counters.byPurpose[p]
		all[p] = Calls{
			Purpose: Purpose(p).String(),
			Reads:   n.sent[read].Load(),
			Writes:  n.sent[write].Load(),
			Watches: n.sent[watch].Load(),
			Failed:  n.failed.Load(),
			Refused: n.refused.Load(),
		}
	}
	return all
}
