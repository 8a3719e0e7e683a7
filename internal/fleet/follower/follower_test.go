package follower

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
)

// decodeTest understands "table VERSION", "server STATE" and nothing else.
func decodeTest(item Item) Change {
	c := Change{Key: item.Key, Revision: item.Revision}
	word, arg, _ := strings.Cut(string(item.Value), " ")
	switch {
	case strings.HasPrefix(item.Key, "servers/") && item.Gone:
		c.Subject = ServerRemoved{ID: item.Key[8:]}
	case word == "table":
		version, _ := strconv.ParseInt(arg, 10, 64)
		t := &route.Table{Version: version}
		t.Index()
		c.Subject = t
	case word == "server":
		c.Subject = backend.Server{ID: item.Key[8:], Service: "assistant", State: backend.State(arg), Revision: item.Revision, Sequence: item.Revision}
	case strings.HasPrefix(item.Key, "closed/"):
		c.Subject = DataCentreClosure{DataCentre: item.Key[7:], Ended: item.Gone}
	}
	return c
}

// boot is a boot clock that the test moves.
type boot struct{ now time.Duration }

func (b *boot) Elapsed() time.Duration { return b.now }

// bench is a follower whose calls are made by hand.
type bench struct {
	*Follower
	clock *clockwork.FakeClock
	boot  *boot
}

func newBench(opts ...Option) *bench {
	b := &bench{clock: clockwork.NewFakeClock(), boot: &boot{}}
	b.Follower = New(nil, decodeTest, append([]Option{WithClock(b.clock), WithBootClock(b.boot)}, opts...)...)
	return b
}

func (b *bench) advance(d time.Duration) {
	b.clock.Advance(d)
	b.boot.now += d
}

func server(id, state string, revision int64) Item {
	return Item{Key: "servers/" + id, Value: []byte("server " + state), Revision: revision}
}

func table(version, revision int64) Item {
	return Item{Key: "op/config", Value: []byte("table " + strconv.FormatInt(version, 10)), Revision: revision}
}

func (b *bench) listed(id string) bool {
	l := b.View.Servers.Get()
	return l != nil && l.ByID[id] != nil
}

// A pause of the follower's own is no outage of the store: an entry that ends
// after it is gone at once. (Csatornakep, trouble-2, seed 312574701739.)
func TestOwnPauseIsNoOutage(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.take(Batch{Items: []Item{server("a", "Ready", 1)}, Revision: 1, Whole: true}, true)
	b.advance(1200 * time.Millisecond)
	b.take(Batch{Items: []Item{{Key: "servers/a", Revision: 2, Gone: true}}, Revision: 2}, true)
	is.True(!b.listed("a"))
}

// Entries that lapse in an outage stay in use until they had time to return.
func TestLapsedAfterOutage(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.take(Batch{Items: []Item{server("a", "Ready", 1), server("b", "Ready", 2)}, Revision: 2, Whole: true}, true)
	b.failed(errors.New("refused"))
	b.advance(4 * time.Second)
	b.take(Batch{Items: []Item{{Key: "servers/a", Revision: 3, Gone: true}, {Key: "servers/b", Revision: 4, Gone: true}}, Revision: 4}, true)
	is.True(b.listed("a"))
	b.advance(time.Second)
	b.take(Batch{Items: []Item{server("a", "Ready", 5)}, Revision: 5}, true)
	b.advance(2 * time.Second)
	b.take(Batch{Revision: 5}, true)
	is.True(b.listed("a"))
	is.True(!b.listed("b"))
}

// The grace runs from the store's return, not from the end of an entry: a
// server that leaves after the return is out of use within 2 s. (Csatornakep,
// hunt-493e-27: instances were cut off, a server left 2 s after their return.)
func TestGraceRunsFromTheReturn(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.take(Batch{Items: []Item{server("a", "Ready", 1)}, Revision: 1, Whole: true}, true)
	b.failed(errors.New("refused"))
	b.advance(9 * time.Second)
	b.take(Batch{Revision: 1}, true)
	b.advance(1900 * time.Millisecond)
	b.take(Batch{Items: []Item{{Key: "servers/a", Revision: 2, Gone: true}}, Revision: 2}, true)
	b.advance(400 * time.Millisecond)
	b.take(Batch{Revision: 2}, true)
	is.True(!b.listed("a"))
}

// While a watch of the store is under way, the store is asked for confirmations
// too, also if a feed could be followed by then: the watch may hang, and only a
// confirmation shows it. (Pottyround, trouble-3: an old table for 3 s after a
// store outage.)
func TestWatchUnderWayIsConfirmed(t *testing.T) {
	is := is.New(t)
	reader, b := newBench(), newBench()
	b.upstream = func() Feed { return feedOf{reader} }
	inWatch, release := make(chan struct{}), make(chan struct{})
	b.store = &fakeStore{watch: func(int64) ([]Item, int64, error) {
		close(inWatch)
		<-release
		return nil, 3, nil
	}}
	b.take(Batch{Items: []Item{table(1, 1)}, Revision: 3, Whole: true}, true)
	is.True(!b.isDirect())
	done := make(chan error)
	go func() { done <- b.watch(t.Context()) }()
	<-inWatch
	is.True(b.isDirect())
	close(release)
	is.NoErr(<-done)
	is.True(!b.isDirect())
}

// What an instance passes on that is out of the store's reach itself does not
// show that the store is back. (Pottyround, hunt-0fdc-31: an entry that ended
// was taken for lapsed by an instance that its reader's stale feed misled.)
func TestStaleFeedIsNoContact(t *testing.T) {
	is := is.New(t)
	reader, b := newBench(), newBench()
	for _, x := range []*bench{reader, b} {
		x.take(Batch{Items: []Item{table(1, 1), server("a", "Ready", 2)}, Revision: 2, Whole: true}, true)
	}
	reader.confirmedBy(table(1, 1), 2, 0)
	reader.boot.now = 5 * time.Second
	b.failed(errors.New("refused"))
	b.advance(3 * time.Second)
	b.followFeed(t.Context(), feedOf{reader})
	is.Equal(b.failures, 1)
	is.True(b.lapseUntil.IsZero())
	reader.confirmedBy(table(1, 1), 2, 5*time.Second)
	b.followFeed(t.Context(), feedOf{reader})
	is.Equal(b.failures, 0)
	is.True(!b.lapseUntil.IsZero())
}

// A reader's own trouble with the store is not its followers'.
func TestReadersTroubleIsItsOwn(t *testing.T) {
	is := is.New(t)
	reader, b := newBench(), newBench()
	reader.take(Batch{Items: []Item{server("a", "Ready", 1)}, Revision: 1, Whole: true}, true)
	b.take(Batch{Items: []Item{server("a", "Ready", 1)}, Revision: 1, Whole: true}, true)
	reader.failed(errors.New("refused"))
	reader.advance(5 * time.Second)
	reader.take(Batch{Items: []Item{{Key: "servers/a", Revision: 2, Gone: true}}, Revision: 2}, true)
	is.True(reader.listed("a"))
	b.followFeed(t.Context(), feedOf{reader})
	is.True(!b.listed("a"))
}

func TestTableNeverGoesBack(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.take(Batch{Items: []Item{table(7, 10)}, Revision: 10, Whole: true}, true)
	b.take(Batch{Items: []Item{table(5, 8)}, Revision: 12}, true)
	b.confirmedBy(table(6, 9), 12, 0)
	is.Equal(b.View.Table.Get().Version, int64(7))
	b.confirmedBy(table(9, 14), 14, 0)
	is.Equal(b.View.Table.Get().Version, int64(9))
}

// A confirmation counts from before it was asked for, on a clock that goes on
// while the machine is suspended.
func TestConfirmationAge(t *testing.T) {
	is := is.New(t)
	b := newBench()
	_, known := b.ConfirmationAge()
	is.True(!known)
	b.confirmedBy(Item{}, 3, 0) // there is no table: nothing is confirmed
	_, known = b.ConfirmationAge()
	is.True(!known)
	b.boot.now = 10 * time.Second
	b.confirmedBy(table(1, 1), 1, 9*time.Second)
	age, known := b.ConfirmationAge()
	is.True(known)
	is.Equal(age, time.Second)
	b.boot.now += 30 * time.Second // suspended: the steady clock stood still
	age, _ = b.ConfirmationAge()
	is.Equal(age, 31*time.Second)
	b.confirmedBy(table(1, 1), 1, 5*time.Second) // an answer that was overtaken
	age, _ = b.ConfirmationAge()
	is.Equal(age, 31*time.Second)
}

// feedOf serves one follower's knowledge to another.
type feedOf struct{ *bench }

func (f feedOf) Next(ctx context.Context, after int64, _ time.Duration) (Batch, error) {
	return f.Follower.Next(ctx, after, 0)
}

func (feedOf) Reject() {}

func TestFeed(t *testing.T) {
	is := is.New(t)
	reader, b := newBench(), newBench()
	_, err := feedOf{reader}.Next(t.Context(), 0, 0)
	is.True(errors.Is(err, ErrNotSynced))
	reader.take(Batch{Items: []Item{table(3, 4), server("a", "Ready", 5)}, Revision: 5, Whole: true}, true)
	reader.boot.now = 100 * time.Second
	reader.confirmedBy(table(3, 4), 5, 99*time.Second)

	b.boot.now = 7 * time.Second
	b.take(Batch{Items: []Item{table(2, 2)}, Revision: 2, Whole: true}, true)
	b.followFeed(t.Context(), feedOf{reader}) // everything: revision 2 is before the reader's first
	is.Equal(b.View.Table.Get().Version, int64(3))
	is.True(b.listed("a"))
	age, known := b.ConfirmationAge()
	is.True(known)
	is.Equal(age, time.Second) // the reader's age, by the own clock

	reader.take(Batch{Items: []Item{{Key: "servers/a", Revision: 6, Gone: true}}, Revision: 6}, true)
	b.followFeed(t.Context(), feedOf{reader})
	is.True(!b.listed("a"))
	is.Equal(b.revision, int64(6))
}

// A reader that is cut off from the store vouches with a growing age, and the
// instances that it feeds go back to the store.
func TestFeedThatGrowsOldIsLeft(t *testing.T) {
	is := is.New(t)
	reader, b := newBench(), newBench()
	reader.take(Batch{Items: []Item{table(3, 4)}, Revision: 5, Whole: true}, true)
	reader.confirmedBy(table(3, 4), 5, 0)
	b.upstream = func() Feed { return feedOf{reader} }
	b.take(Batch{Items: []Item{table(3, 4)}, Revision: 5, Whole: true}, true)
	b.followFeed(t.Context(), feedOf{reader})
	is.True(b.feed() != nil)
	old := b.settings.MaxFeedAge + time.Millisecond
	reader.boot.now, b.boot.now = old, old
	b.followFeed(t.Context(), feedOf{reader})
	is.True(b.feed() == nil)
	b.advance(b.settings.FeedBackoff)
	is.True(b.feed() != nil)
}

// An instance that the store turns away leaves it alone for a while, asks less
// often meanwhile, and comes back to it. (Csatornakep grown, trouble-1: 19
// instances asked 600 times in 9 seconds; readers among them refused all calls
// with a key though others were in contact.)
func TestTurnedAwayByTheStore(t *testing.T) {
	is := is.New(t)
	b := newBench()
	refused := errors.New("refused")
	is.Equal(b.failed(refused), retryPause)
	is.True(!b.IsCutOff()) // a lost call is no outage
	b.advance(b.settings.OutageThreshold + time.Millisecond)
	for range 5 {
		b.failed(refused)
	}
	is.Equal(b.failed(refused), longestPause)
	is.True(b.IsCutOff())
	b.take(Batch{Items: []Item{table(3, 4)}, Revision: 5, Whole: true}, true) // another instance's feed
	is.True(b.IsCutOff())
	b.advance(b.settings.StoreBackoff)
	is.True(!b.IsCutOff()) // it tries again
	b.failed(refused)
	is.True(b.IsCutOff())
	b.answered()
	is.True(!b.IsCutOff())
	is.Equal(b.failed(refused), retryPause)
}

// Instances that start together know different revisions. One that lags behind
// its reader takes the changes from the store, unless all that there is is small
// or the store is out of its reach; one that is ahead waits. (Sweep at 300
// machines: a megabyte each to 24 instances held a reader's link, and serving
// after all were killed took 14 s.)
func TestFeedToInstancesThatStartTogether(t *testing.T) {
	is := is.New(t)
	reader, ahead, behind := newBench(), newBench(), newBench()
	items := []Item{table(3, 4)}
	reader.take(Batch{Items: items, Revision: 50, Whole: true}, true)
	ahead.take(Batch{Items: items, Revision: 60, Whole: true}, true)
	ahead.followFeed(t.Context(), feedOf{reader})
	is.Equal(ahead.revision, int64(60))

	_, err := feedOf{reader}.Next(t.Context(), 40, 0)
	is.NoErr(err) // it is little
	for i := range 2000 {
		items = append(items, server(strconv.Itoa(i)+strings.Repeat("x", 60), "Ready", 5))
	}
	reader.take(Batch{Items: items, Revision: 51, Whole: true}, true)
	_, err = feedOf{reader}.Next(t.Context(), 40, 0)
	is.True(errors.Is(err, ErrTooFarBehind))

	behind.take(Batch{Items: items[:1], Revision: 40, Whole: true}, true)
	behind.upstream = func() Feed { return feedOf{reader} }
	behind.followFeed(t.Context(), feedOf{reader})
	is.True(behind.feed() == nil) // to the store
	is.Equal(len(behind.View.Servers.Get().ByID), 0)
	behind.advance(behind.settings.OutageThreshold + time.Millisecond)
	behind.failed(errors.New("refused"))
	behind.followFeed(t.Context(), feedOf{reader})
	is.Equal(len(behind.View.Servers.Get().ByID), 2000)
}

// While the store is out of reach, a feed that fails is no reason to wait for the
// store: the next one is asked at once.
func TestFeedIsNotLeftForAStoreOutOfReach(t *testing.T) {
	is := is.New(t)
	reader, b := newBench(), newBench()
	reader.take(Batch{Items: []Item{table(3, 4)}, Revision: 5, Whole: true}, true)
	b.upstream = func() Feed { return feedOf{reader} }
	b.take(Batch{Items: []Item{table(3, 4)}, Revision: 5, Whole: true}, true)
	b.leaveFeed(errors.New("late"))
	is.True(b.feed() == nil) // the store may answer
	b.advance(b.settings.FeedBackoff + b.settings.OutageThreshold)
	b.failed(errors.New("refused"))
	is.True(b.IsCutOff())
	b.leaveFeed(errors.New("late"))
	is.True(b.feed() != nil)
	reader.boot.now, b.boot.now = time.Minute, time.Minute // the reader has lost the store too
	is.True(!b.followFeed(t.Context(), feedOf{reader}))
	is.True(b.feed() != nil)
}

// A feed that vouches for another table than the own one confirms nothing.
func TestFeedOfAnotherTableDoesNotConfirm(t *testing.T) {
	is := is.New(t)
	reader, b := newBench(), newBench()
	reader.take(Batch{Items: []Item{table(3, 4)}, Revision: 5, Whole: true}, true)
	reader.confirmedBy(table(3, 4), 5, 0)
	b.take(Batch{Items: []Item{table(4, 9)}, Revision: 5, Whole: true}, true)
	b.followFeed(t.Context(), feedOf{reader})
	_, known := b.ConfirmationAge()
	is.True(!known)
}

// fakeStore answers from a list of functions.
type fakeStore struct {
	load  func() ([]Item, int64, error)
	watch func(after int64) ([]Item, int64, error)
}

func (s *fakeStore) Load(context.Context) ([]Item, int64, error) { return s.load() }

func (s *fakeStore) Watch(_ context.Context, after int64, _ time.Duration) ([]Item, int64, error) {
	return s.watch(after)
}

func (*fakeStore) Confirm(context.Context) (Item, int64, error) { return Item{}, 0, nil }

func TestHistoryLostReadsEverythingAgain(t *testing.T) {
	is := is.New(t)
	loads := 0
	store := &fakeStore{
		load: func() ([]Item, int64, error) {
			loads++
			if loads == 1 {
				return []Item{server("a", "Ready", 1), {Key: "closed/gulberg", Revision: 2}}, 2, nil
			}
			return []Item{server("b", "Ready", 8)}, 9, nil
		},
		watch: func(after int64) ([]Item, int64, error) { return nil, 0, &HistoryLostError{After: after} },
	}
	b := newBench()
	b.store = store
	is.NoErr(b.watch(t.Context()))
	is.True(b.View.Fleet.Get().ClosedDataCentres["gulberg"])
	is.NoErr(b.watch(t.Context())) // the history is gone
	is.NoErr(b.watch(t.Context()))
	is.True(!b.listed("a"))
	is.True(b.listed("b"))
	is.True(!b.View.Fleet.Get().ClosedDataCentres["gulberg"])
}

// A confirmation that shows a newer revision than the watch renews a watch
// that hangs on a silent connection.
func TestLaggingWatchIsRenewed(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.take(Batch{Items: []Item{table(1, 1)}, Revision: 3, Whole: true}, true)
	stopped := make(chan struct{})
	b.stopWatch = func() { close(stopped) }
	b.confirmedBy(table(1, 1), 3, 0)
	b.clock.Advance(b.settings.MaxWatchLag)
	select {
	case <-stopped:
		t.Fatal("a watch that lacks nothing was stopped")
	default:
	}
	b.confirmedBy(table(1, 1), 5, 0)
	is.NoErr(b.clock.BlockUntilContext(t.Context(), 1))
	b.clock.Advance(b.settings.MaxWatchLag)
	<-stopped
}
