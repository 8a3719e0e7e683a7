package follower

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// confirmLoop reads the routing table's entry from the store every
// ConfirmInterval while this instance reads the store itself, or while its feed has
// left out a newer table.
func (f *Follower) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.isReadingStore() && (!f.isTableOmitted() || f.IsCutOff()) {
			f.sleep(ctx, minRetryDelay)
			continue
		}
		if wait := f.untilConfirmation(); wait > 0 {
			f.sleep(ctx, min(wait, minRetryDelay))
			continue
		}
		start := f.clock.Now()
		if err := f.confirm(ctx); err != nil {
			f.sleep(ctx, f.recordFailure(err))
			continue
		}
		f.recordAnswer()
		f.recordTableSought(start)
	}
}

// untilConfirmation returns the time to the next confirmation. Before the first load,
// which brings the table, and after a watch, which would have brought a new one, none is
// due.
func (f *Follower) untilConfirmation() time.Duration {
	interval := f.confirmInterval()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.revision.IsKnown() && !f.tableRevision.IsKnown() && f.ownFailures == 0 {
		return interval
	}
	return f.tableSoughtAt.Add(interval).Sub(f.clock.Now())
}

// largeTableConfirmations is the number of confirmations of a large table in a
// ConfirmInterval. A new version of it takes part of the time for which the last
// confirmation is valid, and confirming an unchanged one costs little.
const largeTableConfirmations = 2

// confirmInterval returns the time between the starts of two confirmations.
func (f *Follower) confirmInterval() time.Duration {
	if f.isTableLarge() {
		return f.settings.ConfirmInterval / largeTableConfirmations
	}
	return f.settings.ConfirmInterval
}

// confirm confirms the routing table, and reads it if it may have changed. A large
// table that is known to be unchanged isn't read again: the transfer would take most
// of the time for which a confirmation is valid on a slow link.
func (f *Follower) confirm(ctx context.Context) error {
	requestedAt := f.bootClock.Elapsed()
	if f.isTableLarge() {
		at, err := f.store.Revision(ctx)
		if err != nil || f.confirmUnchanged(at, requestedAt) {
			return err
		}
		if f.awaitWatch(ctx, at) && f.confirmUnchanged(at, requestedAt) {
			return nil
		}
		requestedAt = f.bootClock.Elapsed()
	}
	item, at, err := f.store.Confirm(ctx)
	if err == nil {
		f.applyConfirmation(item, at, requestedAt)
	}
	return err
}

// recordTableSought records when a read was requested that was answered and would have
// brought a new table.
func (f *Follower) recordTableSought(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.tableSoughtAt) {
		f.tableSoughtAt = at
	}
}

// recordTableRead records that the table's entry was read, if there is one, by a load that
// was requested at requestedAt on the boot clock.
func (f *Follower) recordTableRead(at revision.Revision, requestedAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tableReadAt = revision.Latest(f.tableReadAt, at)
	if f.tableRevision.IsKnown() {
		f.recordConfirmation(requestedAt)
	}
}

// isTableLarge reports whether the routing table is too large to be sent to many
// instances at once.
func (f *Follower) isTableLarge() bool { return len(f.history.table().Value) > maxFeedTableBytes }

// awaitWatch waits until a watch has delivered all changes up to a revision, and reports
// whether it has. The watch shows whether the table is among them, and if so a read of the
// table's entry would transfer it a second time over the same link. awaitWatch waits for
// as long as the answer arrives, up to MaxWatchLag between two parts of it, and not at all
// if the watch couldn't confirm the table.
func (f *Follower) awaitWatch(ctx context.Context, at revision.Revision) bool {
	for startedAt := f.clock.Now(); ; {
		advanced := f.history.nextAdvance()
		f.mu.Lock()
		delivered := !f.revision.Before(at)
		mayConfirm := !f.loading && !f.reload && !f.tableReadAt.Before(f.tableGap)
		lag := f.clock.Since(startedAt)
		if f.progressAt.After(startedAt) {
			lag = f.clock.Since(f.progressAt)
		}
		f.mu.Unlock()
		if delivered || !mayConfirm || lag >= f.settings.MaxWatchLag || !f.isReadingStore() {
			return delivered
		}
		select {
		case f.watchWanted <- struct{}{}:
		default:
		}
		select {
		case <-advanced:
		case <-f.clock.After(f.settings.MaxWatchLag - lag):
		case <-ctx.Done():
			return false
		}
	}
}

// confirmUnchanged confirms the routing table if the follower has applied all changes
// up to the store's revision, the table's among them. The revision was requested at
// requestedAt on the boot clock. It reports whether the table is confirmed.
func (f *Follower) confirmUnchanged(at revision.Revision, requestedAt time.Duration) bool {
	f.recordView(at, requestedAt)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeEra(at)
	f.recordContact()
	if !f.tableRevision.IsKnown() || f.revision.Before(at) || f.tableReadAt.Before(f.tableGap) {
		return false
	}
	f.recordConfirmation(requestedAt)
	return true
}

// applyConfirmation applies a read of the routing table's entry that was
// requested at requestedAt on the boot clock. If the store's revision is newer
// than the follower's, the watch gets MaxWatchLag to catch up; a watch from a revision of
// an earlier era can't.
func (f *Follower) applyConfirmation(item Item, at revision.Revision, requestedAt time.Duration) {
	f.recordView(at, requestedAt)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeEra(at)
	f.recordContact()
	if !item.Revision.IsKnown() {
		return // the store has no routing table yet
	}
	f.tableReadAt = revision.Latest(f.tableReadAt, at)
	if item.Revision.After(f.tableRevision) {
		c := f.decode(item)
		f.logInvalid(c)
		f.applyChanges([]Change{c})
		f.history.setTable(item)
	}
	if !f.tableRevision.Before(item.Revision) {
		f.recordConfirmation(requestedAt)
	}
	if f.revision.IsKnown() && f.revision.Before(at) {
		lag := f.settings.MaxWatchLag
		if f.revision.Era != at.Era {
			lag = 0
		}
		f.clock.AfterFunc(lag, func() { f.restartLaggingWatch(at) })
	}
}

// restartLaggingWatch stops the watch in progress if it hasn't delivered the
// revision yet, so that readLoop loads the state and starts a new one. The watch can
// hang on a connection that no longer delivers anything, or can be busy with an
// answer that holds every version of a large entry. The state holds one version of
// each.
func (f *Follower) restartLaggingWatch(at revision.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision.IsKnown() && f.revision.Before(at) && f.stopWatch != nil && !f.reload && !f.loading {
		counters.Add("WatchLagged", 1)
		f.log.Info("WatchRenewed", zap.Stringer("Revision", f.revision), zap.Stringer("Store", at))
		f.reload = true
		f.stopWatch()
	}
}

func (f *Follower) recordConfirmation(at time.Duration) {
	if !f.confirmed || at > f.confirmedAt {
		f.confirmedAt, f.confirmed = at, true
	}
}

// recordView records that the View is complete as of a time on the boot clock, if all
// changes up to a revision are applied. The store's revision was no higher at that time.
func (f *Follower) recordView(rev revision.Revision, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !rev.IsKnown() || f.revision.Before(rev) {
		return
	}
	if !f.viewed || at > f.viewedAt {
		f.viewedAt, f.viewed = at, true
	}
}

// ViewAge returns the time since the View was last known to hold all changes of the store.
// It reports false if it never was.
func (f *Follower) ViewAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bootClock.Elapsed() - f.viewedAt, f.viewed
}

// ConfirmationAge returns the time since the routing table was last confirmed to
// be the store's current one. It reports false if it never was.
func (f *Follower) ConfirmationAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bootClock.Elapsed() - f.confirmedAt, f.confirmed
}

// Revision returns the store revision up to which all changes are applied; it is unknown
// if nothing has been loaded.
func (f *Follower) Revision() revision.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// Era returns the latest era of the store that this instance knows of; 0 if the store states
// none.
func (f *Follower) Era() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// ContactAge returns the time since the last answer from the store, or from an
// instance in contact with it. It reports false if nothing has been loaded.
func (f *Follower) ContactAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Since(f.lastContactAt), f.revision.IsKnown()
}
