package gateway

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/routing/share"
	"github.com/kingcupyard/kingcupyard/internal/routing/shedding"
)

// maxUsesBytes is the target for a message of uses: a node spends at most 17 KB a second for
// control.
const maxUsesBytes = 2 << 10

// A message of uses has a bounded size, however many customers there are, and tells another
// instance who exceeds a share.
func TestUsesAreExchanged(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	sender, receiver := newTestGateway(clock), newTestGateway(clock)
	for second := range int64(12) {
		for i := range 1000 {
			sender.ObserveUse("assistant", strconv.Itoa(i), 100*time.Millisecond)
		}
		if second > 8 {
			sender.ObserveUse("assistant", "7", 100*time.Second)
		}
		raw, err := json.Marshal(&message{From: "edge-2", Run: 1, Sequence: second, Uses: sender.rooms.shares.Own(clock.Now())})
		is.NoErr(err)
		is.True(len(raw) <= maxUsesBytes)
		var m message
		is.NoErr(json.Unmarshal(raw, &m))
		receiver.peers.handle(&m)
		receiver.rooms.report()
		over, exceeded := receiver.ExceedsShare("assistant", "7")
		is.Equal(over, second > 8)
		is.Equal(exceeded, second > 8)
		clock.Advance(time.Second)
	}
	over, _ := receiver.ExceedsShare("assistant", "8")
	is.True(!over)
}

// An instance takes its own uses out of the total that its reader sends.
func TestOwnUsesCountOnce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newTestGateway(clock)
	a, b := share.Key("assistant", "a"), share.Key("assistant", "b")
	for sequence := range int64(10) {
		g.ObserveUse("assistant", "a", 200*time.Millisecond)
		own := g.rooms.shares.Own(clock.Now())
		g.peers.lastUses = own
		g.peers.handle(&message{From: "reader", Run: 1, Sequence: sequence, TotalUses: share.Uses{a: own[a], b: own[a]}})
		g.rooms.report()
		is.Equal(g.rooms.shares.Exceeding(), 0)
		clock.Advance(time.Second)
	}
}

// What is known of a service that is gone is forgotten.
func TestRoomOfGoneServiceIsForgotten(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newTestGateway(clock)
	g.follower.View.Table.Publish(&route.Table{Services: map[string]route.Service{"assistant": {}}})
	for _, service := range []string{"assistant", "gone"} {
		g.Pricer(service).ObserveRequest(shedding.Request{PredictedWait: time.Second}, time.Second, clock.Now())
		g.Line(service)
	}
	g.rooms.report()
	is.Equal(len(g.rooms.pricers), 1)
	is.Equal(len(g.rooms.lines), 1)
}
