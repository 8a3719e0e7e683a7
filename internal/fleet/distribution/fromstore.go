package distribution

import (
	"context"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

const (
	sourceStore = "FromStore"
	sourcePeer  = "FromPeer"
	sourcePush  = "FromPush"
	sourceEdit  = "FromEdit"
)

// isWatcher reports whether this instance watches for its data centre. An
// instance that sees no members of it, or has no document, asks for itself.
func (c *Controller) isWatcher() bool {
	return c.board.Configuration.Get() == nil || c.role().watcher
}

// role is what follows from the membership, kept until it changes.
type role struct {
	version uint64
	watcher bool
	others  []board.Member
}

func (c *Controller) role() *role {
	version := c.board.Members.Version()
	if known := c.cachedRole.Load(); known != nil && known.version == version {
		return known
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

// runStore polls the store's revision while this instance is a watcher or
// cannot confirm its document through peers.
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

// isWithoutPeers reports whether peers have not answered for half of the bound.
func (c *Controller) isWithoutPeers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Since(c.peerAnsweredAt) > MaxApplyDelay/2
}

// poll asks the store for the revision of the document, and reads the document
// when the revision is not the one last read. It notices what a silent watch
// has missed.
func (c *Controller) poll(ctx context.Context) error {
	asked := c.clock.Now()
	mod, err := c.store.Revision(ctx, store.Configuration, Key)
	if err != nil {
		counts.Add("StorePollFailed", 1)
		return err
	}
	c.mu.Lock()
	known := mod == c.storeModRevision
	c.mu.Unlock()
	if known {
		c.recordStoreAnswer(asked, mod)
		return nil
	}
	return c.fetch(ctx)
}

// fetch reads the document from the store and offers it.
func (c *Controller) fetch(ctx context.Context) error {
	asked := c.clock.Now()
	value, mod, found, err := c.store.Get(ctx, store.Configuration, Key)
	if err != nil {
		counts.Add("StoreReadFailed", 1)
		return err
	}
	if found {
		c.applyEncoded(value, mod, configuration.ParseStored, sourceStore)
	}
	c.recordStoreAnswer(asked, mod)
	return nil
}

// recordStoreAnswer records that the store gave this modification revision.
func (c *Controller) recordStoreAnswer(asked time.Time, mod int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeModRevision = mod
	if asked.After(c.storeAnsweredAt) {
		c.storeAnsweredAt = asked
	}
	if doc := c.board.Configuration.Get(); doc != nil && doc.StoreRevision() == mod && asked.After(c.confirmedAt) {
		c.confirmedAt = asked
	}
}

// runWatch keeps a watch open while this instance is a watcher.
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

// watch follows one watch until it ends or this instance need not watch.
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

func (c *Controller) nextWatchRevision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeModRevision == 0 {
		return 0
	}
	return c.storeModRevision + 1
}

// handleEvent takes in one event of the watch.
func (c *Controller) handleEvent(e store.Event) {
	if e.Deleted {
		counts.Add("StoreKeyDeleted", 1)
		return
	}
	asked := c.clock.Now()
	c.applyEncoded(e.Value, e.ModRevision, configuration.ParseStored, sourceStore)
	c.recordStoreAnswer(asked, e.ModRevision)
}
