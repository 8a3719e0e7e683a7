package follower

import (
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
