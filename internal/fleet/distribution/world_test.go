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

// membershipLag is how late the simulated membership follows.
const membershipLag = 6 * time.Second

// instantClock never makes its caller wait: the world moves between steps.
type instantClock struct{ *clockwork.FakeClock }

func (c instantClock) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

// instanceSet holds one bit for each instance.
type instanceSet [2]uint64

// storedVersion is one value of the simulated store's key.
type storedVersion struct {
	value []byte
	mod   int64
	at    time.Time
}

// fleet is a fleet of controllers, a store and the faults between them.
type fleet struct {
	seed      uint64
	rng       *rand.Rand
	clock     instantClock
	instances []*instance
	steps     int
	// partitioned holds the data centres that reach no other data centre.
	partitioned map[string]bool
	// storeUnreachable holds the data centres that do not reach the store.
	storeUnreachable map[string]bool
	storeDown        bool
	messageLoss      float64
	writeLoss        float64
	// storeDelay is how late the store's answers and events come.
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
	// stableSince is when this instance was last disturbed.
	stableSince time.Time
	startedAt   time.Time
	// reachedAt is when this instance last reached the store or a peer.
	reachedAt   time.Time
	watchSilent bool
	// isolated means that neither the store nor any other is reached.
	isolated         bool
	deliveredMod     int64
	publishedMembers instanceSet
	highestRevision  int64
	phase            int
}

func newFleet(seed uint64, instances, dataCentres int) *fleet {
	w := &fleet{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 1)),
		clock:       instantClock{clockwork.NewFakeClockAt(time.Unix(1e9, 0))},
		partitioned: map[string]bool{}, storeUnreachable: map[string]bool{}, sendCounts: map[string]uint64{}, presetByRevision: map[int64]string{},
	}
	value, _ := testDocument().Encode()
	w.write(0, value)
	for i := range instances {
		n := &instance{fleet: w, name: fmt.Sprintf("i%02d", i), dataCentre: fmt.Sprintf("dc%d", i%dataCentres), phase: i}
		w.instances = append(w.instances, n)
	}
	for _, n := range w.instances {
		n.start()
	}
	return w
}

func testDocument() *configuration.Document {
	return &configuration.Document{
		FormatVersion: 1, Preset: "Ordinary", Serial: 1,
		Presets: []configuration.Preset{{Name: "Ordinary"}, {Name: "Peak"}, {Name: "Maintenance"}},
	}
}

// start begins a new run of the instance, which knows nothing.
func (n *instance) start() {
	n.board = &board.Board{}
	n.controller = New(n.name, n.dataCentre, n.board, n, n, WithClock(n.fleet.clock))
	n.editor = NewEditor(n.controller, n)
	n.stableSince = n.fleet.clock.Now()
	n.startedAt = n.stableSince
	n.reachedAt = n.stableSince
	n.highestRevision, n.deliveredMod, n.publishedMembers = 0, 0, instanceSet{}
	n.watchSilent = n.fleet.rng.IntN(4) == 0
}

// write stores a value if the key is at the expected revision.
func (w *fleet) write(expected int64, value []byte) (bool, int64) {
	if w.current.mod != expected {
		return false, w.current.mod
	}
	w.revision++
	w.current = storedVersion{value, w.revision, w.clock.Now()}
	w.history = append(w.history, w.current)
	return true, w.revision
}

// loses draws whether a message is lost. The draw depends on the message and
// not on the order in which concurrent messages are drawn.
func (w *fleet) loses(what string, p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sendCounts[what]++
	h := xxhash.Sum64String(what) ^ w.seed*0x9e3779b97f4a7c15 ^ w.sendCounts[what]*0xbf58476d1ce4e5b9
	h = (h ^ h>>31) * 0x94d049bb133111eb
	h ^= h >> 29
	return float64(h%1e6)/1e6 < p
}

func (n *instance) isUp() bool {
	now := n.fleet.clock.Now()
	return !now.Before(n.downUntil) && !now.Before(n.pausedUntil)
}

// step moves the world by one tick.
func (w *fleet) step(number int) {
	w.clock.Advance(tick)
	if w.rng.IntN(5) == 0 {
		for _, f := range w.delayed {
			f()
		}
		w.delayed = nil
	}
	for _, n := range w.instances {
		if n.isUp() {
			n.step(number)
		}
	}
}

// step does what the controller's loops would do in one tick.
func (n *instance) step(number int) {
	ctx := context.Background()
	c := n.controller
	if mask := n.fleet.listedInstances(); mask != n.publishedMembers {
		n.publishedMembers = mask
		n.board.Members.Publish(n.members(mask))
	}
	second := (number+n.phase)%int(time.Second/tick) == 0
	if second && (c.isWatcher() || c.isWithoutPeers()) {
		_ = c.poll(ctx)
	}
	if v := n.fleet.visibleVersion(); c.isWatcher() && n.reachesStore() && !n.watchSilent && n.deliveredMod != v.mod {
		n.deliveredMod = v.mod
		c.handleEvent(store.Event{Entry: store.Entry{Value: v.value, ModRevision: v.mod}})
	}
	if second {
		n.exchangeHeartbeats()
	}
	c.handlePeerStatuses(ctx)
	if (number+n.phase)%10 == 5 && !c.isJoined() {
		c.join(ctx)
	}
	select {
	case <-c.changed:
		c.distribute(ctx)
	default:
	}
	if number%2 == 0 {
		c.publishConfirmation()
	}
}

// listedInstances is the set of all instances, without those that were down for longer
// than the lag.
func (w *fleet) listedInstances() (mask instanceSet) {
	now := w.clock.Now()
	for i, n := range w.instances {
		if !now.Before(n.downUntil) || now.Sub(n.startedAt) < membershipLag {
			mask[i/64] |= 1 << (i % 64)
		}
	}
	return mask
}

func (n *instance) members(mask instanceSet) *board.Members {
	m := &board.Members{Self: n.name}
	for i, o := range n.fleet.instances {
		if mask[i/64]&(1<<(i%64)) != 0 {
			m.List = append(m.List, board.Member{Name: o.name, PeerAddress: o.name, DataCentre: o.dataCentre, State: board.MemberAlive})
		}
	}
	return m
}

// exchangeHeartbeats exchanges revisions with three others.
func (n *instance) exchangeHeartbeats() {
	now := n.fleet.clock.Now()
	latest := &board.PeerStatuses{}
	if old := n.board.PeerStatuses.Get(); old != nil {
		latest.List = append(latest.List, old.List...)
	}
	for range 3 {
		to := n.fleet.instances[n.fleet.rng.IntN(len(n.fleet.instances))]
		if to == n || !n.reaches(to) || n.fleet.loses(n.name+">"+to.name, n.fleet.messageLoss) {
			continue
		}
		seen := board.PeerStatus{Name: to.name, PeerAddress: to.name, Revision: to.controller.revision(), RequestedAt: now}
		if c := to.board.Confirmation.Get(); c != nil {
			seen.ConfirmedAt = c.StoreConfirmedAt
		}
		latest.List = append(latest.List, seen)
		back := &board.PeerStatuses{List: []board.PeerStatus{{Name: n.name, PeerAddress: n.name, Revision: n.controller.revision()}}}
		to.board.PeerStatuses.Publish(back)
	}
	latest.List = latest.List[max(0, len(latest.List)-8):]
	n.board.PeerStatuses.Publish(latest)
}
