package instance

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/distribution"
	"github.com/kingcupyard/kingcupyard/internal/fleet/keeper"
	"github.com/kingcupyard/kingcupyard/internal/fleet/member"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/lease"
	"github.com/kingcupyard/kingcupyard/internal/platform/order"
	"github.com/kingcupyard/kingcupyard/internal/platform/request"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
	"github.com/kingcupyard/kingcupyard/internal/platform/weights"
	"github.com/kingcupyard/kingcupyard/internal/release/rollout"
	"github.com/kingcupyard/kingcupyard/internal/routing/cascade"
)

// driverKey is the store key of the lease to drive rollouts.
const driverKey = "kingcupyard/Driver/Rollout"

// driverLease is the lease to drive rollouts.
type driverLease struct {
	lock *lease.Lock
	held atomic.Bool
}

func newDriverLease(in do.Injector) (*driverLease, error) {
	holder := fmt.Sprintf("%s/%d", settingsOf(in).Name, get[*member.Controller](in).Generation())
	return &driverLease{lock: lease.New(get[*store.Client](in), driverKey, holder, clockOf(in))}, nil
}

// Acquire implements rollout.Lease.
func (l *driverLease) Acquire(ctx context.Context) (*rollout.Term, error) {
	t, err := l.lock.Acquire(ctx)
	if err != nil {
		return nil, err
	}
	l.held.Store(true)
	return &rollout.Term{Fence: t.Fence, Context: t.Context, Release: func() {
		l.held.Store(false)
		t.Release()
	}}, nil
}

// rolloutEditor applies the driver's changes to the configuration.
type rolloutEditor struct {
	editor *distribution.Editor
}

// Change implements rollout.Editor.
func (e rolloutEditor) Change(ctx context.Context, id, summary string, edit func(*configuration.Document) error) (int64, error) {
	return e.editor.Change(ctx, distribution.Edit{ID: id, Operator: "rollout", Summary: summary}, edit)
}

// engineOrders sends the driver's load and unload orders to backend servers.
type engineOrders struct {
	client *order.Client
}

// Send implements rollout.OrderSender.
func (o engineOrders) Send(ctx context.Context, newOrder rollout.Order) error {
	err := o.client.Send(ctx, newOrder.Address, order.Order{Kind: order.Kind(newOrder.Kind), Model: newOrder.Model, Version: newOrder.Version, Fence: newOrder.Fence})
	var fenced *order.FencedError
	if errors.As(err, &fenced) {
		return &rollout.FencedError{Fence: newOrder.Fence, Newest: newOrder.Fence + 1}
	}
	return err
}

// weightPermits asks the weight store for a permit before a model is loaded.
type weightPermits struct {
	client *weights.Client
}

// Permit implements rollout.WeightStore.
func (w weightPermits) Permit(ctx context.Context, model, version string) error {
	err := w.client.Permit(ctx, model, version)
	var limited *weights.RateLimitError
	if errors.As(err, &limited) {
		return &rollout.RateLimitError{RetryAfter: limited.RetryAfter}
	}
	return err
}

// unlimitedWeights permits every load. It is used if no weight store is configured.
type unlimitedWeights struct{}

// Permit implements rollout.WeightStore.
func (unlimitedWeights) Permit(context.Context, string, string) error { return nil }

func newDriver(in do.Injector) (*rollout.Driver, error) {
	s, http := settingsOf(in), get[*request.Client](in)
	var permits rollout.WeightStore = unlimitedWeights{}
	if s.Weights != "" {
		permits = weightPermits{weights.New(s.Weights, http)}
	}
	return rollout.NewDriver(get[*board.Board](in), get[*rollout.Evidence](in), get[*driverLease](in),
		rolloutEditor{get[*distribution.Editor](in)}, engineOrders{order.New(http)}, permits,
		rollout.WithClock(clockOf(in)), rollout.WithLogger(get[*zap.Logger](in))), nil
}

const (
	// smallFleetSize is the maximum number of members with which all evidence is
	// sent to every member.
	smallFleetSize = 16
	// The interval between collections is evidenceIntervalPerMember times the
	// number of members, and at least minEvidenceInterval. The rate at which the
	// collector receives evidence therefore does not grow with the fleet.
	evidenceIntervalPerMember = 120 * time.Millisecond
	minEvidenceInterval       = time.Second
	// evidenceKey is the key whose keeper collects evidence in a small fleet.
	evidenceKey = "Evidence"
)

// evidenceExchange merges the evidence of all instances. The rollout driver
// collects it. In a small fleet, a keeper collects it as well, and the collector
// sends all evidence to every member, so that a bad version is stopped even if
// the store is unavailable.
type evidenceExchange struct {
	board           *board.Board
	evidence        *rollout.Evidence
	cascadeEvidence *cascade.Exchange
	lease           *driverLease
	client          *peer.Client
	clock           clockwork.Clock
}

func newEvidenceExchange(in do.Injector) (*evidenceExchange, error) {
	return &evidenceExchange{get[*board.Board](in), get[*rollout.Evidence](in), get[*cascade.Exchange](in), get[*driverLease](in), get[*peer.Client](in), clockOf(in)}, nil
}

// Run collects evidence, whenever this instance is a collector, until ctx is
// done.
func (e *evidenceExchange) Run(ctx context.Context) error {
	for {
		members := e.board.Members.Get()
		if members != nil && e.isCollector(members) {
			e.collect(ctx, members)
		}
		size := 1
		if members != nil {
			size = len(members.List)
		}
		select {
		case <-e.clock.After(max(minEvidenceInterval, time.Duration(size)*evidenceIntervalPerMember)):
		case <-ctx.Done():
			return nil
		}
	}
}

// isCollector reports whether this instance holds the driver lease or, in a small
// fleet, is the keeper of the evidence key.
func (e *evidenceExchange) isCollector(members *board.Members) bool {
	if e.lease.held.Load() {
		return true
	}
	k, ok := keeper.Lookup(members.List, evidenceKey)
	return ok && k.Name == members.Self && len(members.List) <= smallFleetSize
}

// collect requests the local counters of every other member and merges them. In
// a small fleet the request carries all counters known here.
func (e *evidenceExchange) collect(ctx context.Context, members *board.Members) {
	req := &peer.EvidenceRequest{}
	if len(members.List) <= smallFleetSize {
		req.Counters = append(rolloutMessages(e.evidence.AllCounters()), cascadeMessages(e.cascadeEvidence.Counters(e.clock.Now()))...)
	}
	for _, m := range members.List {
		if m.Name == members.Self {
			continue
		}
		resp, err := e.client.Evidence(ctx, m.PeerAddress, req)
		if err == nil {
			e.merge(resp.Counters)
		}
	}
}

// Evidence implements peer.EvidenceHandler.
func (e *evidenceExchange) Evidence(_ context.Context, req *peer.EvidenceRequest) (*peer.EvidenceResponse, error) {
	e.merge(req.Counters)
	local := append(rolloutMessages(e.evidence.LocalCounters()), cascadeMessages(e.cascadeEvidence.Counters(e.clock.Now()))...)
	return &peer.EvidenceResponse{Counters: local}, nil
}

// merge merges the rollout and cascade counters in list. Each side ignores the
// counters of the other kind.
func (e *evidenceExchange) merge(list []*peer.Counter) {
	e.evidence.Merge(rolloutCounters(list))
	cascadeCounters := lo.FilterMap(list, func(c *peer.Counter, _ int) (cascade.Counter, bool) { return cascade.CounterFromMessage(c) })
	e.cascadeEvidence.Merge(cascadeCounters, e.clock.Now())
}

func cascadeMessages(list []cascade.Counter) []*peer.Counter {
	return lo.Map(list, func(c cascade.Counter, _ int) *peer.Counter { return c.Message() })
}

func rolloutMessages(list []rollout.Counter) []*peer.Counter {
	return lo.Map(list, func(c rollout.Counter, _ int) *peer.Counter { return c.Message() })
}

func rolloutCounters(list []*peer.Counter) []rollout.Counter {
	return lo.Map(list, func(c *peer.Counter, _ int) rollout.Counter { return rollout.CounterFromMessage(c) })
}

// changeWatcher notifies the cascade when the served versions of a model change.
type changeWatcher struct {
	board   *board.Board
	decider *cascade.Decider
}

// Run compares each new configuration with the previous one until ctx is done.
func (w changeWatcher) Run(ctx context.Context) error {
	changed, unsubscribe := w.board.Configuration.Subscribe()
	defer unsubscribe()
	previous := w.board.Configuration.Get()
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
		current := w.board.Configuration.Get()
		for _, name := range changedModels(previous, current) {
			w.decider.ModelChanged(name)
		}
		previous = current
	}
}

// changedModels returns the names of the models whose default version or rollout
// share differs between two configurations.
func changedModels(before, after *configuration.Document) []string {
	if before == nil || after == nil {
		return nil
	}
	share := func(d *configuration.Document, model string) float64 {
		if r := d.LatestRollout(model); r != nil {
			return r.Share()
		}
		return 0
	}
	return lo.FilterMap(after.Models, func(m configuration.Model, _ int) (string, bool) {
		old := before.Model(m.Name)
		return m.Name, old != nil && (old.Default != m.Default || share(before, m.Name) != share(after, m.Name))
	})
}
