package follower

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Item is an entry of the store as it was written, or its end.
type Item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Gone     bool `json:",omitempty"`
}

// Batch is what a feed brings at a time.
type Batch struct {
	Items []Item
	// Revision is the store's up to which the items reach.
	Revision int64
	// Whole says that the items are everything there is.
	Whole bool
	// Table is the revision of the routing table's entry that the feeding
	// instance has confirmed, Age how old its confirmation was when it
	// answered.
	Table int64
	Age   time.Duration
}

// Feed passes on what another instance knows.
type Feed interface {
	// Next returns the changes after a revision, waiting for the first one
	// at most as long as given.
	Next(ctx context.Context, after int64, wait time.Duration) (Batch, error)
	// Reject says that the feed is of no use now.
	Reject()
}

func isHistoryLost(err error) bool {
	var lost *HistoryLostError
	return errors.As(err, &lost)
}

// historyItems is how many changes are kept for other instances; one that
// lacks more gets everything.
const historyItems = 2000

// history is the state and the last changes of the store, as a follower has
// taken them in.
type history struct {
	mu       sync.Mutex
	state    map[string]Item
	changes  []Item
	first    int64 // changes reach back to after this revision
	revision int64
	changed  chan struct{}
}

func newHistory() *history {
	return &history{state: map[string]Item{}, revision: -1, changed: make(chan struct{})}
}

func (h *history) add(b Batch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b.Whole {
		clear(h.state)
		h.changes, h.first = nil, b.Revision
	}
	for _, item := range b.Items {
		if old, ok := h.state[item.Key]; ok && item.Revision <= old.Revision {
			continue
		}
		if item.Gone {
			delete(h.state, item.Key)
		} else {
			h.state[item.Key] = item
		}
		if !b.Whole {
			h.changes = append(h.changes, item)
		}
	}
	if over := len(h.changes) - historyItems; over > 0 {
		h.first = h.changes[over-1].Revision
		h.changes = append([]Item(nil), h.changes[over:]...)
	}
	if b.Whole || b.Revision > h.revision {
		h.revision = b.Revision
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// since returns the changes after a revision, or everything to one that lacks
// more. To one that knows more than this instance there is nothing to say yet.
func (h *history) since(after int64) (Batch, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := Batch{Revision: h.revision}
	if after < h.first {
		b.Whole = true
		for _, item := range h.state {
			b.Items = append(b.Items, item)
		}
		return b, h.changed
	}
	for _, item := range h.changes {
		if item.Revision > after {
			b.Items = append(b.Items, item)
		}
	}
	return b, h.changed
}

// wholeBytes is how much a feed passes on at a time to an instance that lacks more
// than the last changes. Two dozen that start together and take a megabyte each
// from one instance hold its link for 20 s; from the store they get the changes.
const wholeBytes = 64 << 10

// ErrTooFarBehind reports that an instance lacks more than a feed has kept, and that
// everything is too much to pass on. One that asks for what comes after -1, as
// the store is out of its reach, gets everything.
var ErrTooFarBehind = errors.New("the feed has not kept all changes that are asked for")

func (b *Batch) bytes() int {
	n := 0
	for _, item := range b.Items {
		n += len(item.Key) + len(item.Value)
	}
	return n
}

// ErrNotSynced reports that a follower can't feed others yet.
var ErrNotSynced = errors.New("nothing is known of the store yet")

// Next implements Feed for other instances.
func (f *Follower) Next(ctx context.Context, after int64, wait time.Duration) (Batch, error) {
	timer := f.clock.After(wait)
	for {
		b, changed := f.history.since(after)
		if b.Revision < 0 {
			return Batch{}, ErrNotSynced
		}
		if b.Whole && after >= 0 && b.bytes() > wholeBytes {
			return Batch{}, ErrTooFarBehind
		}
		if len(b.Items) > 0 || b.Whole {
			f.stamp(&b)
			return b, nil
		}
		select {
		case <-changed:
		case <-timer:
			f.stamp(&b)
			return b, nil
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// stamp adds what this instance vouches for.
func (f *Follower) stamp(b *Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed {
		b.Table, b.Age = f.table, f.boot.Elapsed()-f.confirmedAt
	}
}
