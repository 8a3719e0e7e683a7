package follower

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// This file holds what a follower does when the store has come back from a copy, which lacks
// the latest changes. Until lapsedUntil, operators and the driver of rollouts are given time
// to write again what the copy lacks, and what was known of it stands.

// observeEra notes the era of a revision that this instance has heard of. The caller holds mu.
func (f *Follower) observeEra(at revision.Revision) {
	if at.Era <= f.era {
		return
	}
	if f.loaded {
		f.graceUntil = f.clock.Now().Add(f.settings.ReannounceGrace)
		f.lapsedUntil = f.graceUntil
		counters.Add("EraBegun", 1)
		f.log.Warn("StoreEraBegun", zap.Int64("Era", at.Era), zap.Int64("Before", f.era), zap.Stringer("Revision", at), zap.Stringer("Applied", f.revision), zap.Stringer("Table", f.tableRevision))
	}
	f.era = at.Era
}

// compareOrdersFirst puts the orders of rollouts before their progress, which goes over to an
// order that has been written again.
func compareOrdersFirst(a, b Change) int {
	rank := func(c Change) int {
		if _, isOrder := c.Subject.(RolloutOrder); isOrder {
			return 0
		}
		return 1
	}
	return rank(a) - rank(b)
}

// expire removes what lapsed once its grace period is over. It reports whether the server
// listing changed. The caller holds mu.
func (f *Follower) expire(now time.Time) bool {
	if len(f.lapsed) > 0 && !now.Before(f.lapsedUntil) {
		fleet := f.fleet.clone()
		for _, end := range f.lapsed {
			fleet.apply(end)
			f.log.Info("LapsedEntryGone", zap.String("Subject", fmt.Sprintf("%+v", end)))
		}
		f.lapsed = nil
		f.publishFleet(fleet)
	}
	return f.servers.Expire(now)
}

// carried returns what a change of the fleet says, or what is known to be later while the
// driver and operators have yet to write again what a copy of the store lacks.
func (f *Follower) carried(fleet *Fleet, subject any) any {
	if !f.clock.Now().Before(f.lapsedUntil) {
		return subject
	}
	switch s := subject.(type) {
	case RolloutOrder:
		fleet.carryOrder(s)
	case RolloutProgress:
		return fleet.carryProgress(s)
	}
	return subject
}

// carryRollouts adds the known progress of rollouts that a copy of the store lacks.
func (fl *Fleet) carryRollouts(known Fleet) {
	for service, progress := range known.Rollouts {
		if _, ok := fl.Rollouts[service]; !ok && progress.Order == fl.Orders[service].Revision.Number {
			progress.Revision, progress.Lost = revision.Revision{}, true
			fl.Rollouts[service] = progress
		}
	}
}

// carryOrder moves the progress of a rollout to its order, if that is the known one that the
// operator has written again in a later era.
func (fl *Fleet) carryOrder(o RolloutOrder) {
	known, progress := fl.Orders[o.Service], fl.Rollouts[o.Service]
	isSame := known.Target == o.Target && known.Duration == o.Duration && known.Revision.Era < o.Revision.Era
	if isSame && known.Revision.Number != o.Revision.Number && progress.Order == known.Revision.Number {
		progress.Order, progress.Lost = o.Revision.Number, true
		fl.Rollouts[o.Service] = progress
	}
}

// carryProgress returns what holds of a rollout whose record in the store, of a later era, may
// be older than the known one: what had been decided stands.
func (fl *Fleet) carryProgress(p RolloutProgress) RolloutProgress {
	known, ok := fl.Rollouts[p.Service]
	isCurrent := ok && known.Order == fl.Orders[p.Service].Revision.Number && known.Revision.Era < p.Revision.Era
	if !isCurrent || known.Order == p.Order && !known.isAheadOf(p) {
		return p
	}
	known.Revision, known.Lost = p.Revision, true
	return known
}

// isAheadOf reports whether the progress is later than another one of the same order.
func (p *RolloutProgress) isAheadOf(other RolloutProgress) bool {
	if other.State != RolloutActive {
		return false
	}
	return p.State != RolloutActive || p.Elapsed > other.Elapsed
}

// restore adds entries that operators write, and returns their ends.
func (fl *Fleet) restore(entries []any) (ends []any) {
	for _, entry := range entries {
		fl.apply(entry)
		switch s := entry.(type) {
		case DataCentreClosure:
			s.Ended = true
			ends = append(ends, s)
		case RolloutOrder:
			s.Ended = true
			ends = append(ends, s)
		}
	}
	return ends
}

// withoutEntryOf returns the ends but for that of the entry that a subject is of.
func withoutEntryOf(ends []any, subject any) []any {
	return slices.DeleteFunc(ends, func(end any) bool {
		switch e := end.(type) {
		case DataCentreClosure:
			s, ok := subject.(DataCentreClosure)
			return ok && s.DataCentre == e.DataCentre
		case RolloutOrder:
			s, ok := subject.(RolloutOrder)
			return ok && s.Service == e.Service
		}
		return false
	})
}
