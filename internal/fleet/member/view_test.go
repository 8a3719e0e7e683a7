package member

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// TestPauseForgivesSuspects lets a process pause while it suspects a member:
// the time of the pause is not held against the member.
func TestPauseForgivesSuspects(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
	c := New(board.Member{Name: "a", PeerAddress: "a"}, &board.Board{}, nil, WithClock(clock), WithRand(rand.New(rand.NewPCG(1, 2))))
	c.view.told(statement{Member: board.Member{Name: "b", PeerAddress: "b", Generation: 1, State: board.MemberSuspect}}, clock.Now())
	clock.Advance(time.Hour)
	c.begin()
	c.end()
	is.Equal(c.view.members["b"].State, board.MemberSuspect)
	clock.Advance(failAfter)
	c.view.lastAnswer = clock.Now()
	c.end()
	is.Equal(c.view.members["b"].State, memberFailed)
}

// TestHeartbeatUnreadable sends what no instance would send.
func TestHeartbeatUnreadable(t *testing.T) {
	is := is.New(t)
	b := &board.Board{}
	c := New(board.Member{Name: "a", PeerAddress: "a"}, b, nil)
	_, err := c.Heartbeat(context.Background(), &peer.HeartbeatRequest{
		From:    &peer.Member{Name: "x", State: "Alive"},
		Updates: []*peer.Member{{Name: "y", PeerAddress: "y", State: "Strange"}, nil},
	})
	is.NoErr(err)
	is.Equal(len(b.Members.Get().List), 1)
}

// TestSuperseded lets an old run hear of a later one with its name.
func TestSuperseded(t *testing.T) {
	is := is.New(t)
	c := New(board.Member{Name: "a", PeerAddress: "a", Generation: 3}, &board.Board{}, nil)
	c.view.told(statement{Member: board.Member{Name: "a", PeerAddress: "z", Generation: 2, State: memberFailed}}, time.Time{})
	is.True(!c.IsSuperseded())
	c.view.told(statement{Member: board.Member{Name: "a", PeerAddress: "z", Generation: 4, State: board.MemberAlive}}, time.Time{})
	is.True(c.IsSuperseded())
}
