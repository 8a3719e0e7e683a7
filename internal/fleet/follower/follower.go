package follower

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// BootClock measures time that goes on while the machine is suspended.
type BootClock interface {
	// Elapsed is the time since a fixed moment before the process began.
	Elapsed() time.Duration
}

// View is what an instance believes. The follower is the only writer.
type View struct {
	Table   board.Section[route.Table]
	Servers board.Section[backend.Listing]
	Fleet   board.Section[Fleet]
}

// Settings of a follower.
type Settings struct {
	// WatchWait is how long a watch of the store waits for a change.
	WatchWait time.Duration
	// MinWatchInterval is the least time between the starts of two watches.
	MinWatchInterval time.Duration
	// MaxWatchLag is how long a watch may lack a change that a confirmation has
	// seen, before it is taken for silent.
	MaxWatchLag time.Duration
	// ConfirmInterval is how often the routing table's entry is read.
	ConfirmInterval time.Duration
	// FeedWait is how long another instance's feed waits for a change.
	FeedWait time.Duration
	// FeedTimeout bounds the time that it may take beyond that.
	FeedTimeout time.Duration
	// MaxFeedAge is how old a confirmation from a feed may be before the store
	// is asked itself.
	MaxFeedAge time.Duration
	// FeedBackoff is how long the store is followed itself after a feed failed.
	FeedBackoff time.Duration
	// StoreBackoff is how long the store is left alone, where there is a feed,
	// after it was out of this instance's reach.
	StoreBackoff time.Duration
	// OutageThreshold is how long the store may be out of reach before entries that
	// end are taken for lapsed and not for gone.
	OutageThreshold time.Duration
	// ReannounceGrace is how long after the store's return servers have to announce
	// themselves again.
	ReannounceGrace time.Duration
}

// DefaultSettings are the settings that instances use. A leaving server must
// be known within 2 s and a key's end within 5 s, whatever fails on the way.
var DefaultSettings = Settings{
	WatchWait:        5 * time.Second,
	MinWatchInterval: 250 * time.Millisecond,
	MaxWatchLag:      150 * time.Millisecond,
	ConfirmInterval:  800 * time.Millisecond,
	FeedWait:         250 * time.Millisecond,
	FeedTimeout:      250 * time.Millisecond,
	MaxFeedAge:       1300 * time.Millisecond,
	FeedBackoff:      time.Second,
	StoreBackoff:     3 * time.Second,
	OutageThreshold:  time.Second,
	ReannounceGrace:  1900 * time.Millisecond,
}

// Follower follows the store, or another instance that does. Build it with New.
type Follower struct {
	View     View
	settings Settings
	store    Store
	decode   func(Item) Change
	upstream func() Feed
	clock    clockwork.Clock
	boot     BootClock
	log      *zap.Logger
	history  *history

	mu        sync.Mutex
	directory *backend.Directory
	fleet     Fleet
	table     int64 // revision of the table's entry
	version   int64 // version of the table in force
	// revision is the store's up to which everything is known; below 0
	// nothing is.
	revision int64
	// confirmedAt is the boot clock's time at which the last successful
	// reading of the table's entry was asked for.
	confirmedAt time.Duration
	confirmed   bool
	// contactAt is when the store last answered.
	contactAt time.Time
	// failures counts the calls that failed since then.
	failures int
	// lapseUntil is when entries that end are gone for good again.
	lapseUntil  time.Time
	unreachable bool
	// answeredAt is when the store last answered this instance itself, streak
	// the number of its calls that failed since then.
	answeredAt time.Time
	streak     int
	// restUntil is when the store is asked again.
	restUntil time.Time
	// directUntil is when a feed may be followed again.
	directUntil time.Time
	// stopWatch ends the watch under way.
	stopWatch context.CancelFunc
}

var events = expvar.NewMap("Follower")

// Option changes a Follower.
type Option func(*Follower)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(f *Follower) { f.clock = c } }

// WithBootClock sets the clock that confirmations are measured by.
func WithBootClock(b BootClock) Option { return func(f *Follower) { f.boot = b } }

// WithLogger sets the log.
func WithLogger(l *zap.Logger) Option { return func(f *Follower) { f.log = l } }

// WithSettings replaces the default settings.
func WithSettings(s Settings) Option { return func(f *Follower) { f.settings = s } }

// WithUpstream sets the choice of another instance's feed; nil stands for the
// store itself.
func WithUpstream(choose func() Feed) Option { return func(f *Follower) { f.upstream = choose } }

// New returns a follower that knows nothing yet.
func New(store Store, decode func(Item) Change, opts ...Option) *Follower {
	f := &Follower{
		settings: DefaultSettings, store: store, decode: decode, upstream: func() Feed { return nil },
		clock: clockwork.NewRealClock(), boot: systemBoot{}, log: zap.NewNop(), revision: -1, history: newHistory(),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.directory = backend.NewDirectory()
	f.fleet = newFleet()
	f.contactAt = f.clock.Now()
	f.answeredAt = f.contactAt
	return f
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.confirmLoop(ctx) })
	group.Go(func() { f.expireLoop(ctx) })
	f.followLoop(ctx)
	group.Wait()
}

const (
	// retryPause is the pause after a call that failed, and longestPause that
	// after several in a row: many instances that the store refuses are a load.
	retryPause   = 150 * time.Millisecond
	longestPause = 600 * time.Millisecond
)

// followLoop takes in changes, from a feed where there is one.
func (f *Follower) followLoop(ctx context.Context) {
	for ctx.Err() == nil {
		began := f.clock.Now()
		if feed := f.feed(); feed != nil {
			if !f.followFeed(ctx, feed) && f.feed() != nil {
				f.pause(ctx, retryPause)
			}
			continue
		}
		if err := f.watch(ctx); err != nil {
			pause := f.failed(err)
			if f.feed() != nil {
				pause = retryPause // there is somebody else to ask
			}
			f.pause(ctx, pause)
			continue
		}
		f.pause(ctx, f.settings.MinWatchInterval-f.clock.Since(began))
	}
}

// feed returns the feed to follow now, or nil for the store.
func (f *Follower) feed() Feed {
	f.mu.Lock()
	direct := f.revision < 0 || f.clock.Now().Before(f.directUntil)
	f.mu.Unlock()
	if direct {
		return nil
	}
	return f.upstream()
}

// watch follows the store itself for one call.
func (f *Follower) watch(ctx context.Context) error {
	f.mu.Lock()
	revision := f.revision
	ctx, f.stopWatch = context.WithCancel(ctx)
	f.mu.Unlock()
	defer f.endWatch()
	if revision < 0 {
		items, at, err := f.store.Load(ctx)
		if err == nil {
			f.answered()
			f.take(Batch{Items: items, Revision: at, Whole: true}, true)
		}
		return err
	}
	items, at, err := f.store.Watch(ctx, revision, f.settings.WatchWait)
	if isHistoryLost(err) {
		events.Add("HistoryLost", 1)
		f.log.Warn("StoreHistoryLost", zap.Int64("After", revision))
		f.forgetRevision()
		return nil
	}
	if err != nil {
		return err
	}
	f.answered()
	f.take(Batch{Items: items, Revision: at}, true)
	return nil
}

// answered notes that the store has answered this instance itself.
func (f *Follower) answered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answeredAt, f.streak, f.restUntil = f.clock.Now(), 0, time.Time{}
}

// IsCutOff reports whether the store is out of this instance's own reach, so
// that it should follow another instance if there is one that is not.
func (f *Follower) IsCutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now().Before(f.restUntil)
}

func (f *Follower) endWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopWatch()
	f.stopWatch = nil
}

// isDirect reports whether the store is followed itself: there is no feed, or a
// watch of the store is still under way, which may hang.
func (f *Follower) isDirect() bool {
	f.mu.Lock()
	watching := f.stopWatch != nil
	f.mu.Unlock()
	return watching || f.feed() == nil
}

func (f *Follower) forgetRevision() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = -1
}

// followFeed follows another instance for one call. It reports whether that was
// of use.
func (f *Follower) followFeed(ctx context.Context, feed Feed) bool {
	f.mu.Lock()
	revision := f.revision
	f.mu.Unlock()
	asked := f.boot.Elapsed()
	limited, cancel := context.WithTimeout(ctx, f.settings.FeedWait+f.settings.FeedTimeout)
	defer cancel()
	batch, err := feed.Next(limited, revision, f.settings.FeedWait)
	if errors.Is(err, ErrTooFarBehind) && f.IsCutOff() {
		batch, err = feed.Next(limited, -1, f.settings.FeedWait)
	}
	if err != nil {
		f.leaveFeed(err)
		return false
	}
	f.take(batch, batch.Table > 0 && batch.Age < f.settings.MaxFeedAge)
	f.mu.Lock()
	defer f.mu.Unlock()
	if batch.Table > 0 && batch.Table == f.table {
		f.confirm(asked - batch.Age)
	}
	if f.boot.Elapsed()-f.confirmedAt > f.settings.MaxFeedAge {
		feed.Reject()
		f.goDirect("confirmation too old", nil)
		return false
	}
	return true
}

// leaveFeed goes back to the store after a feed failed.
func (f *Follower) leaveFeed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.goDirect("feed failed", err)
}

// goDirect follows the store itself for a while, unless that is out of reach:
// then the next feed is all that there is.
func (f *Follower) goDirect(why string, err error) {
	events.Add("FeedLeft", 1)
	now := f.clock.Now()
	if !now.Before(f.restUntil) {
		f.directUntil = now.Add(f.settings.FeedBackoff)
	}
	f.log.Info("FeedLeft", zap.String("Why", why), zap.Error(err))
}

// expireLoop ends the grace of lapsed servers in time, also while no change
// comes.
func (f *Follower) expireLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f.pause(ctx, f.settings.ReannounceGrace/8)
		f.mu.Lock()
		if f.directory.Expire(f.clock.Now()) {
			f.View.Servers.Publish(f.directory.Listing())
		}
		f.mu.Unlock()
	}
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

// failed notes a call that the store did not answer properly. It returns the
// pause until the next one.
func (f *Follower) failed(err error) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streak++
	if now := f.clock.Now(); now.Sub(f.answeredAt) > f.settings.OutageThreshold && !now.Before(f.restUntil) {
		f.restUntil = now.Add(f.settings.StoreBackoff)
		events.Add("StoreRested", 1)
		if f.stopWatch != nil {
			f.stopWatch() // it may hang for long, while a feed may be there
		}
	}
	events.Add("CallFailed", 1)
	f.failures++
	if !f.unreachable && f.clock.Since(f.contactAt) > f.settings.OutageThreshold {
		f.unreachable = true
		f.log.Warn("StoreLost", zap.Duration("Since", f.clock.Since(f.contactAt)), zap.Error(err))
	}
	return min(longestPause, retryPause<<min(f.streak/2, 2))
}

// reached notes an answer of the store. After an outage, entries that end are
// for a while taken for lapsed.
func (f *Follower) reached() {
	now := f.clock.Now()
	// Without a failed call the silence was our own pause.
	if silence := now.Sub(f.contactAt); silence > f.settings.OutageThreshold && f.failures > 0 {
		f.lapseUntil = now.Add(f.settings.ReannounceGrace)
		f.unreachable = false
		f.log.Info("StoreRegained", zap.Duration("After", silence))
	}
	f.contactAt, f.failures = now, 0
}
