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

// instance is one instance of the fake fleet.
type instance struct {
	name    string
	board   *board.Board
	service *Service
	down    bool
}

// fleet delivers calls between instances in memory. It implements Peers and Store.
type fleet struct {
	clock         *clockwork.FakeClock
	instances     map[string]*instance
	sessionsBegun bool
	doc           *configuration.Document
}

func (f *fleet) serviceAt(address string) (*Service, error) {
	inst := f.instances[address]
	if inst == nil || inst.down {
		return nil, errUnreachable
	}
	return inst.service, nil
}

func (f *fleet) Pin(ctx context.Context, address string, req *peer.PinRequest) (*peer.PinResponse, error) {
	s, err := f.serviceAt(address)
	if err != nil {
		return nil, err
	}
	return s.Pin(ctx, req)
}

func (f *fleet) Pins(ctx context.Context, address string, req *peer.PinsRequest) (*peer.PinsResponse, error) {
	s, err := f.serviceAt(address)
	if err != nil {
		return nil, err
	}
	return s.Pins(ctx, req)
}

func (f *fleet) Create(context.Context, store.Purpose, string, []byte) (bool, int64, error) {
	created := !f.sessionsBegun
	f.sessionsBegun = true
	return created, 1, nil
}

func newFleet(size int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), instances: map[string]*instance{}, doc: testDocument()}
	for i := range size {
		f.start(fmt.Sprintf("i%d", i))
	}
	f.publishAndSync()
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

// start starts or restarts an instance without any pins.
func (f *fleet) start(name string) {
	inst := &instance{name: name, board: new(board.Board)}
	inst.service = New(inst.board, session.NewPins(f.clock), f, f, f.clock, zap.NewNop())
	f.instances[name] = inst
}

// publishAndSync publishes the configuration and the running members to every
// running instance and calls Sync on each of them twice.
func (f *fleet) publishAndSync() {
	var members []board.Member
	for _, name := range f.names() {
		if !f.instances[name].down {
			members = append(members, board.Member{Name: name, PeerAddress: name, State: board.MemberAlive})
		}
	}
	for _, m := range members {
		inst := f.instances[m.Name]
		inst.board.Configuration.Publish(f.doc)
		inst.board.Members.Publish(&board.Members{Self: m.Name, List: members})
	}
	for range 2 {
		for _, m := range members {
			inst := f.instances[m.Name]
			inst.service.Sync(context.Background(), inst.board.Members.Get())
		}
	}
}

func (f *fleet) names() []string {
	names := make([]string, 0, len(f.instances))
	for i := range len(f.instances) {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	return names
}

// setRolloutShare sets the share of new sessions that the rollout assigns to v2.
func (f *fleet) setRolloutShare(share float64) {
	f.clock.Advance(time.Minute)
	doc := f.doc.Clone()
	if len(doc.Rollouts) == 0 {
		doc.Rollouts = []configuration.Rollout{{ID: "r", Model: "m", From: "v1", To: "v2", State: configuration.RolloutRunning, StartedAt: f.clock.Now()}}
	}
	r := &doc.Rollouts[0]
	r.Stages, r.Stage, r.StageAt = []float64{share}, 0, f.clock.Now()
	r.History = append(r.History, configuration.StageChange{At: f.clock.Now(), Share: share})
	f.doc = doc
	f.publishAndSync()
	f.clock.Advance(time.Minute)
}

func (f *fleet) resolve(via, name string) (string, error) {
	pin, _, err := f.instances[via].service.Resolve(context.Background(), session.Request{Customer: "c", Session: name, Model: "m"})
	return pin.Version, err
}

// TestSessionsKeepVersion runs seeded schedules of stage changes, crashes, restarts
// and graceful stops, with at most one instance down at a time, and resolves
// sessions repeatedly through any instance. It guards against a session that
// changes its version or is refused because its pin was not copied or handed over.
func TestSessionsKeepVersion(t *testing.T) {
	refused := 0
	seeds := uint64(1000)
	if testing.Short() {
		seeds = 50 // the race detector looks for races, not for rare schedules
	}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 7))
		f := newFleet(5)
		firstVersion := map[string]string{}
		downName := ""
		for range 30 {
			switch rng.IntN(4) {
			case 0:
				f.setRolloutShare(rng.Float64())
			case 1:
				downName = f.toggle(t, rng, downName)
			}
			via := f.names()[rng.IntN(5)]
			if via == downName {
				continue
			}
			name := fmt.Sprintf("s%d", rng.IntN(8))
			version, err := f.resolve(via, name)
			switch {
			case err != nil:
				refused++
			case firstVersion[name] != "" && firstVersion[name] != version:
				t.Fatalf("seed %d: session %s had %s, then %s", seed, name, firstVersion[name], version)
			default:
				firstVersion[name] = version
			}
		}
	}
	is.New(t).Equal(refused, 0) // no pin is lost with one instance down at a time
}

// toggle restarts the instance that is down or, if none is, stops a random one,
// with or without handing over its pins. It returns the name of the instance that
// is down, or "".
func (f *fleet) toggle(t *testing.T, rng *rand.Rand, downName string) string {
	if downName != "" {
		f.start(downName)
		f.publishAndSync()
		return ""
	}
	inst := f.instances[f.names()[rng.IntN(5)]]
	if rng.IntN(2) == 0 {
		if err := inst.service.HandOver(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	inst.down = true
	f.publishAndSync()
	return inst.name
}

// TestLostPinWithAmbiguousVersionIsRefused restarts all instances, so that all
// pins are lost. A session that may have begun before or after a rollout stage is
// refused rather than assigned a version that it may not have had.
func TestLostPinWithAmbiguousVersionIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.setRolloutShare(0.5)
	name := ""
	for i := 0; name == ""; i++ {
		candidate := fmt.Sprintf("s%d", i)
		if rollout.HashFraction("c", candidate, "m") < 0.5 {
			name = candidate
		}
	}
	version, err := f.resolve("i0", name)
	is.NoErr(err)
	is.Equal(version, "v2")
	for _, n := range f.names() {
		f.start(n)
	}
	f.publishAndSync()
	_, err = f.resolve("i0", name)
	is.True(err != nil) // may have begun before or after the stage
}

// TestPinsSurviveSuccessiveFailures stops as many instances as hold a pin, one
// after another. The sessions keep their versions because new copies are made
// after each failure.
func TestPinsSurviveSuccessiveFailures(t *testing.T) {
	is := is.New(t)
	f := newFleet(7)
	f.setRolloutShare(1)
	var versions []string
	for i := range 50 {
		version, err := f.resolve("i6", fmt.Sprintf("s%d", i))
		is.NoErr(err)
		versions = append(versions, version)
	}
	f.setRolloutShare(0)
	for i := range holderCount {
		f.instances[fmt.Sprintf("i%d", i)].down = true
		f.publishAndSync()
	}
	for i := range 50 {
		version, err := f.resolve("i6", fmt.Sprintf("s%d", i))
		is.NoErr(err)
		is.Equal(version, versions[i])
	}
}
