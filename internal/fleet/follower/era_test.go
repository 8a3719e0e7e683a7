package follower

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// in returns an item as it is in an era of the store.
func in(era int64, item Item) Item {
	item.Revision.Era = era
	return item
}

// atEra returns a revision of an era.
func atEra(era, number int64) revision.Revision {
	return revision.Revision{Era: era, Number: number}
}

// Guards against a table that never comes into force, and an older one that is confirmed
// in its place, since its revision was given out before the store came back from a copy
// (review/11).
func TestTableOfLaterEra(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zapcore.InfoLevel)
	f := newTestFollower(WithLogger(zap.New(core)))
	inForce := func() int64 { return f.View.Table.Get().Version }
	age := func() time.Duration {
		age, _ := f.ConfirmationAge()
		return age
	}
	f.applyBatch(Batch{Items: []Item{in(1, tableItem(5, 100))}, Revision: atEra(1, 100), Whole: true}, true)
	f.applyConfirmation(in(1, tableItem(6, 200)), atEra(1, 200), 0)
	is.Equal(inForce(), int64(6))
	is.Equal(logs.FilterMessage("StoreEraBegun").Len(), 0)

	// The copy has the table before it.
	f.advance(time.Second)
	f.applyConfirmation(in(2, tableItem(5, 100)), atEra(2, 110), f.bootClock.now)
	is.Equal(inForce(), int64(6))
	is.Equal(age(), time.Duration(0))
	is.Equal(logs.FilterMessage("OlderTableIgnored").Len(), 1)

	// The operator writes the table again, and then the next one.
	f.applyConfirmation(in(2, tableItem(6, 120)), atEra(2, 120), f.bootClock.now)
	f.advance(time.Second)
	f.applyConfirmation(in(1, tableItem(6, 200)), atEra(1, 210), 0) // a late answer
	is.Equal(age(), time.Second)
	f.applyConfirmation(in(2, tableItem(7, 130)), atEra(2, 130), f.bootClock.now)
	is.Equal(inForce(), int64(7))
	f.applyConfirmation(in(1, tableItem(6, 200)), atEra(1, 210), 0)
	is.Equal(inForce(), int64(7))
	is.Equal(logs.FilterMessage("StoreEraBegun").Len(), 1)
}

// Guards against changes that the reader of a feed never gets, as it has had their
// revisions in an earlier era (review/12).
func TestFeedAcrossEras(t *testing.T) {
	is := is.New(t)
	source, f := newTestFollower(), newTestFollower()
	for _, x := range []*testFollower{source, f} {
		x.applyBatch(Batch{Items: []Item{in(1, tableItem(1, 1)), in(1, serverItem("a", "Ready", 2)), in(1, serverItem("b", "Ready", 150))}, Revision: atEra(1, 200), Whole: true}, true)
	}
	copied := []Item{in(2, tableItem(1, 1)), in(2, serverItem("a", "Ready", 2))}
	source.applyBatch(Batch{Items: append(copied, in(2, Item{Key: "closed/gulberg", Revision: at(188)})), Revision: atEra(2, 190), Whole: true}, true)
	source.applyConfirmation(copied[0], atEra(2, 190), 0)
	is.True(f.readFeed(t.Context(), followerFeed{source}))
	is.True(f.View.Fleet.Get().ClosedDataCentres["gulberg"])
	is.Equal(f.revision, atEra(2, 190))
	is.True(f.hasServer("a") && f.hasServer("b")) // it may announce itself again
	f.advance(f.settings.ReannounceGrace)
	f.applyBatch(Batch{Revision: f.revision}, true)
	is.True(f.hasServer("a") && !f.hasServer("b"))

	source.applyBatch(Batch{Items: []Item{in(2, Item{Key: "closed/gulberg", Revision: at(195), Gone: true})}, Revision: atEra(2, 195)}, true)
	is.True(f.readFeed(t.Context(), followerFeed{source}))
	is.True(!f.View.Fleet.Get().ClosedDataCentres["gulberg"])
}

// A feed that doesn't know the current era yet, or any, as that of an instance of an earlier
// version, is left for the store, and nothing of it is applied.
func TestFeedOfEarlierEra(t *testing.T) {
	for _, era := range []int64{0, 1} {
		is := is.New(t)
		source, f := newTestFollower(), newTestFollower()
		source.applyBatch(Batch{Items: []Item{in(era, tableItem(1, 1)), in(era, serverItem("a", "Ready", 2))}, Revision: atEra(era, 300), Whole: true}, true)
		f.applyBatch(Batch{Items: []Item{in(2, tableItem(1, 1)), in(2, serverItem("b", "Ready", 2))}, Revision: atEra(2, 190), Whole: true}, true)
		f.upstream = func() Feed { return followerFeed{source} }
		is.True(!f.readFeed(t.Context(), followerFeed{source}))
		is.True(f.currentFeed() == nil)
		is.True(f.hasServer("b") && !f.hasServer("a"))
		is.Equal(f.revision, atEra(2, 190))
	}
}

// An instance of an earlier version doesn't state its era. It gets changes as before, and
// the complete state if its position may be of an earlier era.
func TestReaderWithoutEra(t *testing.T) {
	is := is.New(t)
	source := newTestFollower()
	next := func(number int64) Batch {
		b, err := source.Next(t.Context(), Position{Revision: at(number), Table: at(1), EraUnknown: true}, 0)
		is.NoErr(err)
		return b
	}
	source.applyBatch(Batch{Items: []Item{in(1, tableItem(1, 1))}, Revision: atEra(1, 200), Whole: true}, true)
	source.applyBatch(Batch{Items: []Item{in(1, serverItem("a", "Ready", 201))}, Revision: atEra(1, 201)}, true)
	is.Equal(len(next(200).Items), 1)
	is.True(!next(200).Whole)
	is.Equal(len(next(250).Items), 0) // it is ahead
	source.applyBatch(Batch{Items: []Item{in(2, tableItem(1, 1))}, Revision: atEra(2, 190), Whole: true}, true)
	is.True(next(200).Whole)
	is.True(!next(190).Whole)
}

// A difference is made from a table of the same revision in the same era.
func TestTableDiffAcrossEras(t *testing.T) {
	is := is.New(t)
	source, f := newTestFollower(), newTestFollower()
	base := in(1, tableItemWithRoutes(1, 100, 1400, 1))
	for _, x := range []*testFollower{source, f} {
		x.applyBatch(Batch{Items: []Item{base}, Revision: atEra(1, 100), Whole: true}, true)
		x.applyConfirmation(base, atEra(1, 100), 0)
	}
	source.applyBatch(Batch{Revision: atEra(2, 90), Whole: true}, true)
	other, next := in(2, tableItemWithRoutes(2, 100, 1400, 2)), in(2, tableItemWithRoutes(3, 101, 1400, 2))
	source.applyConfirmation(other, atEra(2, 100), 0)
	source.applyConfirmation(next, atEra(2, 101), 0)
	f.readFeed(t.Context(), followerFeed{source})
	f.readFeed(t.Context(), followerFeed{source})
	is.Equal(f.View.Table.Get().Version, int64(3))
	is.Equal(f.tableRevision, next.Revision)
}

// Guards against a rollout order, or the closure of a data centre, that a copy of the store
// takes back before the operator has written it again. One that isn't written again ends.
func TestOrdersThatCopyLacks(t *testing.T) {
	is := is.New(t)
	f := newTestFollower()
	f.decode = func(item Item) Change {
		if service, ok := strings.CutPrefix(item.Key, "rollout/"); ok {
			return Change{Key: item.Key, Revision: item.Revision, Subject: RolloutOrder{Service: service, Target: "v2", Ended: item.Gone}}
		}
		return decodeTestItem(item)
	}
	closures := func() map[string]bool { return f.View.Fleet.Get().ClosedDataCentres }
	closure := func(era, number int64, name string) Item {
		return in(era, Item{Key: "closed/" + name, Revision: at(number)})
	}
	f.applyBatch(Batch{Items: []Item{closure(1, 5, "a"), closure(1, 50, "b"), closure(1, 51, "c"), in(1, Item{Key: "rollout/assistant", Revision: at(52)})}, Revision: atEra(1, 60), Whole: true}, true)
	f.resetRevision() // the watch gets 410
	whole := Batch{Items: []Item{closure(2, 5, "a")}, Revision: atEra(2, 10), Whole: true}
	f.applyBatch(whole, true)
	f.applyBatch(Batch{Items: []Item{closure(2, 11, "b")}, Revision: atEra(2, 11)}, true)
	f.applyBatch(Batch{Items: append(whole.Items, closure(2, 11, "b")), Revision: atEra(2, 11), Whole: true}, true)
	is.Equal(closures(), map[string]bool{"a": true, "b": true, "c": true})
	is.Equal(len(f.View.Fleet.Get().Orders), 1)
	f.advance(f.settings.ReannounceGrace)
	f.applyBatch(Batch{Revision: f.revision}, true)
	is.Equal(closures(), map[string]bool{"a": true, "b": true})
	is.Equal(len(f.View.Fleet.Get().Orders), 0)
}

// What has been decided on a rollout stands until the driver has written it again, unless the
// store's copy or a driver in the new era has a later record of it.
func TestRolloutThatCopyLacks(t *testing.T) {
	order := func(era, number int64, target string) Item {
		return in(era, Item{Key: "rollout/assistant", Value: []byte(target), Revision: at(number)})
	}
	progress := func(era, number, of int64, state RolloutState, elapsed time.Duration) Item {
		return in(era, Item{Key: "progress/assistant", Value: fmt.Appendf(nil, "%d %s %d", of, state, elapsed), Revision: at(number)})
	}
	decode := func(item Item) Change {
		c := Change{Key: item.Key, Revision: item.Revision}
		if strings.HasPrefix(item.Key, "rollout/") {
			c.Subject = RolloutOrder{Service: "assistant", Target: string(item.Value), Revision: item.Revision, Ended: item.Gone}
			return c
		}
		p := RolloutProgress{Service: "assistant", Revision: item.Revision}
		if _, err := fmt.Sscan(string(item.Value), &p.Order, &p.State, &p.Elapsed); err != nil {
			t.Fatal(err)
		}
		c.Subject = p
		return c
	}
	known := []Item{order(1, 100, "v2"), progress(1, 150, 100, RolloutReverted, 9)}
	for _, c := range []struct {
		name  string
		whole []Item // in the new era
		later []Item // after it
		want  RolloutProgress
	}{
		{"the copy has both", []Item{order(2, 100, "v2"), progress(2, 150, 100, RolloutReverted, 9)}, nil,
			RolloutProgress{Order: 100, State: RolloutReverted, Elapsed: 9, Revision: atEra(2, 150)}},
		{"the copy has an earlier record", []Item{progress(2, 120, 100, RolloutActive, 4), order(2, 100, "v2")}, nil,
			RolloutProgress{Order: 100, State: RolloutReverted, Elapsed: 9, Revision: atEra(2, 120), Lost: true}},
		{"the copy has the order", []Item{order(2, 100, "v2")}, nil,
			RolloutProgress{Order: 100, State: RolloutReverted, Elapsed: 9, Lost: true}},
		{"the copy has neither", nil, nil,
			RolloutProgress{Order: 100, State: RolloutReverted, Elapsed: 9, Lost: true}},
		{"the order is written again", nil, []Item{order(2, 90, "v2")},
			RolloutProgress{Order: 90, State: RolloutReverted, Elapsed: 9, Lost: true}},
		{"the driver was first", []Item{progress(2, 95, 90, RolloutReverted, 9), order(2, 90, "v2")}, nil,
			RolloutProgress{Order: 90, State: RolloutReverted, Elapsed: 9, Revision: atEra(2, 95)}},
		{"the driver writes it again", nil, []Item{order(2, 90, "v2"), progress(2, 95, 90, RolloutReverted, 9)},
			RolloutProgress{Order: 90, State: RolloutReverted, Elapsed: 9, Revision: atEra(2, 95)}},
		{"another order", nil, []Item{order(2, 90, "v3"), progress(2, 95, 90, RolloutActive, 0)},
			RolloutProgress{Order: 90, State: RolloutActive, Revision: atEra(2, 95)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFollower()
			f.decode = decode
			f.applyBatch(Batch{Items: known, Revision: atEra(1, 200), Whole: true}, true)
			f.resetRevision()
			f.applyBatch(Batch{Items: c.whole, Revision: atEra(2, 80), Whole: true}, true)
			f.applyBatch(Batch{Items: c.later, Revision: atEra(2, 96)}, true)
			c.want.Service = "assistant"
			is.New(t).Equal(f.View.Fleet.Get().Rollouts["assistant"], c.want)
		})
	}
}
