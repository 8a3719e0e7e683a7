package rollout

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

const (
	// orderRepeatInterval is the time after which an order is sent again if the
	// server's load report does not yet show its effect.
	orderRepeatInterval = 30 * time.Second
	// loadTimeout is the time after which an unfinished load no longer blocks
	// other loads in its data centre.
	loadTimeout = 5 * time.Minute
	// drainDuration is how long a withdrawn version stays loaded for the
	// requests that run on it.
	drainDuration = 10 * time.Minute
	// weightStoreBackoff is how long loads are paused after the weight store
	// failed.
	weightStoreBackoff = 5 * time.Second
	// orderTimeout limits the time for sending one order, and for one request
	// to the weight store.
	orderTimeout = 2 * time.Second
)

// loader brings the versions that servers run closer to those in the document.
// Each pass compares the servers' load reports with the document. A later pass
// thus corrects an order that got lost, and a late order of an earlier driver
// to an engine that does not check fencing tokens.
type loader struct {
	orders  OrderSender
	weights WeightStore
	// lastSent holds the time of the latest order for a server and version.
	lastSent map[orderKey]time.Time
	// firstSent holds the time of the first order, kept until its effect shows
	// in a load report or the load timeout has passed.
	firstSent map[orderKey]time.Time
	// loadTimeouts counts the loads of each server that timed out. Servers with
	// more of them are chosen last.
	loadTimeouts map[string]int
	// loadsPausedUntil is the time until which no loads are sent because the
	// weight store refused or failed.
	loadsPausedUntil time.Time
}

type orderKey struct {
	server string
	kind   OrderKind
	loaded board.LoadedVersion
}

func newLoader(orders OrderSender, weights WeightStore) *loader {
	return &loader{
		orders: orders, weights: weights,
		lastSent:     map[orderKey]time.Time{},
		firstSent:    map[orderKey]time.Time{},
		loadTimeouts: map[string]int{},
	}
}

// reconcile sends the orders that are due.
func (l *loader) reconcile(ctx context.Context, fence int64, doc *configuration.Document, servers *board.Servers, now time.Time) error {
	if servers == nil {
		return nil
	}
	l.pruneOrders(servers, now)
	due := append(l.dueUnloads(doc, servers, now), l.dueLoads(doc, servers, now)...)
	var errs []error
	for _, o := range due {
		o.Fence = fence
		err := l.send(ctx, o, now)
		if isFenced(err) {
			return err
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// pruneOrders forgets orders whose effect the load reports show, orders that
// timed out, and orders to servers that are gone.
func (l *loader) pruneOrders(servers *board.Servers, now time.Time) {
	isShown := func(k orderKey) bool {
		i := slices.IndexFunc(servers.List, func(s board.Server) bool { return s.Name == k.server })
		return i < 0 || servers.List[i].HasLoaded(k.loaded.Model, k.loaded.Version) == (k.kind == OrderLoad)
	}
	for k, at := range l.firstSent {
		late := now.Sub(at) >= loadTimeout
		if late && k.kind == OrderLoad {
			events.Add("LoadTimeout", 1)
			l.loadTimeouts[k.server]++
		}
		if late || isShown(k) {
			delete(l.lastSent, k)
			delete(l.firstSent, k)
		}
	}
}

func (l *loader) send(ctx context.Context, o Order, now time.Time) error {
	if o.Kind == OrderLoad {
		if now.Before(l.loadsPausedUntil) {
			return nil
		}
		if err := l.requestPermit(ctx, o, now); err != nil {
			return err
		}
	}
	key := orderKey{o.Server, o.Kind, board.LoadedVersion{Model: o.Model, Version: o.Version}}
	l.lastSent[key] = now
	if _, ok := l.firstSent[key]; !ok {
		l.firstSent[key] = now
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := l.orders.Send(ctx, o); err != nil {
		events.Add("OrderFailed", 1)
		return fmt.Errorf("send order %s %s@%s to server %s: %w", o.Kind, o.Model, o.Version, o.Server, err)
	}
	events.Add("Order"+string(o.Kind), 1)
	return nil
}

func (l *loader) requestPermit(ctx context.Context, o Order, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := l.weights.Permit(ctx, o.Model, o.Version)
	var limited *RateLimitError
	if errors.As(err, &limited) {
		events.Add("WeightsLimited", 1)
		l.loadsPausedUntil = now.Add(limited.RetryAfter)
	} else if err != nil {
		l.loadsPausedUntil = now.Add(weightStoreBackoff)
	}
	if err != nil {
		return fmt.Errorf("request weights of %s@%s: %w", o.Model, o.Version, err)
	}
	return nil
}

// isDue reports whether an order was never sent, or last sent at least
// orderRepeatInterval ago.
func (l *loader) isDue(server string, kind OrderKind, model, version string, now time.Time) bool {
	at, ok := l.lastSent[orderKey{server, kind, board.LoadedVersion{Model: model, Version: version}}]
	return !ok || now.Sub(at) >= orderRepeatInterval
}

// dueUnloads returns the orders to unload withdrawn versions whose drain time
// has passed.
func (l *loader) dueUnloads(doc *configuration.Document, servers *board.Servers, now time.Time) []Order {
	var due []Order
	for i := range servers.List {
		s := &servers.List[i]
		for _, loaded := range s.Report.Loaded {
			m := doc.Model(loaded.Model)
			if m == nil {
				continue
			}
			v := m.Version(loaded.Version)
			if v == nil || v.State != configuration.VersionWithdrawn || now.Sub(v.WithdrawnAt) < drainDuration {
				continue
			}
			if l.isDue(s.Name, OrderUnload, m.Name, v.Name, now) {
				due = append(due, Order{Server: s.Name, Address: s.Address, Kind: OrderUnload, Model: m.Name, Version: v.Name})
			}
		}
	}
	return due
}

// dueLoads returns the load orders that prepare servers for the next stage,
// with at most one load at a time in each data centre.
func (l *loader) dueLoads(doc *configuration.Document, servers *board.Servers, now time.Time) []Order {
	var due []Order
	for _, m := range doc.Models {
		r := doc.LatestRollout(m.Name)
		if r == nil || targetShare(r) == 0 {
			continue
		}
		due = append(due, l.dueLoadsFor(doc, servers, r, now)...)
	}
	return due
}

// targetShare returns the share of sessions that the servers should be able to
// serve.
func targetShare(r *configuration.Rollout) float64 {
	switch r.State {
	case configuration.RolloutPreparing:
		return r.Stages[r.Stage]
	case configuration.RolloutRunning:
		return r.Stages[min(r.Stage+1, len(r.Stages)-1)]
	case configuration.RolloutComplete:
		return 1
	}
	return 0
}

func (l *loader) dueLoadsFor(doc *configuration.Document, servers *board.Servers, r *configuration.Rollout, now time.Time) []Order {
	var due []Order
	c := capacityOf(servers, doc, r, now)
	missing := c.wantedServers(targetShare(r)) - c.Loaded
	loadedIn := map[string]int{} // servers of the new version, by data centre
	busy := map[string]bool{}
	var candidates []*board.Server
	for _, s := range poolOf(servers, doc, r.Model) {
		key := orderKey{s.Name, OrderLoad, board.LoadedVersion{Model: r.Model, Version: r.To}}
		_, loading := l.firstSent[key]
		switch {
		case s.HasLoaded(r.Model, r.To):
			loadedIn[s.DataCentre]++
			busy[s.DataCentre] = busy[s.DataCentre] || s.Report.Cold
		case loading:
			missing--
			loadedIn[s.DataCentre]++
			busy[s.DataCentre] = true
			if l.isDue(s.Name, OrderLoad, r.Model, r.To, now) {
				due = append(due, loadOrder(s, r))
			}
		case s.HasLoaded(r.Model, r.From):
			candidates = append(candidates, s)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *board.Server) int {
		return cmp.Or(cmp.Compare(l.loadTimeouts[a.Name], l.loadTimeouts[b.Name]), cmp.Compare(loadedIn[a.DataCentre], loadedIn[b.DataCentre]), cmp.Compare(a.Name, b.Name))
	})
	for _, s := range candidates {
		if missing <= 0 {
			break
		}
		if busy[s.DataCentre] {
			continue
		}
		busy[s.DataCentre] = true
		missing--
		due = append(due, loadOrder(s, r))
	}
	return due
}

func loadOrder(s *board.Server, r *configuration.Rollout) Order {
	return Order{Server: s.Name, Address: s.Address, Kind: OrderLoad, Model: r.Model, Version: r.To}
}
