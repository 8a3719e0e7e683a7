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

// TestPauseRestartsSuspicionTimeout pauses a process that suspects a member. The
// pause does not count towards the member's suspicion timeout.
func TestPauseRestartsSuspicionTimeout(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
	c := New(board.Member{Name: "a", PeerAddress: "a"}, &board.Board{}, nil, WithClock(clock), WithRand(rand.New(rand.NewPCG(1, 2))))
	c.view.applyGossip(statement{Member: board.Member{Name: "b", PeerAddress: "b", Generation: 1, State: board.MemberSuspect}}, clock.Now())
	clock.Advance(time.Hour)
	c.startRound()
	c.endRound()
	is.Equal(c.view.members["b"].State, board.MemberSuspect)
	clock.Advance(suspicionTimeout)
	c.view.lastAnswer = clock.Now()
	c.endRound()
	is.Equal(c.view.members["b"].State, memberFailed)
}

// TestHeartbeatWithInvalidStatements sends a heartbeat with invalid statements,
// which are ignored.
func TestHeartbeatWithInvalidStatements(t *testing.T) {
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

// TestSuperseded checks that a run is superseded by a later run with its name, and
// not by an earlier one.
func TestSuperseded(t *testing.T) {
	is := is.New(t)
	c := New(board.Member{Name: "a", PeerAddress: "a", Generation: 3}, &board.Board{}, nil)
	c.view.applyGossip(statement{Member: board.Member{Name: "a", PeerAddress: "z", Generation: 2, State: memberFailed}}, time.Time{})
	is.True(!c.IsSuperseded())
	c.view.applyGossip(statement{Member: board.Member{Name: "a", PeerAddress: "z", Generation: 4, State: board.MemberAlive}}, time.Time{})
	is.True(c.IsSuperseded())
}
