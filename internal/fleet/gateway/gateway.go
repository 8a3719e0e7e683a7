package gateway

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"github.com/kingcupyard/kingcupyard/internal/billing/tally"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/internal/routing/allowance"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

// Store is the platform's store.
type Store interface {
	follower.Store
	// GrantLease opens a lease, RenewLease renews it and reports whether it lives, RevokeLease
	// ends it with its keys.
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
	RenewLease(ctx context.Context, lease int64) (bool, error)
	RevokeLease(ctx context.Context, lease int64) error
	// Register announces this instance for as long as the lease lives.
	Register(ctx context.Context, lease int64, i follower.Instance) error
	// BecomeDriver makes the instance the driver of roll-outs for as long as the
	// lease lives, unless there is one. It reports whether it became the
	// driver.
	BecomeDriver(ctx context.Context, lease int64, instance string) (bool, error)
	// RecordStage writes a stage if its record is at the known revision and the
	// driver's entry is at its own, and tells the operator.
	RecordStage(ctx context.Context, s follower.RolloutProgress, driver follower.Driver) (bool, error)
	// WriteTallies writes running counts over those that are known to be written. It
	// reports whether all of them still were as known, and if so wrote all,
	// else none; the marks are what it learnt.
	WriteTallies(ctx context.Context, due []tally.Tally, written map[string]tally.WriteMark) (marks map[string]tally.WriteMark, done bool, err error)
}

// Codec translates headers.
type Codec interface {
	pipeline.HeaderEncoder
	attempt.Dialect
}

// Admission is what the callers' handler needs of the instance.
type Admission interface {
	// Table returns the routing table in force, or nil.
	Table() *route.Table
	// TrackRequest counts a request in; the function that it returns counts it out.
	TrackRequest() func()
	// IsStopping reports whether the instance is being stopped.
	IsStopping() bool
	// MayFinish reports whether a call that arrives now is sure to end before
	// the instance does.
	MayFinish(deadline time.Time) bool
}

// Dependencies is what a gateway is built from.
type Dependencies struct {
	Settings Settings
	Store    Store
	Codec    Codec
	// Decode reads the store's entries.
	Decode func(follower.Item) follower.Change
	// NewHandler makes the handler of callers.
	NewHandler func(a Admission, f *pipeline.Forwarder) http.Handler
	// WrapListener wraps the callers' listener and marks its connections.
	WrapListener func(net.Listener) net.Listener
	ConnContext  func(context.Context, net.Conn) context.Context
	// ReadyPath is where readiness is asked for.
	ReadyPath string
	// MetricsAddress is where counters and histograms are served; empty for
	// none.
	MetricsAddress string
	Clock          clockwork.Clock
	Log            *zap.Logger
}

// Gateway is an instance on the platform. Build it with New.
type Gateway struct {
	Dependencies
	follower   *follower.Follower
	dispatcher *dispatch.Dispatcher
	forwarder  *pipeline.Forwarder
	carrier    *attempt.Client
	releases   *releases
	member     *membership
	peers      *peers
	feeds      *feeds
	bills      *bills
	// run tells this run of the instance from others.
	run int64

	// latest holds the settings as last reloaded.
	latest atomic.Pointer[Settings]

	stopping atomic.Bool
	// stopsAt is when a stopping instance ends, refusesAt when it no longer
	// takes calls that may last longer.
	stopsAt   atomic.Pointer[time.Time]
	refusesAt atomic.Pointer[time.Time]
	inFlight  atomic.Int64

	mu         sync.Mutex
	allowances map[string]*allowance.RetryBudget
	changed    chan struct{}
	// tableSince is when the table in force was taken in.
	tableSince time.Time
}

const (
	// nearRoundTrip and farRoundTrip are the round trips within a data centre
	// and within a region, from the users' sheets.
	nearRoundTrip = 500 * time.Microsecond
	farRoundTrip  = 9 * time.Millisecond
	// crossingCost weighs the price of a request's bytes between data centres
	// as a wait. Of 20, 60, 150 and 300 ms, 150 did best on both sites.
	crossingCost = 150 * time.Millisecond
	// failureCost is what an attempt that fails costs a caller, about half a
	// route's goal.
	failureCost = time.Second
	// idlePerServer, idleLimit and connectionAge bound kept connections.
	idlePerServer = 4
	idleLimit     = 8 * time.Second
	connectionAge = 5 * time.Minute
	// memoryShare is the part of the memory limit that the runtime aims at;
	// the rest covers stacks, sockets and what is not returned at once.
	memoryShare = 0.6
	// confirmShare is the part of the time to revoke a key for which a
	// confirmation holds. It counts from before it was asked for, and a
	// request that passes was sent before it passed, so that little is needed
	// beside.
	confirmShare = 0.95
	// readyShare is the part for which the instance calls itself ready.
	readyShare = 0.6
)

// New returns a gateway that is not started.
func New(p Dependencies) *Gateway {
	s := p.Settings
	g := &Gateway{Dependencies: p, allowances: map[string]*allowance.RetryBudget{}, changed: make(chan struct{})}
	g.latest.Store(&s)
	g.feeds = &feeds{gateway: g, client: newFeedClient()}
	g.follower = follower.New(p.Store, p.Decode, follower.WithClock(p.Clock), follower.WithLogger(p.Log),
		follower.WithUpstream(g.feeds.choose), follower.WithSettings(followerSettings(s)))
	g.dispatcher = dispatch.New(dispatch.Settings{
		Instance: s.Instance, DataCentre: s.DataCentre, LocalRoundTrip: nearRoundTrip, RemoteRoundTrip: farRoundTrip,
		CrossDataCentreCost: crossingCost, FailureCost: failureCost, ColdOverrun: s.ColdOverrun, ColdSlack: s.ColdSlack,
	})
	g.carrier = attempt.New(attempt.WithClock(p.Clock), attempt.WithPoolLimits(idlePerServer, idleLimit, connectionAge))
	g.releases = newReleases(g)
	g.member = &membership{gateway: g}
	g.peers = &peers{gateway: g}
	g.run = p.Clock.Now().UnixNano()
	g.bills = &bills{gateway: g, counter: tally.NewCounter(s.Instance, g.run), copies: tally.NewCopies(), written: map[string]tally.WriteMark{}}
	g.forwarder = pipeline.NewForwarder(g, g.carrier, p.Codec, p.Codec, pipeline.WithForwardClock(p.Clock), pipeline.WithForwardLogger(p.Log))
	return g
}

// bounds returns the settings that may change while the instance runs.
func (g *Gateway) bounds() *Settings { return g.latest.Load() }

// Reload puts other settings in force. Names and addresses stay until the next
// start.
func (g *Gateway) Reload(s Settings) {
	old := g.latest.Swap(&s)
	if *old == s {
		return
	}
	g.dispatcher.SetColdBounds(s.ColdOverrun, s.ColdSlack)
	if old.RetryRatio != s.RetryRatio || old.RetrySlack != s.RetrySlack || old.RetryWindow != s.RetryWindow {
		g.mu.Lock()
		clear(g.allowances)
		g.mu.Unlock()
	}
	g.Log.Info("SettingsReloaded", zap.Bool("RestartNeeded", s.CallersAddress != old.CallersAddress || s.ReadyAddress != old.ReadyAddress ||
		s.PeerAddress != old.PeerAddress || s.StoreAddress != old.StoreAddress || s.Instance != old.Instance))
}

// Run serves until the context ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(g.Settings.MemoryBytes)))
	ready, err := net.Listen("tcp", g.Settings.ReadyAddress)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", g.Settings.CallersAddress)
	if err != nil {
		return err
	}
	if err := g.peers.open(); err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", g.Settings.PeerAddress)
	if err != nil {
		return err
	}
	g.Log.Info("Started", zap.String("DataCentre", g.Settings.DataCentre), zap.String("Callers", g.Settings.CallersAddress))
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	group.Go(func() { g.follower.Run(work) })
	group.Go(func() { g.watchView(work) })
	group.Go(func() { g.member.run(work) })
	group.Go(func() { g.releases.run(work) })
	group.Go(func() { g.peers.run(work) })
	group.Go(func() { g.bills.run(work) })
	group.Go(g.peers.receive)
	g.publishAges()
	if g.MetricsAddress != "" {
		metrics := &http.Server{Addr: g.MetricsAddress, Handler: expvar.Handler(), ReadHeaderTimeout: time.Second}
		go g.serveMetrics(metrics)
		defer metrics.Close()
	}
	readiness := &http.Server{Handler: g.readiness(), ReadHeaderTimeout: time.Second}
	group.Go(func() { g.serve(readiness, ready) })
	peerServer := &http.Server{Handler: g.feeds.handler(), ReadHeaderTimeout: time.Second}
	group.Go(func() { g.serve(peerServer, peerListener) })
	front := g.callersServer()
	group.Go(func() { g.serve(front, g.WrapListener(netutil.LimitListener(callers, g.callersLimit()))) })
	<-ctx.Done()
	g.stop(front)
	cancel()
	readiness.Close()
	peerServer.Close()
	g.peers.conn.Close()
	g.member.leave()
	group.Wait()
	g.bills.settle()
	g.Log.Info("Stopped", zap.Int64("CutOff", g.inFlight.Load()))
	return nil
}

// serveMetrics serves the counters. An instance works without them.
func (g *Gateway) serveMetrics(s *http.Server) {
	if err := s.ListenAndServe(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		g.Log.Warn("MetricsNotServed", zap.String("Address", s.Addr), zap.Error(err))
	}
}

func (g *Gateway) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		g.Log.Error("ListenerFailed", zap.String("Address", l.Addr().String()), zap.Error(err))
	}
}

func (g *Gateway) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// IsReady reports whether the instance can take new callers.
func (g *Gateway) IsReady() bool {
	return !g.stopping.Load() && g.Table() != nil && g.follower.View.Servers.Get() != nil && g.confirmedWithin(readyShare)
}

// confirmedWithin reports whether the table was confirmed within a share of
// the time to revoke a key.
func (g *Gateway) confirmedWithin(share float64) bool {
	age, ok := g.follower.ConfirmationAge()
	if !g.bounds().StrictRevocation {
		return ok
	}
	return ok && age < time.Duration(share*float64(g.bounds().MaxRevokeDelay))
}

// watchView wakes requests that wait for a server when the view changes.
func (g *Gateway) watchView(ctx context.Context) {
	servers, endServers := g.follower.View.Servers.Subscribe()
	defer endServers()
	fleet, endFleet := g.follower.View.Fleet.Subscribe()
	defer endFleet()
	table, endTable := g.follower.View.Table.Subscribe()
	defer endTable()
	for {
		select {
		case <-ctx.Done():
			return
		case <-servers:
			g.dispatcher.PruneServers(g.follower.View.Servers.Get())
		case <-fleet:
		case <-table:
			g.mu.Lock()
			g.tableSince = g.Clock.Now()
			g.mu.Unlock()
			continue
		}
		g.mu.Lock()
		close(g.changed)
		g.changed = make(chan struct{})
		g.mu.Unlock()
	}
}

// Changed implements pipeline.Forwarding.
func (g *Gateway) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// Table implements pipeline.Forwarding and Admission.
func (g *Gateway) Table() *route.Table { return g.follower.View.Table.Get() }

// IsConfirmed implements pipeline.Forwarding.
func (g *Gateway) IsConfirmed() bool { return g.confirmedWithin(confirmShare) }

// IsStopping implements Admission.
func (g *Gateway) IsStopping() bool { return g.stopping.Load() }

// TrackRequest implements Admission.
func (g *Gateway) TrackRequest() func() {
	g.inFlight.Add(1)
	return func() { g.inFlight.Add(-1) }
}

// fleet returns the view of the fleet, empty before the first reading.
func (g *Gateway) fleet() follower.Fleet {
	if f := g.follower.View.Fleet.Get(); f != nil {
		return *f
	}
	return follower.Fleet{}
}

// members returns the names of all instances, this one included.
func (g *Gateway) members() []string {
	fleet := g.fleet()
	names := make([]string, 0, len(fleet.Instances)+1)
	for name := range fleet.Instances {
		names = append(names, name)
	}
	if _, ok := fleet.Instances[g.Settings.Instance]; !ok {
		names = append(names, g.Settings.Instance)
	}
	return names
}

// jitter spreads d by a quarter each way, so that instances that started
// together do not call together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}
