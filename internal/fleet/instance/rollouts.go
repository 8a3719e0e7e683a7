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

// driverKey is the duty of driving roll-outs.
const driverKey = "kingcupyard/Driver/Rollout"

// driverLease is the right to drive roll-outs.
type driverLease struct {
	duty    *lease.Lock
	holding atomic.Bool
}

func newDriverLease(in do.Injector) (*driverLease, error) {
	holder := fmt.Sprintf("%s/%d", settingsOf(in).Name, get[*member.Controller](in).Generation())
	return &driverLease{duty: lease.New(get[*store.Client](in), driverKey, holder, clockOf(in))}, nil
}

// Acquire implements rollout.Lease.
func (l *driverLease) Acquire(ctx context.Context) (*rollout.Term, error) {
	t, err := l.duty.Acquire(ctx)
	if err != nil {
		return nil, err
	}
	l.holding.Store(true)
	return &rollout.Term{Fence: t.Fence, Context: t.Context, Release: func() {
		l.holding.Store(false)
		t.Release()
	}}, nil
}

// rolloutEditor makes the driver's changes.
type rolloutEditor struct {
	editor *distribution.Editor
}

// Change implements rollout.Editor.
func (e rolloutEditor) Change(ctx context.Context, id, summary string, edit func(*configuration.Document) error) (int64, error) {
	return e.editor.Change(ctx, distribution.Edit{ID: id, Operator: "rollout", Summary: summary}, edit)
}

// engineOrders sends the driver's orders.
type engineOrders struct {
	client *order.Client
}

// Send implements rollout.Orders.
func (o engineOrders) Send(ctx context.Context, send rollout.Order) error {
	err := o.client.Send(ctx, send.Address, order.Order{Kind: order.Kind(send.Kind), Model: send.Model, Version: send.Version, Fence: send.Fence})
	var fenced *order.FencedError
	if errors.As(err, &fenced) {
		return &rollout.FencedError{Fence: send.Fence, Newest: send.Fence + 1}
	}
	return err
}

// weightPermits asks the weight store before a load.
type weightPermits struct {
	client *weights.Client
}

// Permit implements rollout.Weights.
func (w weightPermits) Permit(ctx context.Context, model, version string) error {
	err := w.client.Permit(ctx, model, version)
	var limited *weights.RateLimitError
	if errors.As(err, &limited) {
		return &rollout.RateLimitError{RetryAfter: limited.RetryAfter}
	}
	return err
}

// freeWeights permits every load, where no weight store is configured.
type freeWeights struct{}

// Permit implements rollout.Weights.
func (freeWeights) Permit(context.Context, string, string) error { return nil }

func newDriver(in do.Injector) (*rollout.Driver, error) {
	s, http := settingsOf(in), get[*request.Client](in)
	var permits rollout.WeightStore = freeWeights{}
	if s.Weights != "" {
		permits = weightPermits{weights.New(s.Weights, http)}
	}
	return rollout.NewDriver(get[*board.Board](in), get[*rollout.Evidence](in), get[*driverLease](in),
		rolloutEditor{get[*distribution.Editor](in)}, engineOrders{order.New(http)}, permits,
		rollout.WithClock(clockOf(in)), rollout.WithLogger(get[*zap.Logger](in))), nil
}

const (
	// smallFleet is up to how many members everybody gets all evidence.
	smallFleet = 16
	// evidencePerMember and evidenceInterval bound how often evidence is
	// collected, so that what the collector receives does not grow with the
	// fleet.
	evidencePerMember = 120 * time.Millisecond
	evidenceInterval  = time.Second
	// evidenceDuty is the key whose keeper collects in a small fleet.
	evidenceDuty = "Evidence"
)

// evidenceExchange merges the evidence of all instances: the driver collects
// it, and in a small fleet one keeper also hands all of it to everybody, so
// that a bad version is stopped while the store is out.
type evidenceExchange struct {
	board    *board.Board
	evidence *rollout.Evidence
	plans    *cascade.Exchange
	lease    *driverLease
	client   *peer.Client
	clock    clockwork.Clock
}

func newEvidenceExchange(in do.Injector) (*evidenceExchange, error) {
	return &evidenceExchange{get[*board.Board](in), get[*rollout.Evidence](in), get[*cascade.Exchange](in), get[*driverLease](in), get[*peer.Client](in), clockOf(in)}, nil
}

// Run collects until the context ends.
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
		case <-e.clock.After(max(evidenceInterval, time.Duration(size)*evidencePerMember)):
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *evidenceExchange) isCollector(members *board.Members) bool {
	if e.lease.holding.Load() {
		return true
	}
	k, ok := keeper.Lookup(members.List, evidenceDuty)
	return ok && k.Name == members.Self && len(members.List) <= smallFleet
}

// collect asks every other member for its own counters.
func (e *evidenceExchange) collect(ctx context.Context, members *board.Members) {
	req := &peer.EvidenceRequest{}
	if len(members.List) <= smallFleet {
		req.Counters = append(messages(e.evidence.AllCounters()), planMessages(e.plans.Counters(e.clock.Now()))...)
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

// Evidence implements peer.EvidenceExchanger.
func (e *evidenceExchange) Evidence(_ context.Context, req *peer.EvidenceRequest) (*peer.EvidenceResponse, error) {
	e.merge(req.Counters)
	own := append(messages(e.evidence.LocalCounters()), planMessages(e.plans.Counters(e.clock.Now()))...)
	return &peer.EvidenceResponse{Counters: own}, nil
}

// merge takes in the counters of both kinds; each side ignores the other's.
func (e *evidenceExchange) merge(list []*peer.Counter) {
	e.evidence.Merge(counters(list))
	plans := lo.FilterMap(list, func(c *peer.Counter, _ int) (cascade.Counter, bool) { return cascade.CounterFromMessage(c) })
	e.plans.Merge(plans, e.clock.Now())
}

func planMessages(list []cascade.Counter) []*peer.Counter {
	return lo.Map(list, func(c cascade.Counter, _ int) *peer.Counter { return c.Message() })
}

func messages(list []rollout.Counter) []*peer.Counter {
	return lo.Map(list, func(c rollout.Counter, _ int) *peer.Counter { return c.Message() })
}

func counters(list []*peer.Counter) []rollout.Counter {
	return lo.Map(list, func(c *peer.Counter, _ int) rollout.Counter { return rollout.CounterFromMessage(c) })
}

// changeWatcher tells the cascade when a model runs another version.
type changeWatcher struct {
	board   *board.Board
	decider *cascade.Decider
}

// Run compares each configuration with the one before.
func (w changeWatcher) Run(ctx context.Context) error {
	changed, unsubscribe := w.board.Configuration.Subscribe()
	defer unsubscribe()
	before := w.board.Configuration.Get()
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
		now := w.board.Configuration.Get()
		for _, name := range changedModels(before, now) {
			w.decider.ModelChanged(name)
		}
		before = now
	}
}

// changedModels lists the models whose default or roll-out share changed.
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
