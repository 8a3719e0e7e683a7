package follower

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
	"github.com/kingcupyard/kingcupyard/internal/platform/transfer"
)

// BootClock is a clock that keeps running while the machine is suspended.
type BootClock interface {
	// Elapsed returns the time since a fixed moment before the process started.
	Elapsed() time.Duration
}

// View is an instance's copy of the store's state. Only the follower writes it.
type View struct {
	Table   board.Section[route.Table]
	Servers board.Section[backend.Listing]
	Fleet   board.Section[Fleet]
}

// Settings holds the intervals and limits of a Follower.
type Settings struct {
	// WatchWait is how long a watch request waits in the store for a change.
	WatchWait time.Duration
	// MinWatchInterval is the shortest time between the starts of two watches.
	MinWatchInterval time.Duration
	// MaxWatchLag is how long a watch may take to deliver a change that a
	// confirmation has shown; after that the watch is restarted.
	MaxWatchLag time.Duration
	// ConfirmInterval is the time between two reads of the routing table's entry.
	ConfirmInterval time.Duration
	// FeedWait is how long a request to another instance's feed waits for a
	// change.
	FeedWait time.Duration
	// FeedTimeout is how much longer than FeedWait such a request may take as a whole.
	// The Feed gives up sooner if nothing arrives.
	FeedTimeout time.Duration
	// MaxFeedAge is how old the confirmation from a feed may be; beyond it the
	// follower switches to the store.
	MaxFeedAge time.Duration
	// FeedBackoff is how long the follower reads the store itself after a feed
	// failed.
	FeedBackoff time.Duration
	// StoreBackoff is how long a follower that has a feed sends the store no
	// requests after it couldn't reach the store.
	StoreBackoff time.Duration
	// OutageThreshold is how long the store may be unreachable before this
	// counts as an outage. Servers whose entries end just after an outage are
	// kept for ReannounceGrace, since they may only have failed to renew them.
	OutageThreshold time.Duration
	// ReannounceGrace is how long after the end of an outage, or after the store
	// has come back from a copy, servers have to announce themselves again. After
	// the latter, operators have that long to write again what the copy lacks.
	ReannounceGrace time.Duration
}

// DefaultSettings are the settings that instances use. Even during failures
// they must learn within 2 s that a server is leaving, and within 5 s that a key
// has been revoked.
var DefaultSettings = Settings{
	WatchWait:        5 * time.Second,
	MinWatchInterval: 250 * time.Millisecond,
	MaxWatchLag:      150 * time.Millisecond,
	ConfirmInterval:  800 * time.Millisecond,
	FeedWait:         250 * time.Millisecond,
	FeedTimeout:      1250 * time.Millisecond,
	MaxFeedAge:       1300 * time.Millisecond,
	FeedBackoff:      time.Second,
	StoreBackoff:     3 * time.Second,
	OutageThreshold:  time.Second,
	ReannounceGrace:  1900 * time.Millisecond,
}

// Follower reads the changes of the store, from the store itself or from another
// instance's feed, and keeps the View up to date. Create it with New.
type Follower struct {
	View      View
	settings  Settings
	store     Store
	decode    func(Item) Change
	upstream  func() Feed
	clock     clockwork.Clock
	bootClock BootClock
	log       *zap.Logger
	history   *history

	mu            sync.Mutex
	servers       *backend.Directory
	fleet         Fleet
	tableRevision revision.Revision // store revision of the routing table's entry
	tableVersion  int64             // version of the current table
	// tableReadAt is the store revision at which the table's entry was last read from
	// the store. tableGap is the revision up to which changes were applied that may lack
	// a change of the table: those of a feed, and a loaded state.
	tableReadAt revision.Revision
	tableGap    revision.Revision
	// era is the latest era of the store that this instance knows of. loaded is set once
	// there is a state of it.
	era    int64
	loaded bool
	// invalid holds, by key, why entries can't be decoded.
	invalid map[string]string
	// firstTable is the revision of the first routing table, complete whether IsComplete
	// has found all changes up to it applied.
	firstTable revision.Revision
	complete   bool
	// feedTable is the revision of the routing table up to which a feed has sent
	// all other changes.
	feedTable revision.Revision
	// revision is the store revision up to which all changes are applied. It
	// is unknown before the first load and after a lost history.
	revision revision.Revision
	// confirmedAt is the boot clock's time when the last successful read of the
	// table's entry was requested. It is valid if confirmed is set.
	confirmedAt time.Duration
	confirmed   bool
	// viewedAt is the latest time on the boot clock for which all changes that the store had
	// made by then are known to be applied. It is valid if viewed is set.
	viewedAt time.Duration
	viewed   bool
	// tableSoughtAt is when the last read was requested that was answered and would have
	// brought a new table.
	tableSoughtAt time.Time
	// lastContactAt is when the store last answered this instance, or the
	// instance whose feed it reads.
	lastContactAt time.Time
	// failures counts the calls of this instance that failed since then.
	failures int
	// graceUntil is the end of the grace period after an outage, or after the store has
	// come back from a copy: servers whose entries end before it are kept until then.
	graceUntil time.Time
	// lapsed holds the ends of operators' entries that the copy lacks. They are applied at
	// lapsedUntil, unless the operator writes the entries again.
	lapsed      []any
	lapsedUntil time.Time
	storeLost   bool // an outage has been logged and not yet its end
	// lastAnswerAt is when the store last answered this instance itself;
	// ownFailures is the number of its calls that failed since then.
	lastAnswerAt time.Time
	ownFailures  int
	// storeBackoffUntil is when this instance may call the store again although
	// it has a feed.
	storeBackoffUntil time.Time
	// feedBackoffUntil is when a feed may be read again.
	feedBackoffUntil time.Time
	// reload makes the next call of readStore a load although there is a state; loading
	// is set while one is in progress.
	reload, loading bool
	// watchWanted makes readLoop start the next watch at once.
	watchWanted chan struct{}
	// progressAt is when a part of an answer to readStore last arrived.
	progressAt time.Time
	// stopWatch cancels the call of readStore in progress; nil if there is none.
	stopWatch context.CancelFunc
}

var counters = expvar.NewMap("Follower")

// Option configures a Follower.
type Option func(*Follower)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(f *Follower) { f.clock = c } }

// WithBootClock sets the clock that measures the age of confirmations.
func WithBootClock(b BootClock) Option { return func(f *Follower) { f.bootClock = b } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(f *Follower) { f.log = l } }

// WithSettings replaces the default settings.
func WithSettings(s Settings) Option { return func(f *Follower) { f.settings = s } }

// WithUpstream sets the function that returns the feed to read, or nil to read
// the store itself.
func WithUpstream(choose func() Feed) Option { return func(f *Follower) { f.upstream = choose } }

// New returns a follower of the store with no state. decode turns the store's
// items into changes.
func New(store Store, decode func(Item) Change, opts ...Option) *Follower {
	f := &Follower{
		settings: DefaultSettings, store: store, decode: decode, upstream: func() Feed { return nil },
		clock: clockwork.NewRealClock(), bootClock: systemBootClock{}, log: zap.NewNop(), history: newHistory(),
		invalid:     map[string]string{},
		watchWanted: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.decode = f.protectDecode(decode)
	f.servers = backend.NewDirectory()
	f.fleet = newFleet()
	f.lastContactAt = f.clock.Now()
	f.lastAnswerAt = f.lastContactAt
	return f
}

// protectDecode returns a function that decodes items. An item at which decode panics
// counts as one that can't be decoded: each instance reads it again after a restart.
func (f *Follower) protectDecode(decode func(Item) Change) func(Item) Change {
	return func(item Item) (c Change) {
		defer func() {
			if cause := recover(); cause != nil {
				counters.Add("DecodePanicked", 1)
				f.log.Error("EntryNotDecoded", zap.String("Key", item.Key), zap.Stringer("Revision", item.Revision), zap.String("Cause", fmt.Sprint(cause)), zap.ByteString("Stack", debug.Stack()))
				c = Change{Key: item.Key, Revision: item.Revision}
			}
		}()
		return decode(item)
	}
}

// Run reads and applies changes until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.confirmLoop(ctx) })
	group.Go(func() { f.expireLoop(ctx) })
	f.readLoop(ctx)
	group.Wait()
}

const (
	// minRetryDelay is the delay after a failed call, maxRetryDelay the delay
	// after several failures in a row. The increase limits the load that retries
	// put on a store which refuses many instances.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

// readLoop reads changes from a feed if there is one, else from the store.
func (f *Follower) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		start := f.clock.Now()
		if feed := f.currentFeed(); feed != nil {
			if !f.readFeed(ctx, feed) && f.currentFeed() != nil {
				f.sleep(ctx, minRetryDelay)
			}
			continue
		}
		if err := f.readStore(ctx); err != nil {
			if f.isReloadDue() {
				continue // the watch lagged and was stopped
			}
			delay := f.recordFailure(err)
			if f.currentFeed() != nil {
				delay = minRetryDelay // a feed is available
			}
			f.sleep(ctx, delay)
			continue
		}
		f.sleepBetweenWatches(ctx, f.settings.MinWatchInterval-f.clock.Since(start))
	}
}

// sleepBetweenWatches sleeps until d has passed or a watch is wanted.
func (f *Follower) sleepBetweenWatches(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.watchWanted:
	case <-f.clock.After(d):
	}
}

// currentFeed returns the feed to read now, or nil to read the store.
func (f *Follower) currentFeed() Feed {
	f.mu.Lock()
	useStore := !f.revision.IsKnown() || f.clock.Now().Before(f.feedBackoffUntil)
	f.mu.Unlock()
	if useStore {
		return nil
	}
	return f.upstream()
}

// isReloadDue reports whether readStore is to load the state.
func (f *Follower) isReloadDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reload
}

// readStore makes one call to the store, a load if there is no state yet or the last
// watch lagged and else a watch, and applies the result. A lost history makes the
// next call a load.
func (f *Follower) readStore(ctx context.Context) error {
	f.mu.Lock()
	position, load, withTable := f.revision, !f.revision.IsKnown() || f.reload, !f.tableRevision.IsKnown()
	f.reload, f.loading = false, load
	ctx, f.stopWatch = context.WithCancel(ctx)
	f.mu.Unlock()
	defer f.cancelWatch()
	ctx = transfer.WithProgress(ctx, f.recordProgress)
	requestedAt, soughtAt := f.bootClock.Elapsed(), f.clock.Now()
	if load {
		items, at, err := f.store.Load(ctx, withTable)
		if err == nil {
			f.recordAnswer()
			f.applyBatch(Batch{Items: items, Revision: at, Whole: true}, true)
			f.recordView(at, requestedAt)
			if withTable {
				f.recordTableRead(at, requestedAt)
				f.recordTableSought(soughtAt)
			}
		}
		return err
	}
	items, at, err := f.store.Watch(ctx, position, f.settings.WatchWait)
	if isHistoryLost(err) {
		counters.Add("HistoryLost", 1)
		f.log.Warn("StoreHistoryLost", zap.Stringer("After", position))
		f.resetRevision()
		return nil
	}
	if err != nil {
		return err
	}
	f.recordAnswer()
	f.applyBatch(Batch{Items: items, Revision: at}, true)
	if f.confirmUnchanged(at, requestedAt) { // it would have brought a newer table
		f.recordTableSought(soughtAt)
	}
	return nil
}

func (f *Follower) recordProgress() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progressAt = f.clock.Now()
}

// recordAnswer records that the store has answered this instance itself. It ends
// the backoff.
func (f *Follower) recordAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastAnswerAt, f.ownFailures, f.storeBackoffUntil = f.clock.Now(), 0, time.Time{}
}

// IsCutOff reports whether this instance can't reach the store itself. It should
// then read the feed of an instance that can.
func (f *Follower) IsCutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now().Before(f.storeBackoffUntil)
}

func (f *Follower) cancelWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopWatch()
	f.stopWatch = nil
}

// isReadingStore reports whether this instance reads the store itself: there is
// no feed, or a watch of the store, which may hang, is still in progress.
func (f *Follower) isReadingStore() bool {
	f.mu.Lock()
	watching := f.stopWatch != nil
	f.mu.Unlock()
	return watching || f.currentFeed() == nil
}

func (f *Follower) resetRevision() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = revision.Revision{}
}

// readFeed makes one call to another instance's feed and applies the result. It
// reports whether the feed answered, and both the feed's confirmation of the routing
// table and the follower's are at most MaxFeedAge old. If the feed's is of a newer table,
// the follower's doesn't count: the table is on its way, or confirmLoop reads it.
func (f *Follower) readFeed(ctx context.Context, feed Feed) bool {
	f.mu.Lock()
	position := Position{Revision: f.revision, Table: f.tableRevision}
	f.mu.Unlock()
	requestedAt := f.bootClock.Elapsed()
	feedCtx, cancel := context.WithTimeout(ctx, f.settings.FeedWait+f.settings.FeedTimeout)
	defer cancel()
	batch, err := feed.Next(feedCtx, position, f.settings.FeedWait)
	if errors.Is(err, ErrTooFarBehind) && f.IsCutOff() {
		batch, err = feed.Next(feedCtx, Position{}, f.settings.FeedWait)
	}
	if err == nil && batch.Revision.Era < position.Revision.Era {
		err = &EarlierEraError{Feed: batch.Revision.Era, Known: position.Revision.Era}
	}
	if err != nil {
		f.recordFeedFailure(err)
		return false
	}
	f.expandTable(&batch)
	f.applyBatch(batch, batch.Table.IsKnown() && batch.Age < f.settings.MaxFeedAge)
	if batch.ViewAge > 0 {
		f.recordView(batch.Revision, requestedAt-batch.ViewAge)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordFeedTable(batch)
	f.tableGap = f.revision
	if batch.Table.IsKnown() && batch.Table == f.tableRevision {
		f.recordConfirmation(requestedAt - batch.Age)
	}
	age := batch.Age
	if !batch.Table.After(f.tableRevision) {
		age = max(age, f.bootClock.Elapsed()-f.confirmedAt)
	}
	if age > f.settings.MaxFeedAge {
		feed.Reject()
		f.switchToStore("confirmation too old", batch.Age, nil)
		return false
	}
	return true
}

// expandTable adds the routing table of the batch's difference to its items. If the
// difference is from another version than this instance's, the table is read from the
// store like one that is left out.
func (f *Follower) expandTable(b *Batch) {
	base := f.history.table()
	if b.TableDiff == nil || !b.TableDiff.Revision.After(base.Revision) {
		return
	}
	item, err := b.TableDiff.apply(base)
	if err != nil {
		counters.Add("TableNotExpanded", 1)
		f.log.Info("TableNotExpanded", zap.Stringer("Revision", b.TableDiff.Revision), zap.Error(err))
		f.mu.Lock()
		defer f.mu.Unlock()
		f.feedTable = b.TableDiff.Revision
		return
	}
	counters.Add("TableExpanded", 1)
	b.Items = append(b.Items, item)
}

// recordFeedFailure switches to the store after a failed call to a feed.
func (f *Follower) recordFeedFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.switchToStore("feed failed", 0, err)
}

// switchToStore makes the follower read the store itself for FeedBackoff. While
// the store is in backoff too, the follower keeps reading feeds instead, for maxRetryDelay
// at most. age is
// that of the feed's confirmation, 0 if the feed returned none. The caller holds
// mu.
func (f *Follower) switchToStore(reason string, age time.Duration, err error) {
	counters.Add("FeedLeft", 1)
	now := f.clock.Now()
	if !now.Before(f.storeBackoffUntil) {
		f.feedBackoffUntil = now.Add(f.settings.FeedBackoff)
	} else if retryAt := now.Add(maxRetryDelay); retryAt.Before(f.storeBackoffUntil) {
		// The feed's reader may have lost the store too, and the store may be back.
		f.storeBackoffUntil = retryAt
	}
	f.log.Info("FeedLeft", zap.String("Why", reason), zap.Duration("Age", age), zap.Stringer("Revision", f.revision), zap.Error(err))
}

// expireLoop removes servers at the end of their grace period, even when no
// change arrives.
func (f *Follower) expireLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f.sleep(ctx, f.settings.ReannounceGrace/8)
		f.mu.Lock()
		if f.expire(f.clock.Now()) {
			f.View.Servers.Publish(f.servers.Listing())
		}
		f.mu.Unlock()
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

// recordFailure records a failed call to the store and returns the delay before
// the next one. Failures for longer than OutageThreshold start a backoff.
func (f *Follower) recordFailure(err error) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownFailures++
	if now := f.clock.Now(); now.Sub(f.lastAnswerAt) > f.settings.OutageThreshold && !now.Before(f.storeBackoffUntil) {
		f.storeBackoffUntil = now.Add(f.settings.StoreBackoff)
		counters.Add("StoreRested", 1)
		if f.stopWatch != nil {
			f.stopWatch() // it may hang for long although a feed may be available
		}
	}
	counters.Add("CallFailed", 1)
	f.failures++
	if !f.storeLost && f.clock.Since(f.lastContactAt) > f.settings.OutageThreshold {
		f.storeLost = true
		f.log.Warn("StoreLost", zap.Duration("Since", f.clock.Since(f.lastContactAt)), zap.Error(err))
	}
	return min(maxRetryDelay, minRetryDelay<<min(f.ownFailures/2, 2))
}

// recordContact records an answer of the store. After an outage it starts the
// grace period for servers whose entries end. The caller holds mu.
func (f *Follower) recordContact() {
	now := f.clock.Now()
	// Without a failed call the gap is a pause of this process, not an outage.
	if gap := now.Sub(f.lastContactAt); gap > f.settings.OutageThreshold && f.failures > 0 {
		f.graceUntil = now.Add(f.settings.ReannounceGrace)
		f.storeLost = false
		f.log.Info("StoreRegained", zap.Duration("After", gap))
	}
	f.lastContactAt, f.failures = now, 0
}
