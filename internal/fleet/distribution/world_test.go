package distribution

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// tick is the step of simulated time.
const tick = 100 * time.Millisecond

// membershipLag is the time after which the simulated membership drops an
// instance that is down.
const membershipLag = 6 * time.Second

// instantClock is a clock whose After fires at once, so that the controller never
// waits. Only step advances simulated time.
type instantClock struct{ *clockwork.FakeClock }

func (c instantClock) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

// instanceSet is a set of instances, one bit each.
type instanceSet [2]uint64

// storedVersion is one version of the document in the simulated store.
type storedVersion struct {
	value []byte
	mod   int64
	at    time.Time
}

// fleet is a simulated fleet: instances with their controllers, a store, and the
// faults injected between them.
type fleet struct {
	seed      uint64
	rng       *rand.Rand
	clock     instantClock
	instances []*instance
	steps     int
	// partitioned holds the data centres that cannot reach any other.
	partitioned map[string]bool
	// storeUnreachable holds the data centres that cannot reach the store.
	storeUnreachable map[string]bool
	storeDown        bool
	// messageLoss is the probability that a message between instances, or a
	// read from the store, is lost.
	messageLoss float64
	// writeLoss is the probability of each fault of a write to the store.
	writeLoss float64
	// storeDelay is the age of the state that the store's answers and events show.
	storeDelay time.Duration
	reads      int

	mu               sync.Mutex
	sendCounts       map[string]uint64
	current          storedVersion
	revision         int64
	history          []storedVersion
	delayed          []func()
	presetByRevision map[int64]string
}

// instance is one instance of the simulated fleet.
type instance struct {
	fleet       *fleet
	name        string
	dataCentre  string
	board       *board.Board
	controller  *Controller
	editor      *Editor
	downUntil   time.Time
	pausedUntil time.Time
	// stableSince is when a fault last affected this instance.
	stableSince time.Time
	startedAt   time.Time
	// reachedAt is when this instance could last reach the store or a peer.
	reachedAt   time.Time
	watchSilent bool
	// isolated means that this instance can reach neither the store nor any peer.
	isolated         bool
	deliveredMod     int64
	publishedMembers instanceSet
	highestRevision  int64
	phase            int
}

func newFleet(seed uint64, instances, dataCentres int) *fleet {
	f := &fleet{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 1)),
		clock:       instantClock{clockwork.NewFakeClockAt(time.Unix(1e9, 0))},
		partitioned: map[string]bool{}, storeUnreachable: map[string]bool{}, sendCounts: map[string]uint64{}, presetByRevision: map[int64]string{},
	}
	value, _ := testDocument().Encode()
	f.write(0, value)
	for i := range instances {
		in := &instance{fleet: f, name: fmt.Sprintf("i%02d", i), dataCentre: fmt.Sprintf("dc%d", i%dataCentres), phase: i}
		f.instances = append(f.instances, in)
	}
	for _, in := range f.instances {
		in.start()
	}
	return f
}

func testDocument() *configuration.Document {
	return &configuration.Document{
		FormatVersion: 1, Preset: "Ordinary", Serial: 1,
		Presets: []configuration.Preset{{Name: "Ordinary"}, {Name: "Peak"}, {Name: "Maintenance"}},
	}
}

// start starts or restarts the instance without any state.
func (in *instance) start() {
	in.board = &board.Board{}
	in.controller = New(in.name, in.dataCentre, in.board, in, in, WithClock(in.fleet.clock))
	in.editor = NewEditor(in.controller, in)
	in.stableSince = in.fleet.clock.Now()
	in.startedAt = in.stableSince
	in.reachedAt = in.stableSince
	in.highestRevision, in.deliveredMod, in.publishedMembers = 0, 0, instanceSet{}
	in.watchSilent = in.fleet.rng.IntN(4) == 0
}

// write stores value if the key's modification revision is expected.
func (f *fleet) write(expected int64, value []byte) (bool, int64) {
	if f.current.mod != expected {
		return false, f.current.mod
	}
	f.revision++
	f.current = storedVersion{value, f.revision, f.clock.Now()}
	f.history = append(f.history, f.current)
	return true, f.revision
}

// loses reports whether a message is lost, with probability p. The result depends
// on the seed, the message and its number, not on the order of concurrent
// messages, so that a seed always gives the same run.
func (f *fleet) loses(what string, p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sendCounts[what]++
	h := xxhash.Sum64String(what) ^ f.seed*0x9e3779b97f4a7c15 ^ f.sendCounts[what]*0xbf58476d1ce4e5b9
	h = (h ^ h>>31) * 0x94d049bb133111eb
	h ^= h >> 29
	return float64(h%1e6)/1e6 < p
}

func (in *instance) isUp() bool {
	now := in.fleet.clock.Now()
	return !now.Before(in.downUntil) && !now.Before(in.pausedUntil)
}

// step advances the simulation by one tick.
func (f *fleet) step(tickNumber int) {
	f.clock.Advance(tick)
	if f.rng.IntN(5) == 0 {
		for _, write := range f.delayed {
			write()
		}
		f.delayed = nil
	}
	for _, in := range f.instances {
		if in.isUp() {
			in.step(tickNumber)
		}
	}
}

// step does what the controller's loops do during one tick.
func (in *instance) step(tickNumber int) {
	ctx := context.Background()
	c := in.controller
	if mask := in.fleet.listedInstances(); mask != in.publishedMembers {
		in.publishedMembers = mask
		in.board.Members.Publish(in.members(mask))
	}
	second := (tickNumber+in.phase)%int(time.Second/tick) == 0
	if second && (c.isWatcher() || c.isWithoutPeers()) {
		_ = c.poll(ctx)
	}
	if stored := in.fleet.visibleVersion(); c.isWatcher() && in.reachesStore() && !in.watchSilent && in.deliveredMod != stored.mod {
		in.deliveredMod = stored.mod
		c.handleEvent(store.Event{Entry: store.Entry{Value: stored.value, ModRevision: stored.mod}})
	}
	if second {
		in.exchangeHeartbeats()
	}
	c.handlePeerStatuses(ctx)
	if (tickNumber+in.phase)%10 == 5 && !c.isJoined() {
		c.join(ctx)
	}
	select {
	case <-c.changed:
		c.distribute(ctx)
	default:
	}
	if tickNumber%2 == 0 {
		c.publishConfirmation()
	}
}

// listedInstances returns the instances in the simulated membership: all except
// those that have been down for longer than membershipLag.
func (f *fleet) listedInstances() (mask instanceSet) {
	now := f.clock.Now()
	for i, in := range f.instances {
		if !now.Before(in.downUntil) || now.Sub(in.startedAt) < membershipLag {
			mask[i/64] |= 1 << (i % 64)
		}
	}
	return mask
}

func (in *instance) members(mask instanceSet) *board.Members {
	m := &board.Members{Self: in.name}
	for i, other := range in.fleet.instances {
		if mask[i/64]&(1<<(i%64)) != 0 {
			m.List = append(m.List, board.Member{Name: other.name, PeerAddress: other.name, DataCentre: other.dataCentre, State: board.MemberAlive})
		}
	}
	return m
}

// exchangeHeartbeats exchanges revisions with up to three other instances.
func (in *instance) exchangeHeartbeats() {
	now := in.fleet.clock.Now()
	statuses := &board.PeerStatuses{}
	if old := in.board.PeerStatuses.Get(); old != nil {
		statuses.List = append(statuses.List, old.List...)
	}
	for range 3 {
		to := in.fleet.instances[in.fleet.rng.IntN(len(in.fleet.instances))]
		if to == in || !in.reaches(to) || in.fleet.loses(in.name+">"+to.name, in.fleet.messageLoss) {
			continue
		}
		status := board.PeerStatus{Name: to.name, PeerAddress: to.name, Revision: to.controller.revision(), RequestedAt: now}
		if c := to.board.Confirmation.Get(); c != nil {
			status.ConfirmedAt = c.StoreConfirmedAt
		}
		statuses.List = append(statuses.List, status)
		reply := &board.PeerStatuses{List: []board.PeerStatus{{Name: in.name, PeerAddress: in.name, Revision: in.controller.revision()}}}
		to.board.PeerStatuses.Publish(reply)
	}
	statuses.List = statuses.List[max(0, len(statuses.List)-8):]
	in.board.PeerStatuses.Publish(statuses)
}
