package pinning

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
	"github.com/kingcupyard/kingcupyard/internal/release/rollout"
	"github.com/kingcupyard/kingcupyard/internal/routing/session"
)

var errUnreachable = errors.New("unreachable")

// node is one instance of the fake fleet; nil pins mean that it is down.
type node struct {
	name    string
	board   *board.Board
	service *Service
	down    bool
}

// fleet delivers calls between nodes in memory.
type fleet struct {
	clock *clockwork.FakeClock
	nodes map[string]*node
	begun bool
	doc   *configuration.Document
}

func (f *fleet) at(address string) (*Service, error) {
	n := f.nodes[address]
	if n == nil || n.down {
		return nil, errUnreachable
	}
	return n.service, nil
}

func (f *fleet) Pin(ctx context.Context, address string, req *peer.PinRequest) (*peer.PinResponse, error) {
	s, err := f.at(address)
	if err != nil {
		return nil, err
	}
	return s.Pin(ctx, req)
}

func (f *fleet) Pins(ctx context.Context, address string, req *peer.PinsRequest) (*peer.PinsResponse, error) {
	s, err := f.at(address)
	if err != nil {
		return nil, err
	}
	return s.Pins(ctx, req)
}

func (f *fleet) Create(context.Context, store.Purpose, string, []byte) (bool, int64, error) {
	created := !f.begun
	f.begun = true
	return created, 1, nil
}

func newFleet(size int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), nodes: map[string]*node{}, doc: testDocument()}
	for i := range size {
		f.start(fmt.Sprintf("i%d", i))
	}
	f.settle()
	return f
}

func testDocument() *configuration.Document {
	return &configuration.Document{
		Customers: []configuration.Customer{{Name: "c", Allowed: []configuration.ModelAccess{{Model: "m"}}}},
		Models: []configuration.Model{{Name: "m", Default: "v1", Versions: []configuration.Version{
			{Name: "v1", State: configuration.VersionActive}, {Name: "v2", State: configuration.VersionActive},
		}}},
	}
}

func (f *fleet) start(name string) {
	n := &node{name: name, board: new(board.Board)}
	n.service = New(n.board, session.NewPins(f.clock), f, f, f.clock, zap.NewNop())
	f.nodes[name] = n
}

// settle tells everybody who is up and lets each look once.
func (f *fleet) settle() {
	var list []board.Member
	for _, name := range f.names() {
		if !f.nodes[name].down {
			list = append(list, board.Member{Name: name, PeerAddress: name, State: board.MemberAlive})
		}
	}
	for _, m := range list {
		n := f.nodes[m.Name]
		n.board.Configuration.Publish(f.doc)
		n.board.Members.Publish(&board.Members{Self: m.Name, List: list})
	}
	for range 2 {
		for _, m := range list {
			n := f.nodes[m.Name]
			n.service.Sync(context.Background(), n.board.Members.Get())
		}
	}
}

func (f *fleet) names() []string {
	names := make([]string, 0, len(f.nodes))
	for i := range len(f.nodes) {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	return names
}

// share moves the roll-out to a share of new sessions.
func (f *fleet) share(share float64) {
	f.clock.Advance(time.Minute)
	doc := f.doc.Clone()
	if len(doc.Rollouts) == 0 {
		doc.Rollouts = []configuration.Rollout{{ID: "r", Model: "m", From: "v1", To: "v2", State: configuration.RolloutRunning, StartedAt: f.clock.Now()}}
	}
	r := &doc.Rollouts[0]
	r.Stages, r.Stage, r.StageAt = []float64{share}, 0, f.clock.Now()
	r.History = append(r.History, configuration.StageChange{At: f.clock.Now(), Share: share})
	f.doc = doc
	f.settle()
	f.clock.Advance(time.Minute)
}

func (f *fleet) ask(via, name string) (string, error) {
	pin, _, err := f.nodes[via].service.Resolve(context.Background(), session.Request{Customer: "c", Session: name, Model: "m"})
	return pin.Version, err
}

// TestSessionsKeepVersion drives seeded schedules of stage changes, crashes,
// restarts and planned stops, at most one instance away at a time, and asks for
// each session again and again through any instance.
func TestSessionsKeepVersion(t *testing.T) {
	refused := 0
	seeds := uint64(1000)
	if testing.Short() {
		seeds = 50 // the race detector looks for races, not for rare schedules
	}
	for seed := range seeds {
		rnd := rand.New(rand.NewPCG(seed, 7))
		f := newFleet(5)
		had := map[string]string{}
		away := ""
		for range 30 {
			switch rnd.IntN(4) {
			case 0:
				f.share(rnd.Float64())
			case 1:
				away = f.toggle(t, rnd, away)
			}
			via := f.names()[rnd.IntN(5)]
			if via == away {
				continue
			}
			name := fmt.Sprintf("s%d", rnd.IntN(8))
			version, err := f.ask(via, name)
			switch {
			case err != nil:
				refused++
			case had[name] != "" && had[name] != version:
				t.Fatalf("seed %d: session %s had %s, then %s", seed, name, had[name], version)
			default:
				had[name] = version
			}
		}
	}
	is.New(t).Equal(refused, 0) // with one instance away at a time nothing is lost
}

// toggle brings the instance that is away back, restarted, or takes one away.
func (f *fleet) toggle(t *testing.T, rnd *rand.Rand, away string) string {
	if away != "" {
		f.start(away)
		f.settle()
		return ""
	}
	n := f.nodes[f.names()[rnd.IntN(5)]]
	if rnd.IntN(2) == 0 {
		if err := n.service.HandOver(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	n.down = true
	f.settle()
	return n.name
}

// TestLostSessionIsNotGuessed loses all pins at once: a name whose version the
// history leaves open is refused.
func TestLostSessionIsNotGuessed(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.share(0.5)
	name := ""
	for i := 0; name == ""; i++ {
		candidate := fmt.Sprintf("s%d", i)
		if rollout.HashFraction("c", candidate, "m") < 0.5 {
			name = candidate
		}
	}
	version, err := f.ask("i0", name)
	is.NoErr(err)
	is.Equal(version, "v2")
	for _, n := range f.names() {
		f.start(n)
	}
	f.settle()
	_, err = f.ask("i0", name)
	is.True(err != nil) // began before or after the stage: nobody knows
}

// TestCopiesAreMadeAnew loses as many instances as hold a pin, one after
// another.
func TestCopiesAreMadeAnew(t *testing.T) {
	is := is.New(t)
	f := newFleet(7)
	f.share(1)
	var had []string
	for i := range 50 {
		version, err := f.ask("i6", fmt.Sprintf("s%d", i))
		is.NoErr(err)
		had = append(had, version)
	}
	f.share(0)
	for i := range holders {
		f.nodes[fmt.Sprintf("i%d", i)].down = true
		f.settle()
	}
	for i := range 50 {
		version, err := f.ask("i6", fmt.Sprintf("s%d", i))
		is.NoErr(err)
		is.Equal(version, had[i])
	}
}
