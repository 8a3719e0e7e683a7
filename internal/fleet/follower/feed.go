package follower

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// Item is one version of a store entry, or its deletion if Gone is set.
type Item struct {
	Key      string
	Value    []byte
	Revision revision.Revision
	Gone     bool
}

// Batch is a set of changes, or the complete state, up to one store revision.
type Batch struct {
	Items []Item
	// Revision is the store revision up to which Items is complete.
	Revision revision.Revision
	// Whole is set if Items holds the complete state instead of changes.
	Whole bool
	// Table is the revision of the routing table's entry that the sending
	// instance has confirmed, unknown if it has confirmed none. Age is how old that
	// confirmation was when the instance answered.
	Table revision.Revision
	Age   time.Duration
	// ViewAge is how old the sending instance's state was when it answered; 0 if it
	// doesn't know, as in instances of earlier versions.
	ViewAge time.Duration
	// TableDiff is the newest routing table if it is too large for Items.
	TableDiff *TableDiff
}

// Position is what the reader of a feed has.
type Position struct {
	// Revision is the store revision up to which it has all changes, unknown if none.
	Revision revision.Revision
	// Table is the revision of its routing table, unknown if it has none or can't take
	// differences.
	Table revision.Revision
	// EraUnknown is set if the reader doesn't state the eras of its revisions, as
	// instances of earlier versions don't.
	EraUnknown bool
}

// Feed reads the store's changes from another instance.
type Feed interface {
	// Next returns the changes after a position, without versions of entries that
	// newer ones have replaced. It waits up to wait for the first change. A large
	// routing table is sent as a difference, or left out, which the batch's Table then
	// shows, unless the complete state is requested by an unknown revision.
	Next(ctx context.Context, after Position, wait time.Duration) (Batch, error)
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
// serve them to other instances. It keeps only the newest change of each entry: a
// reader sends the changes to many instances over one link.
type history struct {
	mu       sync.Mutex
	items    map[string]Item
	changes  []Item
	base     revision.Revision // changes holds the newest changes after this revision
	revision revision.Revision
	// eraBegun is set once the store has begun an era after the first that was known.
	eraBegun bool
	// tableKey is the key of the routing table's entry, once it is known, and tables
	// holds its latest versions, the newest last.
	tableKey string
	tables   []Item
	diffs    tableDiffs
	advanced chan struct{}
}

func newHistory() *history {
	return &history{items: map[string]Item{}, advanced: make(chan struct{})}
}

func (h *history) add(b Batch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	items := b.Items
	switch {
	case b.Whole && (!h.revision.IsKnown() || b.Revision.Era != h.revision.Era):
		h.begin(b.Revision)
	case b.Whole:
		items = h.missingFrom(b)
	}
	for _, item := range items {
		if old, ok := h.items[item.Key]; ok && item.Revision.Before(old.Revision) {
			continue
		}
		if item.Gone {
			delete(h.items, item.Key)
		} else {
			h.items[item.Key] = item
		}
		if h.revision.IsKnown() {
			h.changes = append(slices.DeleteFunc(h.changes, func(old Item) bool { return old.Key == item.Key }), item)
		}
	}
	if over := len(h.changes) - maxHistoryItems; over > 0 {
		h.base = revision.Latest(h.base, h.changes[over-1].Revision)
		h.changes = append([]Item(nil), h.changes[over:]...)
	}
	if b.Whole || b.Revision.After(h.revision) {
		h.revision = b.Revision
		h.wake()
	}
}

// begin makes the history start with the complete state at a revision, but for the routing
// table, which a complete batch from the store lacks. Readers whose position is of another
// era get the complete state.
func (h *history) begin(at revision.Revision) {
	table, known := h.items[h.tableKey]
	clear(h.items)
	if known {
		h.items[h.tableKey] = table
	}
	h.eraBegun = h.eraBegun || h.revision.IsKnown()
	h.changes, h.base, h.revision = nil, at, revision.Revision{}
}

// place returns the position of a reader that doesn't state its eras, as if it were of the
// history's era. Such a reader may be ahead of the history, unless an era has begun: its
// position may then be of the one before.
func (h *history) place(after Position) Position {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.eraBegun && after.Revision.Number > h.revision.Number {
		after.Revision = revision.Revision{}
	}
	after.Revision.Era, after.Table.Era = h.revision.Era, h.revision.Era
	for _, version := range h.tables {
		if version.Revision.Number == after.Table.Number {
			after.Table = version.Revision
		}
	}
	return after
}

// missingFrom returns the items of a complete batch, ordered by revision, and
// deletions of the entries that the batch lacks. A complete batch from the store
// lacks the routing table, which stays as it is.
func (h *history) missingFrom(whole Batch) []Item {
	items := slices.Clone(whole.Items)
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
	}
	for key, old := range h.items {
		switch {
		case present[key] || old.Revision.After(whole.Revision):
		case key == h.tableKey:
			items = append(items, old)
		default:
			items = append(items, Item{Key: key, Revision: whole.Revision, Gone: true})
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return a.Revision.Compare(b.Revision) })
	return items
}

// setTable notes a version of the routing table's entry.
func (h *history) setTable(item Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tableKey = item.Key
	if !item.Revision.After(h.items[item.Key].Revision) {
		return
	}
	h.items[item.Key] = item
	if len(h.tables) == maxTableVersions {
		h.tables = append(h.tables[:0:0], h.tables[1:]...)
	}
	h.tables = append(h.tables, item)
	h.wake()
}

// wake makes those that wait for a change look again. The caller holds mu.
func (h *history) wake() {
	close(h.advanced)
	h.advanced = make(chan struct{})
}

// table returns the newest version of the routing table's entry.
func (h *history) table() Item {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.items[h.tableKey]
}

// nextAdvance returns a channel that is closed at the next new revision or table.
func (h *history) nextAdvance() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.advanced
}

// tableDiff returns the difference to the newest routing table for a follower at a
// position. It is nil if the follower has that table or gets it as an item, or if it is
// too large. The table may be newer than the history's other items.
func (h *history) tableDiff(after Position) (*TableDiff, error) {
	h.mu.Lock()
	newest, base := h.items[h.tableKey], Item{}
	if !after.Revision.IsKnown() || !after.Table.IsKnown() || !newest.Revision.After(after.Table) || len(newest.Value) <= maxFeedTableBytes {
		h.mu.Unlock()
		return nil, nil
	}
	for _, version := range h.tables {
		if version.Revision == after.Table {
			base = version
		}
	}
	h.mu.Unlock()
	return h.diffs.between(base, newest)
}

// since returns the changes after a revision, or the complete state if changes
// doesn't reach back that far, and a channel that is closed at the next new
// revision or table. For a revision newer than the history's own the batch is empty. Only
// the complete state after an unknown revision includes a routing table of more than
// maxFeedTableBytes.
func (h *history) since(after revision.Revision) (Batch, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := Batch{Revision: h.revision}
	isOmitted := func(item Item) bool {
		return after.IsKnown() && item.Key == h.tableKey && len(item.Value) > maxFeedTableBytes
	}
	if after.Before(h.base) {
		b.Whole = true
		for _, item := range h.items {
			if !isOmitted(item) {
				b.Items = append(b.Items, item)
			}
		}
		return b, h.advanced
	}
	for _, item := range h.changes {
		if item.Revision.After(after) && !item.Revision.After(h.revision) && !isOmitted(item) {
			b.Items = append(b.Items, item)
		}
	}
	return b, h.advanced
}

// maxFeedTableBytes is the size of the largest routing table, and of the largest
// difference of tables, that a feed sends. Larger ones would fill the link of an instance
// that feeds many others, so these read the table from the store. An instance that can't
// reach the store keeps its table, unconfirmed, and becomes unready.
const maxFeedTableBytes = 24 << 10

// maxFullBatchBytes is the largest complete state that a feed sends to an
// instance that is too far behind for changes. When 24 instances start together
// and read 1 MB each from one instance, its link is busy for 20 s; the store
// still has the changes and sends only those.
const maxFullBatchBytes = 64 << 10

// ErrTooFarBehind reports that the feed no longer has all changes after the
// requested revision and that the complete state is too large to send instead.
// An instance that can't reach the store requests the changes after an unknown
// revision, which always returns the complete state.
var ErrTooFarBehind = errors.New("the feed has not kept all changes that are asked for")

func (b *Batch) size() int {
	n := 0
	for _, item := range b.Items {
		n += len(item.Key) + len(item.Value)
	}
	return n
}

// EarlierEraError reports an answer of a feed that knows an earlier era of the store than
// its reader, or none, as that of an instance of an earlier version does.
type EarlierEraError struct{ Feed, Known int64 }

func (e *EarlierEraError) Error() string {
	return fmt.Sprintf("the feed is in era %d of the store, this instance in era %d", e.Feed, e.Known)
}

// ErrNotSynced reports that the follower hasn't loaded the store's state yet.
var ErrNotSynced = errors.New("nothing is known of the store yet")

// Next returns the changes after a position, for other instances to read as
// described at Feed. The error is ErrNotSynced, ErrTooFarBehind or the
// context's.
func (f *Follower) Next(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	if after.EraUnknown {
		after = f.history.place(after)
	}
	timer := f.clock.After(wait)
	for waited := false; ; {
		viewedAt := f.lastView()
		b, changed := f.history.since(after.Revision)
		if !b.Revision.IsKnown() {
			return Batch{}, ErrNotSynced
		}
		if b.Whole && after.Revision.IsKnown() && b.size() > maxFullBatchBytes {
			return Batch{}, ErrTooFarBehind
		}
		diff, err := f.history.tableDiff(after)
		if err != nil {
			f.log.Info("TableNotCompressed", zap.Error(err)) // followers read it from the store
		}
		b.TableDiff = diff
		if len(b.Items) > 0 || b.Whole || diff != nil || waited {
			f.addConfirmation(&b)
			if viewedAt != nil {
				b.ViewAge = max(1, f.bootClock.Elapsed()-*viewedAt)
			}
			return b, nil
		}
		select {
		case <-changed:
		case <-timer:
			waited = true
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// lastView returns the time on the boot clock as of which the View is complete, or nil.
func (f *Follower) lastView() *time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.viewed {
		return nil
	}
	at := f.viewedAt
	return &at
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

// recordFeedTable notes which routing table a feed has reached. A table that the
// batch should have included, had it not been too large, is read from the store by
// confirmLoop. The caller holds mu.
func (f *Follower) recordFeedTable(b Batch) {
	if !b.Revision.Before(b.Table) {
		f.feedTable = b.Table
	}
}

// isTableOmitted reports whether a feed has left out a routing table that is newer
// than the follower's.
func (f *Follower) isTableOmitted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.feedTable.After(f.tableRevision)
}

// isTable reports whether a change holds a routing table.
func isTable(c Change) bool {
	t, ok := c.Subject.(*route.Table)
	return ok && t != nil
}
