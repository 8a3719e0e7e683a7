package follower

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Item is one version of a store entry, or its deletion if Gone is set.
type Item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Gone     bool `json:",omitempty"`
}

// Batch is a set of changes, or the complete state, up to one store revision.
type Batch struct {
	Items []Item
	// Revision is the store revision up to which Items is complete.
	Revision int64
	// Whole is set if Items holds the complete state instead of changes.
	Whole bool
	// Table is the revision of the routing table's entry that the sending
	// instance has confirmed, 0 if it has confirmed none. Age is how old that
	// confirmation was when the instance answered.
	Table int64
	Age   time.Duration
}

// Feed reads the store's changes from another instance.
type Feed interface {
	// Next returns the changes after a revision. It waits up to wait for the
	// first one.
	Next(ctx context.Context, after int64, wait time.Duration) (Batch, error)
	// Reject reports that the feed's data is too old to use.
	Reject()
}

func isHistoryLost(err error) bool {
	var lost *HistoryLostError
	return errors.As(err, &lost)
}

// maxHistoryItems is the number of changes kept for other instances. An instance
// that is further behind gets the complete state.
const maxHistoryItems = 2000

// history holds the state and the latest changes that a follower has applied, to
// serve them to other instances.
type history struct {
	mu       sync.Mutex
	items    map[string]Item
	changes  []Item
	base     int64 // changes holds all changes after this revision
	revision int64
	advanced chan struct{}
}

func newHistory() *history {
	return &history{items: map[string]Item{}, revision: -1, advanced: make(chan struct{})}
}

func (h *history) add(b Batch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b.Whole {
		clear(h.items)
		h.changes, h.base = nil, b.Revision
	}
	for _, item := range b.Items {
		if old, ok := h.items[item.Key]; ok && item.Revision <= old.Revision {
			continue
		}
		if item.Gone {
			delete(h.items, item.Key)
		} else {
			h.items[item.Key] = item
		}
		if !b.Whole {
			h.changes = append(h.changes, item)
		}
	}
	if over := len(h.changes) - maxHistoryItems; over > 0 {
		h.base = h.changes[over-1].Revision
		h.changes = append([]Item(nil), h.changes[over:]...)
	}
	if b.Whole || b.Revision > h.revision {
		h.revision = b.Revision
		close(h.advanced)
		h.advanced = make(chan struct{})
	}
}

// since returns the changes after a revision, or the complete state if changes
// doesn't reach back that far, and a channel that is closed at the next new
// revision. For a revision newer than the history's own the batch is empty.
func (h *history) since(after int64) (Batch, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := Batch{Revision: h.revision}
	if after < h.base {
		b.Whole = true
		for _, item := range h.items {
			b.Items = append(b.Items, item)
		}
		return b, h.advanced
	}
	for _, item := range h.changes {
		if item.Revision > after {
			b.Items = append(b.Items, item)
		}
	}
	return b, h.advanced
}

// maxFullBatchBytes is the largest complete state that a feed sends to an
// instance that is too far behind for changes. When 24 instances start together
// and read 1 MB each from one instance, its link is busy for 20 s; the store
// still has the changes and sends only those.
const maxFullBatchBytes = 64 << 10

// ErrTooFarBehind reports that the feed no longer has all changes after the
// requested revision and that the complete state is too large to send instead.
// An instance that can't reach the store requests the changes after -1, which
// always returns the complete state.
var ErrTooFarBehind = errors.New("the feed has not kept all changes that are asked for")

func (b *Batch) size() int {
	n := 0
	for _, item := range b.Items {
		n += len(item.Key) + len(item.Value)
	}
	return n
}

// ErrNotSynced reports that the follower hasn't loaded the store's state yet.
var ErrNotSynced = errors.New("nothing is known of the store yet")

// Next returns the changes after a revision, for other instances to read as
// described at Feed. The error is ErrNotSynced, ErrTooFarBehind or the
// context's.
func (f *Follower) Next(ctx context.Context, after int64, wait time.Duration) (Batch, error) {
	timer := f.clock.After(wait)
	for {
		b, changed := f.history.since(after)
		if b.Revision < 0 {
			return Batch{}, ErrNotSynced
		}
		if b.Whole && after >= 0 && b.size() > maxFullBatchBytes {
			return Batch{}, ErrTooFarBehind
		}
		if len(b.Items) > 0 || b.Whole {
			f.addConfirmation(&b)
			return b, nil
		}
		select {
		case <-changed:
		case <-timer:
			f.addConfirmation(&b)
			return b, nil
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// addConfirmation sets the batch's Table and Age to the routing table that this
// instance has confirmed.
func (f *Follower) addConfirmation(b *Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed {
		b.Table, b.Age = f.tableRevision, f.bootClock.Elapsed()-f.confirmedAt
	}
}
