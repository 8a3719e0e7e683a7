package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

var errInjected = errors.New("no answer")

// fakeStore is the platform's store with the faults that it can have. It keeps
// every value that was ever created under a chunk's key.
type fakeStore struct {
	mu       sync.Mutex
	rng      *rand.Rand
	pairs    map[string]Pair
	revision int64
	chunks   []Pair
	commits  int

	down    bool
	latency time.Duration
	// loseAnswer, loseRequest and delay are chances in a hundred.
	loseAnswer, loseRequest, delay int
}

func newFakeStore(rng *rand.Rand) *fakeStore {
	return &fakeStore{rng: rng, pairs: map[string]Pair{}, latency: 3 * time.Millisecond}
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// written returns how many commits arrived and the chunks ever created.
func (f *fakeStore) written() (int, []Pair) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.commits, f.chunks
}

func (f *fakeStore) chance(percent int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(100) < percent
}

// wait takes the store's latency, or fails when it is down.
func (f *fakeStore) wait(ctx context.Context) error {
	f.mu.Lock()
	d, down := f.latency+time.Duration(f.rng.Int64N(int64(f.latency)+1)), f.down
	f.mu.Unlock()
	if down {
		d = time.Second
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
	}
	if down {
		return errInjected
	}
	return nil
}

func (f *fakeStore) Range(ctx context.Context, span Span, limit int) ([]Pair, error) {
	if err := f.wait(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Pair
	for key, p := range f.pairs {
		if key >= span.From && key < span.To {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Pair) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return out[:min(len(out), limit)], nil
}

func (f *fakeStore) Commit(ctx context.Context, txn Txn) (int64, bool, error) {
	if err := f.wait(ctx); err != nil {
		return 0, false, err
	}
	f.mu.Lock()
	loseRequest, delay, loseAnswer := f.loseRequest, f.delay, f.loseAnswer
	f.mu.Unlock()
	switch {
	case f.chance(loseRequest):
		return 0, false, errInjected
	case f.chance(delay):
		f.mu.Lock()
		late := time.Duration(f.rng.Int64N(int64(20 * time.Second)))
		f.mu.Unlock()
		time.AfterFunc(late, func() { f.apply(txn) })
		return 0, false, errInjected
	}
	revision, ok := f.apply(txn)
	if f.chance(loseAnswer) {
		return 0, false, errInjected
	}
	return revision, ok, nil
}

func (f *fakeStore) apply(txn Txn) (int64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	for _, c := range txn.If {
		if f.pairs[c.Key].Revision != c.Revision {
			return 0, false
		}
	}
	f.revision++
	for _, s := range txn.Delete {
		for key := range f.pairs {
			if key >= s.From && key < s.To {
				delete(f.pairs, key)
			}
		}
	}
	for _, p := range txn.Put {
		p.Revision = f.revision
		f.pairs[p.Key] = p
		if IsChunkKey(p.Key) {
			f.chunks = append(f.chunks, p)
		}
	}
	return f.revision, true
}

// instance is one instance of the world.
type instance struct {
	world   *fleet
	member  board.Member
	section board.Section[board.Members]
	ledger  *Ledger
	keeper  *Keeper
	holder  *CopyHolder

	mu        sync.Mutex
	killed    bool
	noStore   bool
	partition int           // nodes of different sides do not reach each other
	resume    chan struct{} // set while paused
}

// waitWhilePaused holds a paused node up and fails a killed one.
func (n *instance) waitWhilePaused() error {
	n.mu.Lock()
	resume := n.resume
	n.mu.Unlock()
	if resume != nil {
		<-resume
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.killed {
		return errInjected
	}
	return nil
}

func (n *instance) currentPartition() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partition
}

func (n *instance) isKilled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed
}

// instanceStore is the store as one node reaches it.
type instanceStore struct{ n *instance }

func (s instanceStore) reach(ctx context.Context) error {
	if err := s.n.waitWhilePaused(); err != nil {
		return err
	}
	s.n.mu.Lock()
	cut := s.n.noStore
	s.n.mu.Unlock()
	if cut {
		return waitForTimeout(ctx)
	}
	return nil
}

func waitForTimeout(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
	return errInjected
}

func (s instanceStore) Range(ctx context.Context, span Span, limit int) ([]Pair, error) {
	if err := s.reach(ctx); err != nil {
		return nil, err
	}
	return s.n.world.store.Range(ctx, span, limit)
}

// Commit of a paused node goes out late, whatever its context says.
func (s instanceStore) Commit(ctx context.Context, txn Txn) (int64, bool, error) {
	if err := s.reach(ctx); err != nil {
		return 0, false, err
	}
	revision, ok, err := s.n.world.store.Commit(context.WithoutCancel(ctx), txn)
	if passErr := s.n.waitWhilePaused(); passErr != nil {
		return 0, false, passErr
	}
	return revision, ok, err
}

// oneWayDelay is the delay one way between two nodes.
const oneWayDelay = 4 * time.Millisecond

// instancePeers carries messages from one node.
type instancePeers struct{ n *instance }

func (p instancePeers) reach(ctx context.Context, to board.Member) (*instance, error) {
	if err := p.n.waitWhilePaused(); err != nil {
		return nil, err
	}
	w := p.n.world
	w.messages.Add(1)
	other, side := w.byName(to.Name), p.n.currentPartition()
	other.mu.Lock()
	cut := other.partition != side || other.killed
	resume := other.resume
	other.mu.Unlock()
	if cut || w.store.chance(int(w.loseMessage.Load())) {
		return nil, waitForTimeout(ctx)
	}
	time.Sleep(oneWayDelay)
	if resume != nil {
		select {
		case <-resume:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return other, nil
}

func (p instancePeers) SendRecords(ctx context.Context, to board.Member, req Request) (Response, error) {
	other, err := p.reach(ctx, to)
	if err != nil {
		return Response{}, err
	}
	resp := other.keeper.Handle(ctx, req)
	time.Sleep(oneWayDelay)
	if p.n.world.store.chance(int(p.n.world.loseMessage.Load())) {
		return Response{}, waitForTimeout(ctx)
	}
	return resp, p.n.waitWhilePaused()
}

func (p instancePeers) SendCopies(ctx context.Context, to board.Member, req CopyRequest) (int, error) {
	other, err := p.reach(ctx, to)
	if err != nil {
		return 0, err
	}
	return other.holder.Store(req), p.n.waitWhilePaused()
}

// fleet is a fleet of nodes around one store.
type fleet struct {
	seed        uint64
	rng         *rand.Rand
	rollup      time.Duration
	store       *fakeStore
	nodes       []*instance
	namesLock   sync.Mutex
	names       map[string]*instance
	loseMessage atomic.Int64
	messages    atomic.Int64
	ctx         context.Context
	stop        context.CancelFunc
}

func testRetention() Retention {
	w := DefaultRetention()
	w.MaxOpenAge, w.OrphanDelay = 45*time.Second, 15*time.Second
	return w
}

func newFleet(seed uint64, nodes int) *fleet {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &fleet{seed: seed, rng: rng, rollup: 5 * time.Second, names: map[string]*instance{}, store: newFakeStore(rand.New(rand.NewPCG(seed, 8)))}
	w.ctx, w.stop = context.WithCancel(context.Background())
	for i := range nodes {
		n := w.newInstance(i, 1)
		w.nodes = append(w.nodes, n)
		w.add(n)
	}
	w.publishMembers()
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func (w *fleet) newInstance(i int, generation uint64) *instance {
	n := &instance{world: w, member: board.Member{
		Name: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Generation: generation, State: board.MemberAlive,
	}}
	self := Origin{n.member.Name, generation}
	source := func(k uint64) *rand.Rand { return rand.New(rand.NewPCG(w.seed, 1000*generation+2*uint64(i)+k)) }
	n.keeper = NewKeeper(instanceStore{n}, self, &n.section,
		WithRetention(testRetention()), WithRollup(w.rollup, 1<<20), WithKeeperRand(source(0)))
	n.ledger = New(self, &n.section, instancePeers{n}, n.keeper, WithRand(source(1)))
	n.holder = NewCopyHolder(n.ledger)
	return n
}

func (n *instance) start() {
	go n.keeper.Run(n.world.ctx)
	go n.holder.Run(n.world.ctx)
}

func (w *fleet) byName(name string) *instance {
	w.namesLock.Lock()
	defer w.namesLock.Unlock()
	return w.names[name]
}

func (w *fleet) add(n *instance) {
	w.namesLock.Lock()
	defer w.namesLock.Unlock()
	w.names[n.member.Name] = n
}

// publishMembers gives each node its view: killed nodes are gone, those of the other
// side are suspect.
func (w *fleet) publishMembers() {
	views := map[int]*board.Members{}
	for _, n := range w.nodes {
		side := n.currentPartition()
		if views[side] == nil {
			views[side] = w.membersSeenFrom(side)
		}
		n.section.Publish(views[side])
	}
}

func (w *fleet) membersSeenFrom(side int) *board.Members {
	view := new(board.Members)
	for _, o := range w.nodes {
		if o.isKilled() {
			continue
		}
		m := o.member
		if o.currentPartition() != side {
			m.State = board.MemberSuspect
		}
		view.List = append(view.List, m)
	}
	return view
}

// shutDown stops all nodes, so that nothing is left running.
func (w *fleet) shutDown() {
	w.stop()
	for _, n := range w.nodes {
		n.ledger.Stop()
		n.kill()
	}
	time.Sleep(30 * time.Second)
}

func (n *instance) kill() {
	n.mu.Lock()
	n.killed = true
	if n.resume != nil {
		close(n.resume)
		n.resume = nil
	}
	n.mu.Unlock()
	n.ledger.Stop()
}

func (n *instance) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resume == nil && !n.killed {
		n.resume = make(chan struct{})
	}
}

func (n *instance) unpause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resume != nil {
		close(n.resume)
		n.resume = nil
	}
}
