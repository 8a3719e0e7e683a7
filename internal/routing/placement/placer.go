package placement

import (
	"context"
	"expvar"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// counters counts why servers were ruled out and attempts found none.
var counters = expvar.NewMap("RoutingPlacement")

// NetworkDelays are the expected delays by how far a server is: round trip, and
// what lost packets add to it on average.
type NetworkDelays struct {
	SameDataCentre time.Duration
	SameRegion     time.Duration
	OtherRegion    time.Duration
}

// Placer chooses backend servers. Run keeps its index up to date.
type Placer struct {
	board     *board.Board
	load      Load
	clock     clockwork.Clock
	cache     *PrefixTable
	distances NetworkDelays
	holdTime  time.Duration
	rebuild   time.Duration
	index     atomic.Pointer[index]
}

// Option changes a Placer.
type Option func(*Placer)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(p *Placer) { p.clock = c } }

// WithPrefixTable sets the memory of prompt prefixes.
func WithPrefixTable(c *PrefixTable) Option { return func(p *Placer) { p.cache = c } }

// WithNetworkDelays sets the round-trip times.
func WithNetworkDelays(d NetworkDelays) Option { return func(p *Placer) { p.distances = d } }

// WithMeanRequestDuration sets how long a request holds a place at a server on average.
func WithMeanRequestDuration(d time.Duration) Option { return func(p *Placer) { p.holdTime = d } }

// New returns a placer that reads the board.
func New(b *board.Board, load Load, opts ...Option) *Placer {
	p := &Placer{
		board: b, load: load, clock: clockwork.NewRealClock(),
		distances: NetworkDelays{SameDataCentre: 500 * time.Microsecond, SameRegion: 20 * time.Millisecond, OtherRegion: 100 * time.Millisecond},
		holdTime:  4 * time.Second,
		rebuild:   100 * time.Millisecond,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Run rebuilds the index whenever servers or configuration change, until the
// context ends.
func (p *Placer) Run(ctx context.Context) error {
	servers, stopServers := p.board.Servers.Subscribe()
	defer stopServers()
	docs, stopDocs := p.board.Configuration.Subscribe()
	defer stopDocs()
	for {
		p.Rebuild()
		select {
		case <-ctx.Done():
			return nil
		case <-docs:
			continue
		case <-servers:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.clock.After(p.rebuild):
		case <-docs:
		}
	}
}

// Rebuild builds the index from the board. One caller at a time.
func (p *Placer) Rebuild() {
	servers, doc := p.board.Servers.Get(), p.board.Configuration.Get()
	before := p.index.Load()
	if servers == nil || doc == nil || before != nil && before.servers == servers && before.doc == doc {
		return
	}
	p.index.Store(p.newIndex(servers, doc, before))
}

// NoServerError reports that no server can take the attempt now.
type NoServerError struct {
	Service string
	Model   string
	Version string
	// PoolSize is the number of servers that run what is asked for.
	PoolSize int
	// RuledOut says why the examined ones were ruled out.
	RuledOut RuleOutCounts
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("no server for %s %s@%s: pool %d, examined %d: excluded %d, ejected %d, limited %d",
		e.Service, e.Model, e.Version, e.PoolSize, e.RuledOut.Examined, e.RuledOut.Excluded, e.RuledOut.Ejected, e.RuledOut.Limited)
}
