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

// listLag is how late the simulated membership follows.
const listLag = 6 * time.Second

// instantClock never makes its caller wait: the world moves between steps.
type instantClock struct{ *clockwork.FakeClock }

func (c instantClock) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

// nodeSet holds one bit for each instance.
type nodeSet [2]uint64

// version is one value of the simulated store's key.
type version struct {
	value []byte
	mod   int64
	at    time.Time
}

// world is a fleet of controllers, a store and the faults between them.
type world struct {
	seed      uint64
	rng       *rand.Rand
	clock     instantClock
	instances []*node
	steps     int
	// cut holds the data centres that reach no other data centre.
	cut map[string]bool
	// storeCut holds the data centres that do not reach the store.
	storeCut  map[string]bool
	storeDown bool
	loss      float64
	lose      float64
	// slow is how late the store's answers and events come.
	slow  time.Duration
	reads int

	mu       sync.Mutex
	sent     map[string]uint64
	current  version
	revision int64
	history  []version
	delayed  []func()
	byRev    map[int64]string
}

// node is one instance of the simulated fleet.
type node struct {
	world      *world
	name       string
	dataCentre string
	board      *board.Board
	controller *Controller
	editor     *Editor
	downUntil  time.Time
	pausedTo   time.Time
	// stableSince is when this instance was last disturbed.
	stableSince time.Time
	startedAt   time.Time
	// reachedAt is when this instance last reached the store or a peer.
	reachedAt time.Time
	silent    bool
	// isolated means that neither the store nor any other is reached.
	isolated    bool
	seenMod     int64
	seenMembers nodeSet
	highest     int64
	phase       int
}

func newWorld(seed uint64, instances, dataCentres int) *world {
	w := &world{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 1)),
		clock: instantClock{clockwork.NewFakeClockAt(time.Unix(1e9, 0))},
		cut:   map[string]bool{}, storeCut: map[string]bool{}, sent: map[string]uint64{}, byRev: map[int64]string{},
	}
	value, _ := testDocument().Encode()
	w.write(0, value)
	for i := range instances {
		n := &node{world: w, name: fmt.Sprintf("i%02d", i), dataCentre: fmt.Sprintf("dc%d", i%dataCentres), phase: i}
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
func (n *node) start() {
	n.board = &board.Board{}
	n.controller = New(n.name, n.dataCentre, n.board, n, n, WithClock(n.world.clock))
	n.editor = NewEditor(n.controller, n)
	n.stableSince = n.world.clock.Now()
	n.startedAt = n.stableSince
	n.reachedAt = n.stableSince
	n.highest, n.seenMod, n.seenMembers = 0, 0, nodeSet{}
	n.silent = n.world.rng.IntN(4) == 0
}

// write stores a value if the key is at the expected revision.
func (w *world) write(expected int64, value []byte) (bool, int64) {
	if w.current.mod != expected {
		return false, w.current.mod
	}
	w.revision++
	w.current = version{value, w.revision, w.clock.Now()}
	w.history = append(w.history, w.current)
	return true, w.revision
}

// isLost draws whether a message is lost. The draw depends on the message and
// not on the order in which concurrent messages are drawn.
func (w *world) isLost(what string, p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[what]++
	h := xxhash.Sum64String(what) ^ w.seed*0x9e3779b97f4a7c15 ^ w.sent[what]*0xbf58476d1ce4e5b9
	h = (h ^ h>>31) * 0x94d049bb133111eb
	h ^= h >> 29
	return float64(h%1e6)/1e6 < p
}

func (n *node) isUp() bool {
	now := n.world.clock.Now()
	return !now.Before(n.downUntil) && !now.Before(n.pausedTo)
}

// step moves the world by one tick.
func (w *world) step(number int) {
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
func (n *node) step(number int) {
	ctx := context.Background()
	c := n.controller
	if mask := n.world.listed(); mask != n.seenMembers {
		n.seenMembers = mask
		n.board.Members.Publish(n.members(mask))
	}
	second := (number+n.phase)%int(time.Second/tick) == 0
	if second && (c.isWatcher() || c.isAlone()) {
		_ = c.poll(ctx)
	}
	if v := n.world.visible(); c.isWatcher() && n.reachesStore() && !n.silent && n.seenMod != v.mod {
		n.seenMod = v.mod
		c.seen(store.Event{Entry: store.Entry{Value: v.value, ModRevision: v.mod}})
	}
	if second {
		n.heartbeats()
	}
	c.followSightings(ctx)
	if (number+n.phase)%10 == 5 && !c.isJoined() {
		c.join(ctx)
	}
	select {
	case <-c.changed:
		c.spread(ctx)
	default:
	}
	if number%2 == 0 {
		c.confirm()
	}
}

// listed is the set of all instances, without those that were down for longer
// than the lag.
func (w *world) listed() (mask nodeSet) {
	now := w.clock.Now()
	for i, n := range w.instances {
		if !now.Before(n.downUntil) || now.Sub(n.startedAt) < listLag {
			mask[i/64] |= 1 << (i % 64)
		}
	}
	return mask
}

func (n *node) members(mask nodeSet) *board.Members {
	m := &board.Members{Self: n.name}
	for i, o := range n.world.instances {
		if mask[i/64]&(1<<(i%64)) != 0 {
			m.List = append(m.List, board.Member{Name: o.name, PeerAddress: o.name, DataCentre: o.dataCentre, State: board.MemberAlive})
		}
	}
	return m
}

// heartbeats exchanges revisions with three others.
func (n *node) heartbeats() {
	now := n.world.clock.Now()
	latest := &board.PeerStatuses{}
	if old := n.board.PeerStatuses.Get(); old != nil {
		latest.List = append(latest.List, old.List...)
	}
	for range 3 {
		to := n.world.instances[n.world.rng.IntN(len(n.world.instances))]
		if to == n || !n.reaches(to) || n.world.isLost(n.name+">"+to.name, n.world.loss) {
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
