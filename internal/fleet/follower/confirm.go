package follower

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// confirmLoop reads the routing table's entry as long as the store is followed
// itself.
func (f *Follower) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.isDirect() {
			f.pause(ctx, retryPause)
			continue
		}
		asked := f.boot.Elapsed()
		item, revision, err := f.store.Confirm(ctx)
		if err != nil {
			f.pause(ctx, f.failed(err))
			continue
		}
		f.answered()
		f.confirmedBy(item, revision, asked)
		f.pause(ctx, f.settings.ConfirmInterval)
	}
}

// confirmedBy takes in a reading of the table's entry. The store's revision
// tells whether the watch has missed something.
func (f *Follower) confirmedBy(item Item, revision int64, asked time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reached()
	if item.Revision == 0 {
		return // there is no table yet
	}
	if item.Revision > f.table {
		f.apply(f.decode(item))
	}
	if f.table >= item.Revision {
		f.confirm(asked)
	}
	if f.revision >= 0 && f.revision < revision {
		f.clock.AfterFunc(f.settings.MaxWatchLag, func() { f.checkWatch(revision) })
	}
}

// checkWatch starts the watch anew if it lacks a revision. A watch can hang on
// a connection that has gone silent.
func (f *Follower) checkWatch(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision >= 0 && f.revision < revision && f.stopWatch != nil {
		events.Add("WatchLagged", 1)
		f.log.Info("WatchRenewed", zap.Int64("Revision", f.revision), zap.Int64("Store", revision))
		f.stopWatch()
	}
}

func (f *Follower) confirm(at time.Duration) {
	if !f.confirmed || at > f.confirmedAt {
		f.confirmedAt, f.confirmed = at, true
	}
}

// ConfirmationAge returns how old the last confirmation of the routing table is. It
// reports false if there is none yet.
func (f *Follower) ConfirmationAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boot.Elapsed() - f.confirmedAt, f.confirmed
}

// ContactAge returns how long ago the store, or an instance in contact with it, was
// last heard. It reports false if it never was.
func (f *Follower) ContactAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Since(f.contactAt), f.revision >= 0
}
