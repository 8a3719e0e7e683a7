package follower

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// applyBatch applies a batch of changes and publishes what changed. A complete
// batch replaces the current state. storeReachable says that the batch proves
// the store to be reachable; a batch from the feed of an instance that has lost
// the store itself doesn't.
func (f *Follower) applyBatch(b Batch, storeReachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeEra(b.Revision)
	if storeReachable {
		f.recordContact()
	}
	now := f.clock.Now()
	changes := make([]Change, 0, len(b.Items))
	shared := b.Items[:0:0]
	for _, item := range b.Items {
		c := f.decode(item)
		f.logInvalid(c)
		if _, ignored := c.Subject.(Ignored); !ignored {
			changes, shared = append(changes, c), append(shared, item)
		}
		if isTable(c) {
			f.history.setTable(item)
		}
	}
	b.Items = shared
	changed := f.expire(now)
	if b.Whole {
		f.removeMissing(changes, b.Revision, now)
	}
	if f.applyChanges(changes) {
		changed = true
	}
	f.history.add(b)
	if b.Whole || b.Revision.After(f.revision) {
		f.revision = b.Revision
	}
	if b.Whole {
		f.tableGap = b.Revision
		f.loaded = true
	}
	if changed || b.Whole {
		f.View.Servers.Publish(f.servers.Listing())
	}
}

// maxLoggedEntries bounds the invalid entries that are told apart in the log.
const maxLoggedEntries = 1000

// logInvalid logs an entry that can't be decoded, once for each entry and reason. The caller
// holds mu.
func (f *Follower) logInvalid(c Change) {
	if c.Err == nil {
		delete(f.invalid, c.Key)
		return
	}
	reason := c.Err.Error()
	if known, ok := f.invalid[c.Key]; known == reason || !ok && len(f.invalid) >= maxLoggedEntries {
		return
	}
	f.invalid[c.Key] = reason
	f.log.Warn("EntryInvalid", zap.String("Key", c.Key), zap.Stringer("Revision", c.Revision), zap.Error(c.Err))
}

// IsComplete reports whether the View has had a routing table and the servers that there
// were with it. A confirmation may bring the table before the watch brings the servers.
func (f *Follower) IsComplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.complete = f.complete || f.firstTable.IsKnown() && !f.revision.Before(f.firstTable)
	return f.complete
}

// removeMissing removes servers and fleet entries that a complete batch doesn't
// contain. It may reorder the changes.
func (f *Follower) removeMissing(changes []Change, at revision.Revision, now time.Time) {
	var listed []backend.Server
	for _, c := range changes {
		if s, ok := c.Subject.(backend.Server); ok {
			listed = append(listed, s)
		}
	}
	f.servers.Replace(listed, at, f.graceUntil, now)
	fleet := f.fleet.clone()
	missing := fleet.keepOnly(changes)
	if now.Before(f.lapsedUntil) {
		f.lapsed = fleet.restore(missing)
		fleet.carryRollouts(f.fleet)
		slices.SortStableFunc(changes, compareOrdersFirst)
	}
	f.publishFleet(fleet)
}

// applyChanges applies changes. It reports whether the server listing changed. The fleet
// is copied and published once for all of them: in a large fleet, hundreds of instances
// may announce themselves together.
func (f *Follower) applyChanges(changes []Change) bool {
	listingChanged, fleetChanged, instances := false, false, 0
	var fleet *Fleet // the copy
	for _, c := range changes {
		switch s := c.Subject.(type) {
		case *route.Table:
			f.applyTable(s, c.Revision)
		case backend.Server:
			listingChanged = f.announceServer(s, c.Revision) || listingChanged
		case ServerRemoved:
			listingChanged = f.removeServer(s, c.Revision) || listingChanged
		default:
			if fleet == nil {
				clone := f.fleet.clone()
				fleet = &clone
			}
			f.lapsed = withoutEntryOf(f.lapsed, c.Subject)
			subject := f.carried(fleet, c.Subject)
			if !fleet.apply(subject) {
				continue
			}
			fleetChanged = true
			if _, isInstance := c.Subject.(Instance); isInstance {
				instances++
				continue
			}
			f.log.Info("FleetChanged", zap.String("Key", c.Key), zap.Stringer("Revision", c.Revision), zap.String("Subject", fmt.Sprintf("%+v", subject)))
		}
	}
	if instances > 0 {
		f.log.Info("InstancesChanged", zap.Int("Changes", instances), zap.Int("Instances", len(fleet.Instances)), zap.Stringer("Revision", changes[len(changes)-1].Revision))
	}
	if fleetChanged {
		f.publishFleet(*fleet)
	}
	return listingChanged
}

func (f *Follower) announceServer(s backend.Server, at revision.Revision) bool {
	changed := f.servers.Announce(s, f.clock.Now())
	if changed {
		f.log.Info("ServerAnnounced", zap.String("Server", s.ID), zap.String("State", string(s.State)), zap.String("Version", s.Version),
			zap.Duration("ColdLeft", s.ColdLeft), zap.Int64("Sequence", s.Sequence), zap.Stringer("Revision", at))
	}
	return changed
}

func (f *Follower) removeServer(s ServerRemoved, at revision.Revision) bool {
	now := f.clock.Now()
	changed := f.servers.Remove(s.ID, at, f.graceUntil, now)
	if changed {
		f.log.Info("ServerGone", zap.String("Server", s.ID), zap.Stringer("Revision", at), zap.Bool("Lapsed", now.Before(f.graceUntil)))
	}
	return changed
}

func (f *Follower) publishFleet(fleet Fleet) {
	f.fleet = fleet
	f.View.Fleet.Publish(&fleet)
}

// applyTable applies a routing table if it is newer than the current one.
func (f *Follower) applyTable(t *route.Table, at revision.Revision) {
	if t == nil || !at.After(f.tableRevision) {
		return
	}
	f.tableRevision = at
	if t.Version < f.tableVersion {
		// The copy that the store came back from lacks the table in force.
		f.log.Warn("OlderTableIgnored", zap.Int64("Version", t.Version), zap.Int64("InForce", f.tableVersion), zap.Stringer("Revision", at))
	}
	if t.Version <= f.tableVersion {
		return
	}
	f.tableVersion = t.Version
	if !f.firstTable.IsKnown() {
		f.firstTable = at
	}
	f.View.Table.Publish(t)
	f.log.Info("TableInForce", zap.Int64("Version", t.Version), zap.Stringer("Revision", at), zap.Int("Routes", len(t.Routes)))
}
