package follower

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
)

// take applies a batch of changes, which shows that the store is in reach
// unless it comes from an instance that is out of its reach itself. A whole
// reading replaces the directory.
func (f *Follower) take(b Batch, inReach bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if inReach {
		f.reached()
	}
	now := f.clock.Now()
	changes := make([]Change, 0, len(b.Items))
	shared := b.Items[:0:0]
	for _, item := range b.Items {
		c := f.decode(item)
		if _, aside := c.Subject.(Ignored); !aside {
			changes, shared = append(changes, c), append(shared, item)
		}
	}
	b.Items = shared
	changed := f.directory.Expire(now)
	if b.Whole {
		f.replace(changes, b.Revision, now)
	}
	for _, c := range changes {
		if f.apply(c) {
			changed = true
		}
	}
	f.history.add(b)
	if b.Whole || b.Revision > f.revision {
		f.revision = b.Revision
	}
	if changed || b.Whole {
		f.View.Servers.Publish(f.directory.Listing())
	}
}

// replace drops what a whole reading no longer holds.
func (f *Follower) replace(changes []Change, revision int64, now time.Time) {
	var listed []backend.Server
	for _, c := range changes {
		if s, ok := c.Subject.(backend.Server); ok {
			listed = append(listed, s)
		}
	}
	f.directory.Replace(listed, revision, f.lapseUntil, now)
	fleet := f.fleet.clone()
	fleet.retain(changes)
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
		if changed {
			f.log.Info("ServerAnnounced", zap.String("Server", s.ID), zap.String("State", string(s.State)), zap.String("Version", s.Version),
				zap.Duration("ColdLeft", s.ColdLeft), zap.Int64("Sequence", s.Sequence), zap.Int64("Revision", c.Revision))
		}
		return changed
	case ServerRemoved:
		changed := f.directory.Remove(s.ID, c.Revision, f.lapseUntil, now)
		if changed {
			f.log.Info("ServerGone", zap.String("Server", s.ID), zap.Int64("Revision", c.Revision), zap.Bool("Lapsed", now.Before(f.lapseUntil)))
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
