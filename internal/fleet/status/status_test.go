package status

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

type network map[string]*Teller

func (n network) Status(ctx context.Context, address string, req *peer.StatusRequest) (*peer.StatusResponse, error) {
	if t, ok := n[address]; ok {
		return t.Status(ctx, req)
	}
	return nil, errors.New("unreachable")
}

func TestCollect(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	list := []board.Member{
		{Name: "a", PeerAddress: "a", DataCentre: "x", State: board.MemberAlive},
		{Name: "b", PeerAddress: "b", DataCentre: "y", State: board.MemberAlive},
		{Name: "c", PeerAddress: "c", DataCentre: "y", State: board.MemberSuspect},
	}
	n := network{}
	for _, name := range []string{"a", "b"} {
		b := &board.Board{}
		b.Members.Publish(&board.Members{Self: name, List: list})
		b.Configuration.Publish(&configuration.Document{Revision: 7, Preset: "Peak"})
		b.Confirmation.Publish(&board.Confirmation{At: clock.Now(), Ready: true, Until: clock.Now().Add(time.Second)})
		n[name] = New(b, WithClock(clock), WithStoreCalls(func() []store.Calls { return []store.Calls{{Purpose: "Fence", Writes: 3}} }))
	}
	clock.Advance(2 * time.Second)
	all := n["a"].Collect(context.Background(), n)
	is.Equal(len(all), 3)
	for _, s := range all[:2] {
		is.Equal(s.Revision, int64(7))
		is.Equal(s.ConfirmedSeconds, 2.0)
		is.Equal(s.StoreSeconds, -1.0)
		is.True(!s.Ready) // the confirmation has lapsed
		is.Equal(s.Members, map[string]int{"Alive": 2, "Suspect": 1})
		is.Equal(s.Store[0].Writes, int64(3))
	}
	is.Equal(all[2].Error, "unreachable")
}
