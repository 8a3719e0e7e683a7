package follower

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// BootClock measures time that goes on while the machine is suspended.
type BootClock interface {
	// Elapsed is the time since a fixed moment before the process began.
	Elapsed() time.Duration
}

// View is what an instance believes. The follower is the only writer.
type View struct {
	Table   board.Section[route.Table]
	Servers board.Section[backend.Listing]
	Fleet   board.Section[Fleet]
}

// Fleet is the part of the view that concerns operators' orders and the
// instances themselves. It is immutable.
type Fleet struct {
	// Closed holds the data centres that are out of service.
	Closed    map[string]bool
	Orders    map[string]Order
	Stages    map[string]Stage
	Instances map[string]Instance
	Driver    Driver
}

// Settings of a follower.
type Settings struct {
	// WatchWait is how long a watch waits for a change.
	WatchWait time.Duration
	// WatchPause is the least time between the starts of two watches.
	WatchPause time.Duration
	// ConfirmEvery is how often the routing table's entry is read.
	ConfirmEvery time.Duration
	// Trouble is how long the store may be out of reach before entries that
	// end are taken for lapsed and not for gone.
	Trouble time.Duration
	// Settling is how long after the store's return that holds.
	Settling time.Duration
	// LapseGrace is how long a lapsed server stays in use.
	LapseGrace time.Duration
}

// DefaultSettings are the settings that instances use.
var DefaultSettings = Settings{
	WatchWait:    time.Second,
	WatchPause:   350 * time.Millisecond,
	ConfirmEvery: time.Second,
	Trouble:      time.Second,
	Settling:     3 * time.Second,
	LapseGrace:   2200 * time.Millisecond,
}

// Follower follows the store. Build it with New.
type Follower struct {
	View     View
	settings Settings
	store    Store
	clock    clockwork.Clock
	boot     BootClock
	log      *zap.Logger

	mu        sync.Mutex
	directory *backend.Directory
	fleet     Fleet
	table     int64 // revision of the table's entry
	version   int64 // version of the table in force
	// confirmedAt is the boot clock's time at which the last successful
	// reading of the table's entry was asked for.
	confirmedAt time.Duration
	confirmed   bool
	// contactAt is when the store last answered.
	contactAt time.Time
	// failures counts the calls that failed since then.
	failures int
	// troubledUntil is when entries that end are gone for good again.
	troubledUntil time.Time
	unreachable   bool
}

var events = expvar.NewMap("Follower")

// Option changes a Follower.
type Option func(*Follower)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(f *Follower) { f.clock = c } }

// WithBootClock sets the clock that confirmations are measured by.
func WithBootClock(b BootClock) Option { return func(f *Follower) { f.boot = b } }

// WithLogger sets the log.
func WithLogger(l *zap.Logger) Option { return func(f *Follower) { f.log = l } }

// WithSettings replaces the default settings.
func WithSettings(s Settings) Option { return func(f *Follower) { f.settings = s } }

// New returns a follower that knows nothing yet.
func New(store Store, opts ...Option) *Follower {
	f := &Follower{settings: DefaultSettings, store: store, clock: clockwork.NewRealClock(), boot: systemBoot{}, log: zap.NewNop()}
	for _, opt := range opts {
		opt(f)
	}
	f.directory = backend.NewDirectory(f.settings.LapseGrace)
	f.fleet = Fleet{Closed: map[string]bool{}, Orders: map[string]Order{}, Stages: map[string]Stage{}, Instances: map[string]Instance{}}
	f.contactAt = f.clock.Now()
	return f
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.confirmLoop(ctx) })
	f.watchLoop(ctx)
	group.Wait()
}

// retryPause is the pause after a call that failed.
const retryPause = 150 * time.Millisecond

func (f *Follower) watchLoop(ctx context.Context) {
	revision := int64(-1)
	for ctx.Err() == nil {
		began := f.clock.Now()
		changes, next, err := f.step(ctx, revision)
		var lost *HistoryLostError
		switch {
		case errors.As(err, &lost):
			events.Add("HistoryLost", 1)
			f.log.Warn("StoreHistoryLost", zap.Int64("After", revision))
			revision = -1
			continue
		case err != nil:
			f.failed(err)
			f.pause(ctx, retryPause)
			continue
		}
		f.take(changes, next, revision < 0)
		revision = max(next, 0)
		f.pause(ctx, f.settings.WatchPause-f.clock.Since(began))
	}
}

func (f *Follower) step(ctx context.Context, revision int64) ([]Change, int64, error) {
	if revision < 0 {
		return f.store.Load(ctx)
	}
	return f.store.Watch(ctx, revision, f.settings.WatchWait)
}

func (f *Follower) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		known := f.table
		f.mu.Unlock()
		asked := f.boot.Elapsed()
		change, err := f.store.Confirm(ctx, known)
		if err != nil {
			f.failed(err)
			f.pause(ctx, retryPause)
			continue
		}
		f.mu.Lock()
		f.reached()
		f.apply(change)
		// Only a table that was read confirms: without one nothing is known.
		if f.table > 0 && change.Revision > 0 {
			f.confirmedAt, f.confirmed = asked, true
		}
		f.mu.Unlock()
		f.pause(ctx, f.settings.ConfirmEvery)
	}
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

// failed notes a call that the store did not answer properly.
func (f *Follower) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	events.Add("CallFailed", 1)
	f.failures++
	if !f.unreachable && f.clock.Since(f.contactAt) > f.settings.Trouble {
		f.unreachable = true
		f.log.Warn("StoreLost", zap.Duration("Since", f.clock.Since(f.contactAt)), zap.Error(err))
	}
}

// reached notes an answer of the store. After an outage, entries that end are
// for a while taken for lapsed.
func (f *Follower) reached() {
	now := f.clock.Now()
	// Without a failed call the silence was our own pause.
	if silence := now.Sub(f.contactAt); silence > f.settings.Trouble && f.failures > 0 {
		f.troubledUntil = now.Add(f.settings.Settling)
		f.unreachable = false
		f.log.Info("StoreRegained", zap.Duration("After", silence))
	}
	f.contactAt, f.failures = now, 0
}

// take applies changes of the store. A whole reading replaces the directory.
func (f *Follower) take(changes []Change, revision int64, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reached()
	now := f.clock.Now()
	trouble := now.Before(f.troubledUntil)
	changed := f.directory.Expire(now)
	var listed []backend.Server
	for _, c := range changes {
		if s, ok := c.Subject.(backend.Server); ok && whole {
			listed = append(listed, s)
			continue
		}
		if f.apply(c) {
			changed = true
		}
	}
	if whole {
		f.forget(changes)
		if f.directory.Replace(listed, revision, trouble, now) {
			changed = true
		}
	}
	if changed || whole {
		f.View.Servers.Publish(f.directory.Listing())
	}
}

// forget drops what a whole reading no longer holds.
func (f *Follower) forget(changes []Change) {
	present := map[any]bool{}
	for _, c := range changes {
		switch s := c.Subject.(type) {
		case Closure:
			present[Closure{DataCentre: s.DataCentre}] = true
		case Order:
			present[Order{Service: s.Service}] = true
		case Instance:
			present[Instance{Name: s.Name}] = true
		case Driver:
			present[Driver{}] = true
		}
	}
	fleet := f.fleet.clone()
	for name := range fleet.Closed {
		if !present[Closure{DataCentre: name}] {
			delete(fleet.Closed, name)
		}
	}
	for name := range fleet.Orders {
		if !present[Order{Service: name}] {
			delete(fleet.Orders, name)
		}
	}
	for name := range fleet.Instances {
		if !present[Instance{Name: name}] {
			delete(fleet.Instances, name)
		}
	}
	if !present[Driver{}] {
		fleet.Driver = Driver{}
	}
	f.publish(fleet)
}

// apply takes in one change. It reports whether the servers' listing changed.
func (f *Follower) apply(c Change) bool {
	now := f.clock.Now()
	switch s := c.Subject.(type) {
	case *route.Table:
		f.applyTable(s, c.Revision)
		return false
	case backend.Server:
		changed := f.directory.Announce(s, now)
		f.log.Info("ServerAnnounced", zap.String("Server", s.ID), zap.String("State", string(s.State)), zap.String("Version", s.Version),
			zap.Duration("ColdLeft", s.ColdLeft), zap.Int64("Sequence", s.Sequence), zap.Int64("Born", s.Born), zap.Int64("Revision", c.Revision),
			zap.Bool("Changed", changed))
		return changed
	case ServerGone:
		trouble := now.Before(f.troubledUntil)
		changed := f.directory.Withdraw(s.ID, c.Revision, trouble, now)
		if changed {
			f.log.Info("ServerGone", zap.String("Server", s.ID), zap.Int64("Revision", c.Revision), zap.Bool("StoreTrouble", trouble))
		}
		return changed
	}
	fleet := f.fleet.clone()
	if fleet.apply(c.Subject) {
		f.log.Info("FleetChanged", zap.String("Key", c.Key), zap.Int64("Revision", c.Revision), zap.String("Subject", fmt.Sprintf("%+v", c.Subject)))
		f.publish(fleet)
	}
	return false
}

func (f *Follower) publish(fleet Fleet) {
	f.fleet = fleet
	f.View.Fleet.Publish(&fleet)
}

// applyTable puts a table in force unless a newer one is already.
func (f *Follower) applyTable(t *route.Table, revision int64) {
	if t == nil || revision <= f.table {
		return
	}
	f.table = revision
	if t.Version <= f.version {
		return
	}
	f.version = t.Version
	f.View.Table.Publish(t)
	f.log.Info("TableInForce", zap.Int64("Version", t.Version), zap.Int64("Revision", revision), zap.Int("Routes", len(t.Routes)))
}

// Confirmed returns how old the last confirmation of the routing table is. It
// reports false if there is none yet.
func (f *Follower) Confirmed() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boot.Elapsed() - f.confirmedAt, f.confirmed
}

func (l Fleet) clone() Fleet {
	clone := Fleet{Closed: map[string]bool{}, Orders: map[string]Order{}, Stages: map[string]Stage{}, Instances: map[string]Instance{}, Driver: l.Driver}
	for k, v := range l.Closed {
		clone.Closed[k] = v
	}
	for k, v := range l.Orders {
		clone.Orders[k] = v
	}
	for k, v := range l.Stages {
		clone.Stages[k] = v
	}
	for k, v := range l.Instances {
		clone.Instances[k] = v
	}
	return clone
}

// apply reports whether the subject changed anything.
func (l *Fleet) apply(subject any) bool {
	switch s := subject.(type) {
	case Closure:
		return put(l.Closed, s.DataCentre, true, s.Ended)
	case Order:
		return put(l.Orders, s.Service, s, s.Ended)
	case Stage:
		return put(l.Stages, s.Service, s, s.Ended)
	case Instance:
		return put(l.Instances, s.Name, s, s.Ended)
	case Driver:
		if s.Ended {
			s = Driver{}
		}
		changed := l.Driver != s
		l.Driver = s
		return changed
	}
	return false
}

func put[V comparable](m map[string]V, key string, value V, ended bool) bool {
	old, had := m[key]
	if ended {
		delete(m, key)
		return had
	}
	m[key] = value
	return !had || old != value
}
