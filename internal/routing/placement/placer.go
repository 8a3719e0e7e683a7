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

// counters counts the reasons why servers were ruled out at the recheck, attempts
// that found no server, and servers forgotten after a gap in their cache events.
var counters = expvar.NewMap("RoutingPlacement")

// NetworkDelays holds the expected network delays to a server by its distance: the
// round trip, plus the mean delay from lost packets.
type NetworkDelays struct {
	SameDataCentre time.Duration
	SameRegion     time.Duration
	OtherRegion    time.Duration
}

// Placer chooses backend servers from an index that Run keeps up to date. Choose,
// Explain and Recheck may be called concurrently, also while Run is active.
type Placer struct {
	board               *board.Board
	load                Load
	clock               clockwork.Clock
	prefixTable         *PrefixTable
	networkDelays       NetworkDelays
	meanRequestDuration time.Duration
	rebuildInterval     time.Duration
	index               atomic.Pointer[index]
}

// Option configures a Placer.
type Option func(*Placer)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(p *Placer) { p.clock = c } }

// WithPrefixTable sets the table of prompt prefixes. Without it, the placer does not
// prefer servers that have a prompt cached.
func WithPrefixTable(t *PrefixTable) Option { return func(p *Placer) { p.prefixTable = t } }

// WithNetworkDelays sets the expected network delays.
func WithNetworkDelays(d NetworkDelays) Option { return func(p *Placer) { p.networkDelays = d } }

// WithMeanRequestDuration sets the mean time for which a request occupies a server.
func WithMeanRequestDuration(d time.Duration) Option {
	return func(p *Placer) { p.meanRequestDuration = d }
}

// New returns a placer that reads servers and configuration from the board and the
// own load from load.
func New(b *board.Board, load Load, opts ...Option) *Placer {
	p := &Placer{
		board: b, load: load, clock: clockwork.NewRealClock(),
		networkDelays:       NetworkDelays{SameDataCentre: 500 * time.Microsecond, SameRegion: 20 * time.Millisecond, OtherRegion: 100 * time.Millisecond},
		meanRequestDuration: 4 * time.Second,
		rebuildInterval:     100 * time.Millisecond,
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
		case <-p.clock.After(p.rebuildInterval):
		case <-docs:
		}
	}
}

// Rebuild rebuilds the index from the board if servers or configuration have changed.
// It must not be called concurrently.
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
	// PoolSize is the number of servers that can run what was asked for.
	PoolSize int
	// RuledOut counts the servers examined and ruled out.
	RuledOut RuleOutCounts
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("no server for %s %s@%s: pool %d, examined %d: excluded %d, ejected %d, limited %d",
		e.Service, e.Model, e.Version, e.PoolSize, e.RuledOut.Examined, e.RuledOut.Excluded, e.RuledOut.Ejected, e.RuledOut.Limited)
}
