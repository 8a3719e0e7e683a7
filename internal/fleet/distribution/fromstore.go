package distribution

import (
	"context"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// The sources of a document, as they appear in logs and counters.
const (
	sourceStore = "FromStore"
	sourcePeer  = "FromPeer"
	sourcePush  = "FromPush"
	sourceEdit  = "FromEdit"
)

// isWatcher reports whether this instance watches the store for its data centre.
// An instance that is missing from the membership of its data centre, or that has
// no document, watches for itself.
func (c *Controller) isWatcher() bool {
	return c.board.Configuration.Get() == nil || c.role().watcher
}

// role is the part of this instance in the distribution. It is derived from one
// version of the membership and cached until that changes.
type role struct {
	version uint64
	watcher bool
	others  []board.Member
}

func (c *Controller) role() *role {
	version := c.board.Members.Version()
	if current := c.cachedRole.Load(); current != nil && current.version == version {
		return current
	}
	members := c.board.Members.Get()
	next := &role{version: version}
	names := board.Names(members.InDataCentre(c.dataCentre))
	chosen := board.Rank("Configuration/"+c.dataCentre, names, watchersPerDataCentre)
	next.watcher = !slices.Contains(names, c.self) || slices.Contains(chosen, c.self)
	if members != nil {
		next.others = slices.DeleteFunc(slices.Clone(members.List), func(m board.Member) bool { return m.Name == c.self })
	}
	c.cachedRole.Store(next)
	return next
}

// runStore polls the store every pollInterval while this instance is a watcher
// or cannot confirm its document through peers.
func (c *Controller) runStore(ctx context.Context) {
	for {
		if c.isWatcher() || c.isWithoutPeers() {
			_ = c.poll(ctx)
		}
		if !c.sleep(ctx, pollInterval) {
			return
		}
	}
}

// isWithoutPeers reports whether no peer has answered for half of MaxApplyDelay.
func (c *Controller) isWithoutPeers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Since(c.peerAnsweredAt) > MaxApplyDelay/2
}

// poll asks the store for the modification revision of the document, and reads
// the document if the revision differs from the one last read. This finds changes
// that a stalled watch has not delivered.
func (c *Controller) poll(ctx context.Context) error {
	requestedAt := c.clock.Now()
	mod, err := c.store.Revision(ctx, store.Configuration, Key)
	if err != nil {
		counts.Add("StorePollFailed", 1)
		return err
	}
	c.mu.Lock()
	current := mod == c.storeModRevision
	c.mu.Unlock()
	if current {
		c.recordStoreAnswer(requestedAt, mod)
		return nil
	}
	return c.fetch(ctx)
}

// fetch reads the document from the store and applies it if it is newer.
func (c *Controller) fetch(ctx context.Context) error {
	requestedAt := c.clock.Now()
	value, mod, found, err := c.store.Get(ctx, store.Configuration, Key)
	if err != nil {
		counts.Add("StoreReadFailed", 1)
		return err
	}
	if found {
		c.applyEncoded(value, mod, configuration.ParseStored, sourceStore)
	}
	c.recordStoreAnswer(requestedAt, mod)
	return nil
}

// recordStoreAnswer records that the store answered a request sent at requestedAt
// with modification revision mod.
func (c *Controller) recordStoreAnswer(requestedAt time.Time, mod int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeModRevision = mod
	if requestedAt.After(c.storeAnsweredAt) {
		c.storeAnsweredAt = requestedAt
	}
	if doc := c.board.Configuration.Get(); doc != nil && doc.StoreRevision() == mod && requestedAt.After(c.confirmedAt) {
		c.confirmedAt = requestedAt
	}
}

// runWatch keeps a watch on the store open while this instance is a watcher.
func (c *Controller) runWatch(ctx context.Context) {
	for {
		if c.isWatcher() {
			c.watch(ctx)
		}
		if !c.sleep(ctx, pollInterval) {
			return
		}
	}
}

// watch handles the events of one watch until the watch ends or this instance is
// no longer a watcher.
func (c *Controller) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := c.store.Watch(ctx, store.Configuration, Key, c.nextWatchRevision())
	if err != nil {
		counts.Add("StoreWatchFailed", 1)
		return
	}
	members, unsubscribe := c.board.Members.Subscribe()
	defer unsubscribe()
	for {
		select {
		case e, ok := <-events:
			if !ok || e.Err != nil {
				counts.Add("StoreWatchEnded", 1)
				return
			}
			c.handleEvent(e)
		case <-members:
			if !c.isWatcher() {
				return
			}
		}
	}
}

// nextWatchRevision returns the modification revision from which to watch: the one
// after the last that was read, or 0 if none was read.
func (c *Controller) nextWatchRevision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeModRevision == 0 {
		return 0
	}
	return c.storeModRevision + 1
}

// handleEvent applies the document of one watch event. The deletion of the key is
// counted and otherwise ignored: the applied document stays.
func (c *Controller) handleEvent(e store.Event) {
	if e.Deleted {
		counts.Add("StoreKeyDeleted", 1)
		return
	}
	requestedAt := c.clock.Now()
	c.applyEncoded(e.Value, e.ModRevision, configuration.ParseStored, sourceStore)
	c.recordStoreAnswer(requestedAt, e.ModRevision)
}
