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

	"github.com/kingcupyard/kingcupyard/internal/billing/tally"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
	"github.com/kingcupyard/kingcupyard/internal/fleet/tenure"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/connection"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/internal/routing/allowance"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
	"github.com/kingcupyard/kingcupyard/internal/routing/sizing"
)

// Store is the platform's store, as far as a gateway uses it.
type Store interface {
	follower.Store
	// GrantLease opens a lease. RenewLease renews it and reports false if it has
	// ended. RevokeLease ends it and removes its keys, unless its era is over.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	RenewLease(ctx context.Context, lease Lease) (bool, error)
	RevokeLease(ctx context.Context, lease Lease) error
	// Register announces this instance until the lease ends, and returns the revision
	// of the announcement.
	Register(ctx context.Context, lease Lease, i follower.Instance) (at revision.Revision, err error)
	// Unregister removes an instance's announcement if it is still at the revision.
	Unregister(ctx context.Context, name string, at revision.Revision) (bool, error)
	// BecomeDriver makes the instance the driver of rollouts until the lease
	// ends, if the driver's entry is still at the revision, unknown for none. It
	// reports whether the instance became the driver, and the entry's new revision.
	BecomeDriver(ctx context.Context, lease Lease, instance string, at revision.Revision) (revision.Revision, bool, error)
	// RecordProgress writes the progress of a rollout, and its status for the
	// operator, if the stored progress is still at p.Revision and the driver's
	// entry at driver.Revision. It reports whether it has written them.
	RecordProgress(ctx context.Context, p follower.RolloutProgress, driver follower.Driver) (bool, error)
	// Quarantine quarantines a prompt part for a time, unless it already is.
	Quarantine(ctx context.Context, part string, crashes int, d time.Duration) error
	// WriteTallies replaces stored tallies by those that are due, if the stored
	// ones are still at the marks in written. It writes all and reports true,
	// or none and reports false. The returned marks are what it has learnt of
	// the stored tallies.
	WriteTallies(ctx context.Context, due []tally.Tally, written map[string]tally.WriteMark) (marks map[string]tally.WriteMark, done bool, err error)
}

// Lease is a lease in the store. The zero value stands for none.
type Lease struct {
	ID int64
	// Era is the era in which the store has it. In another one, its ID may be that of
	// another lease.
	Era int64
}

// Codec translates the headers of callers and backend servers.
type Codec interface {
	pipeline.HeaderEncoder
	attempt.Dialect
}

// Admission is what the callers' handler needs to know of the instance.
type Admission interface {
	// Table returns the current routing table, or nil.
	Table() *route.Table
	// TableAge returns the time since the table was last confirmed to be the current
	// one. It reports false if it never was.
	TableAge() (time.Duration, bool)
	// IsTableCurrent reports whether the table was confirmed within MaxApplyDelay, so
	// that no newer one is due yet.
	IsTableCurrent() bool
	// TrackRequest counts a request as in flight until the returned function is
	// called.
	TrackRequest() func()
	// IsStopping reports whether the instance is shutting down.
	IsStopping() bool
	// MayFinish reports whether a call with the given deadline may still be
	// accepted. A stopping instance accepts any call until the load balancer
	// has noticed, then only calls whose deadline is before it gives up calls.
	MayFinish(deadline time.Time) bool
}

// Dependencies holds the settings and the parts from which New builds a
// Gateway.
type Dependencies struct {
	Settings Settings
	Store    Store
	Codec    Codec
	// Decode parses an entry of the store.
	Decode func(follower.Item) follower.Change
	// NewHandler returns the HTTP handler for callers.
	NewHandler func(a Admission, f *pipeline.Forwarder) http.Handler
	// WrapListener wraps the listener for callers; nil leaves it as it is.
	WrapListener func(net.Listener) net.Listener
	// ReadyPath is the URL path of the readiness check.
	ReadyPath string
	// MetricsAddress is the address at which counters and histograms are
	// served; none are if it is empty.
	MetricsAddress string
	Clock          clockwork.Clock
	Log            *zap.Logger
}

// Gateway is one instance on the platform. Build it with New.
type Gateway struct {
	Dependencies
	follower   *follower.Follower
	dispatcher *dispatch.Dispatcher
	forwarder  *pipeline.Forwarder
	client     *attempt.Client
	rollouts   *rollouts
	membership *membership
	absences   *absences
	peers      *peers
	feeds      *feeds
	billing    *billing
	crashes    *crashes
	rooms      *rooms
	tenure     *tenure.Tracker
	// calibration relates models' confidence to the quality of their answers.
	calibration *sizing.Calibration
	// runID distinguishes this run of the instance from earlier ones.
	runID int64
	// memory is what connections, requests and answers may take together.
	memory *callMemory

	// latestSettings holds the settings as last reloaded.
	latestSettings atomic.Pointer[Settings]

	// latestIndex is the index of a recent view of the fleet.
	latestIndex atomic.Pointer[fleetIndex]
	indexMu     sync.Mutex

	stopping atomic.Bool
	// giveUpAt is when a stopping instance gives up the calls that are still in flight.
	// From refuseFrom on it refuses calls whose deadline is later than that.
	giveUpAt   atomic.Pointer[time.Time]
	refuseFrom atomic.Pointer[time.Time]
	inFlight   atomic.Int64
	// callContext is the parent of the contexts of all calls, which giveUpCalls ends.
	callContext context.Context
	giveUpCalls context.CancelCauseFunc

	mu           sync.Mutex
	retryBudgets map[string]*allowance.RetryBudget
	// viewChanged is closed and replaced when the servers or the fleet change.
	viewChanged chan struct{}
	// tableChangedAt is when the current routing table was applied.
	tableChangedAt time.Time
}

const (
	// localRoundTrip and remoteRoundTrip are the round-trip times within a data
	// centre and between data centres of a region, from the users' data sheets.
	localRoundTrip  = 500 * time.Microsecond
	remoteRoundTrip = 9 * time.Millisecond
	// crossDataCentreCost expresses the price of a request's traffic between data
	// centres as a wait. Of 20, 60, 150 and 300 ms, 150 ms gave the best results
	// on both sites.
	crossDataCentreCost = 150 * time.Millisecond
	// failureCost expresses a failed attempt as a wait: about half of a route's
	// latency goal.
	failureCost = time.Second
	// maxIdlePerServer, maxIdleTime and maxConnectionAge bound the pool of
	// connections to backend servers.
	maxIdlePerServer = 4
	maxIdleTime      = 8 * time.Second
	maxConnectionAge = 5 * time.Minute
	// idlePruneInterval is the time between two closings of the idle connections that won't
	// be used any more.
	idlePruneInterval = 5 * time.Second
	// memoryLimitShare is the fraction of the process's memory limit that is set
	// as the Go runtime's soft limit. The rest covers stacks, sockets and memory
	// that the runtime has not yet returned.
	memoryLimitShare = 0.6
	// confirmedShare is the fraction of MaxRevokeDelay for which a confirmation
	// of the routing table is valid. Its age counts from before it was requested,
	// and a request is sent before it is checked, so that a small margin is
	// enough.
	confirmedShare = 0.95
	// readyConfirmedShare is the fraction of MaxRevokeDelay after which the
	// instance reports that it is not ready.
	readyConfirmedShare = 0.6
)

// New returns a gateway that has not been started.
func New(deps Dependencies) *Gateway {
	s := deps.Settings
	g := &Gateway{Dependencies: deps, retryBudgets: map[string]*allowance.RetryBudget{}, viewChanged: make(chan struct{})}
	g.latestSettings.Store(&s)
	g.callContext, g.giveUpCalls = context.WithCancelCause(context.Background())
	g.feeds = &feeds{gateway: g, client: newFeedClient()}
	g.follower = follower.New(deps.Store, deps.Decode, follower.WithClock(deps.Clock), follower.WithLogger(deps.Log),
		follower.WithUpstream(g.feeds.upstream), follower.WithSettings(followerSettings(s)))
	g.dispatcher = dispatch.New(dispatch.Settings{
		Instance: s.Instance, DataCentre: s.DataCentre, LocalRoundTrip: localRoundTrip, RemoteRoundTrip: remoteRoundTrip,
		CrossDataCentreCost: crossDataCentreCost, FailureCost: failureCost, ColdOverrun: s.ColdOverrun, ColdSlack: s.ColdSlack,
	})
	g.memory = newCallMemory(s)
	g.client = attempt.New(attempt.WithClock(deps.Clock), attempt.WithPoolLimits(maxIdlePerServer, maxIdleTime, maxConnectionAge))
	g.rollouts = newRollouts(g)
	g.membership = &membership{gateway: g}
	g.absences = newAbsences(g)
	g.peers = &peers{gateway: g}
	g.crashes = newCrashes(g)
	g.rooms = newRooms(g)
	g.calibration = sizing.NewCalibration()
	g.tenure = tenure.New(s.Instance, maxViewAge(s))
	g.runID = deps.Clock.Now().UnixNano()
	g.billing = &billing{gateway: g, counter: tally.NewCounter(s.Instance, g.runID), copies: tally.NewCopies(), written: map[string]tally.WriteMark{}}
	g.forwarder = pipeline.NewForwarder(g, g.client, deps.Codec, deps.Codec, pipeline.WithForwardClock(deps.Clock), pipeline.WithForwardLogger(deps.Log),
		pipeline.WithAnswerMemory(g.memory.answers), pipeline.WithCalibration(g.calibration), pipeline.WithSampleShare(s.ModelSampleShare))
	return g
}

// currentSettings returns the settings as last reloaded.
func (g *Gateway) currentSettings() *Settings { return g.latestSettings.Load() }

// Reload applies new settings. Names and addresses apply only after a restart.
func (g *Gateway) Reload(s Settings) {
	previous := g.latestSettings.Swap(&s)
	if *previous == s {
		return
	}
	g.dispatcher.SetColdBounds(s.ColdOverrun, s.ColdSlack)
	if previous.RetryRatio != s.RetryRatio || previous.BaseRetries != s.BaseRetries || previous.RetryWindow != s.RetryWindow {
		g.mu.Lock()
		clear(g.retryBudgets)
		g.mu.Unlock()
	}
	g.Log.Info("SettingsReloaded", zap.Bool("RestartNeeded", s.CallersAddress != previous.CallersAddress || s.ReadyAddress != previous.ReadyAddress ||
		s.PeerAddress != previous.PeerAddress || s.StoreAddress != previous.StoreAddress || s.Instance != previous.Instance))
}

// Run serves until the context ends, then shuts down gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(g.Settings.MemoryBytes)))
	readyListener, err := net.Listen("tcp", g.Settings.ReadyAddress)
	if err != nil {
		return err
	}
	callerListener, err := net.Listen("tcp", g.Settings.CallersAddress)
	if err != nil {
		return err
	}
	if err := g.peers.listen(); err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", g.Settings.PeerAddress)
	if err != nil {
		return err
	}
	g.Log.Info("Started", zap.String("DataCentre", g.Settings.DataCentre), zap.String("Callers", g.Settings.CallersAddress))
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	group.Go(func() { g.follower.Run(background) })
	group.Go(func() { g.watchView(background) })
	group.Go(func() { g.membership.run(background) })
	group.Go(func() { g.absences.run(background) })
	group.Go(func() { g.rollouts.run(background) })
	group.Go(func() { g.peers.run(background) })
	group.Go(func() { g.billing.run(background) })
	group.Go(func() { g.crashes.run(background) })
	group.Go(func() { g.rooms.run(background) })
	group.Go(g.peers.receive)
	g.publishGauges()
	if g.MetricsAddress != "" {
		metrics := newInternalServer(expvar.Handler())
		go g.serveMetrics(metrics)
		defer metrics.Close()
	}
	readiness := newInternalServer(g.readinessHandler())
	group.Go(func() { g.serve(readiness, g.boundInternal(readyListener, maxReadyConnections)) })
	peerServer := newInternalServer(g.feeds.handler())
	group.Go(func() { g.serve(peerServer, g.boundInternal(peerListener, g.maxPeerConnections())) })
	callerServer := g.newCallerServer()
	if g.WrapListener != nil {
		callerListener = g.WrapListener(callerListener)
	}
	callers := connection.NewListener(callerListener, maxCallerConnections(g.Settings), connection.WithClock(g.Clock), connection.WithMemory(g.memory.requests))
	g.publishConnections(callers)
	group.Go(func() { g.serve(callerServer, callers) })
	<-ctx.Done()
	g.stop(callerServer)
	cancel()
	readiness.Close()
	peerServer.Close()
	g.peers.conn.Close()
	group.Wait()
	g.takeLeave()
	g.Log.Info("Stopped", zap.Int64("CutOff", g.inFlight.Load()))
	return nil
}

// serveMetrics serves the metrics. A failure is only logged, as the instance
// works without them.
func (g *Gateway) serveMetrics(s *http.Server) {
	l, err := net.Listen("tcp", g.MetricsAddress)
	if err == nil {
		err = s.Serve(g.boundInternal(l, maxMetricsConnections))
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		g.Log.Warn("MetricsNotServed", zap.String("Address", g.MetricsAddress), zap.Error(err))
	}
}

// serve serves connections of the listener until the server is closed.
func (g *Gateway) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		g.Log.Error("ListenerFailed", zap.String("Address", l.Addr().String()), zap.Error(err))
	}
}

// readinessHandler answers the readiness check: 200 if ready, else 503.
func (g *Gateway) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// IsReady reports whether the instance can accept new callers.
func (g *Gateway) IsReady() bool {
	return !g.stopping.Load() && g.follower.IsComplete() && g.isConfirmedWithin(readyConfirmedShare)
}

// isConfirmedWithin reports whether the routing table was confirmed within the
// given fraction of MaxRevokeDelay, or, without StrictRevocation, whether it
// was ever confirmed.
func (g *Gateway) isConfirmedWithin(share float64) bool {
	age, ok := g.follower.ConfirmationAge()
	if !g.currentSettings().StrictRevocation {
		return ok
	}
	return ok && age < time.Duration(share*float64(g.currentSettings().MaxRevokeDelay))
}

// watchView wakes requests that wait for a server when the servers or the fleet
// change, and notes when the routing table changes.
func (g *Gateway) watchView(ctx context.Context) {
	servers, unsubscribeServers := g.follower.View.Servers.Subscribe()
	defer unsubscribeServers()
	fleet, unsubscribeFleet := g.follower.View.Fleet.Subscribe()
	defer unsubscribeFleet()
	table, unsubscribeTable := g.follower.View.Table.Subscribe()
	defer unsubscribeTable()
	prune := g.Clock.NewTicker(idlePruneInterval)
	defer prune.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-prune.Chan():
			g.client.Prune(listedAddresses(g.follower.View.Servers.Get()))
			continue
		case <-servers:
			g.dispatcher.PruneServers(g.follower.View.Servers.Get())
		case <-fleet:
			g.index() // notes who has come and gone
		case <-table:
			g.mu.Lock()
			g.tableChangedAt = g.Clock.Now()
			g.mu.Unlock()
			continue
		}
		g.mu.Lock()
		close(g.viewChanged)
		g.viewChanged = make(chan struct{})
		g.mu.Unlock()
	}
}

// listedAddresses returns the addresses of all servers of a listing.
func listedAddresses(l *backend.Listing) map[string]bool {
	addresses := map[string]bool{}
	if l != nil {
		for _, s := range l.ByID {
			addresses[s.Address] = true
		}
	}
	return addresses
}

// Changed implements pipeline.Fleet.
func (g *Gateway) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.viewChanged
}

// Table implements pipeline.Fleet and Admission.
func (g *Gateway) Table() *route.Table { return g.follower.View.Table.Get() }

// IsConfirmed implements pipeline.Fleet.
func (g *Gateway) IsConfirmed() bool { return g.isConfirmedWithin(confirmedShare) }

// TableAge implements Admission.
func (g *Gateway) TableAge() (time.Duration, bool) { return g.follower.ConfirmationAge() }

// IsTableCurrent implements Admission.
func (g *Gateway) IsTableCurrent() bool {
	age, confirmed := g.follower.ConfirmationAge()
	within := g.currentSettings().MaxApplyDelay
	return confirmed && (within <= 0 || age < within)
}

// IsStopping implements Admission.
func (g *Gateway) IsStopping() bool { return g.stopping.Load() }

// TrackRequest implements Admission.
func (g *Gateway) TrackRequest() func() {
	g.inFlight.Add(1)
	return func() { g.inFlight.Add(-1) }
}

// fleet returns the view of the fleet, empty before the store was first read.
func (g *Gateway) fleet() follower.Fleet {
	if f := g.follower.View.Fleet.Get(); f != nil {
		return *f
	}
	return follower.Fleet{}
}

// jitter returns a random duration within a quarter of d either way, so that
// instances that started together do not act at the same time.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}
