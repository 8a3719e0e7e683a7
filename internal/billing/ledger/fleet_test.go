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

var errInjected = errors.New("injected fault: no response")

// fakeStore simulates the platform's store and its faults. It keeps every chunk
// that was ever created, including those that a roll-up has deleted.
type fakeStore struct {
	mu       sync.Mutex
	rng      *rand.Rand
	pairs    map[string]Pair
	revision int64
	chunks   []Pair
	commits  int

	down    bool
	latency time.Duration
	// loseAnswer, loseRequest and delay are probabilities in per cent.
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

// written returns the number of commits received and the chunks ever created.
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

// wait waits for the latency of the store, or fails after a second if it is
// down.
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

// instance is one instance of the fleet.
type instance struct {
	fleet   *fleet
	member  board.Member
	section board.Section[board.Members]
	ledger  *Ledger
	keeper  *Keeper
	holder  *CopyHolder

	mu        sync.Mutex
	killed    bool
	noStore   bool
	partition int           // instances in different partitions cannot reach each other
	resume    chan struct{} // not nil while paused
}

// waitWhilePaused blocks while the instance is paused and fails if it is
// killed.
func (inst *instance) waitWhilePaused() error {
	inst.mu.Lock()
	resume := inst.resume
	inst.mu.Unlock()
	if resume != nil {
		<-resume
	}
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.killed {
		return errInjected
	}
	return nil
}

func (inst *instance) currentPartition() int {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return inst.partition
}

func (inst *instance) isKilled() bool {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return inst.killed
}

// instanceStore is the store as seen by one instance.
type instanceStore struct{ inst *instance }

// reach fails if the instance is killed or cut off from the store.
func (s instanceStore) reach(ctx context.Context) error {
	if err := s.inst.waitWhilePaused(); err != nil {
		return err
	}
	s.inst.mu.Lock()
	cut := s.inst.noStore
	s.inst.mu.Unlock()
	if cut {
		return waitForTimeout(ctx)
	}
	return nil
}

// waitForTimeout waits as for a request that gets no answer.
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
	return s.inst.fleet.store.Range(ctx, span, limit)
}

// Commit ignores the cancellation of ctx: the transaction of a paused instance
// takes effect late.
func (s instanceStore) Commit(ctx context.Context, txn Txn) (int64, bool, error) {
	if err := s.reach(ctx); err != nil {
		return 0, false, err
	}
	revision, ok, err := s.inst.fleet.store.Commit(context.WithoutCancel(ctx), txn)
	if killedErr := s.inst.waitWhilePaused(); killedErr != nil {
		return 0, false, killedErr
	}
	return revision, ok, err
}

// oneWayDelay is the one-way network delay between two instances.
const oneWayDelay = 4 * time.Millisecond

// instancePeers sends messages from one instance to the others.
type instancePeers struct{ inst *instance }

func (p instancePeers) reach(ctx context.Context, to board.Member) (*instance, error) {
	if err := p.inst.waitWhilePaused(); err != nil {
		return nil, err
	}
	fl := p.inst.fleet
	fl.messages.Add(1)
	other, partition := fl.byName(to.Name), p.inst.currentPartition()
	other.mu.Lock()
	cut := other.partition != partition || other.killed
	resume := other.resume
	other.mu.Unlock()
	if cut || fl.store.chance(int(fl.loseMessage.Load())) {
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
	if p.inst.fleet.store.chance(int(p.inst.fleet.loseMessage.Load())) {
		return Response{}, waitForTimeout(ctx)
	}
	return resp, p.inst.waitWhilePaused()
}

func (p instancePeers) SendCopies(ctx context.Context, to board.Member, req CopyRequest) (int, error) {
	other, err := p.reach(ctx, to)
	if err != nil {
		return 0, err
	}
	return other.holder.Store(req), p.inst.waitWhilePaused()
}

// fleet is a set of instances that share one store.
type fleet struct {
	seed        uint64
	rng         *rand.Rand
	rollup      time.Duration
	store       *fakeStore
	instances   []*instance
	namesLock   sync.Mutex
	names       map[string]*instance
	loseMessage atomic.Int64
	messages    atomic.Int64
	ctx         context.Context
	stop        context.CancelFunc
}

func testRetention() Retention {
	r := DefaultRetention()
	r.MaxOpenAge, r.OrphanDelay = 45*time.Second, 15*time.Second
	return r
}

func newFleet(seed uint64, instances int) *fleet {
	rng := rand.New(rand.NewPCG(seed, 7))
	fl := &fleet{seed: seed, rng: rng, rollup: 5 * time.Second, names: map[string]*instance{}, store: newFakeStore(rand.New(rand.NewPCG(seed, 8)))}
	fl.ctx, fl.stop = context.WithCancel(context.Background())
	for i := range instances {
		inst := fl.newInstance(i, 1)
		fl.instances = append(fl.instances, inst)
		fl.add(inst)
	}
	fl.publishMembers()
	for _, inst := range fl.instances {
		inst.start()
	}
	return fl
}

func (fl *fleet) newInstance(i int, generation uint64) *instance {
	inst := &instance{fleet: fl, member: board.Member{
		Name: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Generation: generation, State: board.MemberAlive,
	}}
	self := Origin{inst.member.Name, generation}
	source := func(k uint64) *rand.Rand { return rand.New(rand.NewPCG(fl.seed, 1000*generation+2*uint64(i)+k)) }
	inst.keeper = NewKeeper(instanceStore{inst}, self, &inst.section,
		WithRetention(testRetention()), WithRollup(fl.rollup, 1<<20), WithKeeperRand(source(0)))
	inst.ledger = New(self, &inst.section, instancePeers{inst}, inst.keeper, WithRand(source(1)))
	inst.holder = NewCopyHolder(inst.ledger)
	return inst
}

func (inst *instance) start() {
	go inst.keeper.Run(inst.fleet.ctx)
	go inst.holder.Run(inst.fleet.ctx)
}

func (fl *fleet) byName(name string) *instance {
	fl.namesLock.Lock()
	defer fl.namesLock.Unlock()
	return fl.names[name]
}

func (fl *fleet) add(inst *instance) {
	fl.namesLock.Lock()
	defer fl.namesLock.Unlock()
	fl.names[inst.member.Name] = inst
}

// publishMembers updates the member list of every instance: killed instances
// are missing, and those in other partitions are suspect.
func (fl *fleet) publishMembers() {
	lists := map[int]*board.Members{}
	for _, inst := range fl.instances {
		partition := inst.currentPartition()
		if lists[partition] == nil {
			lists[partition] = fl.membersSeenFrom(partition)
		}
		inst.section.Publish(lists[partition])
	}
}

func (fl *fleet) membersSeenFrom(partition int) *board.Members {
	members := new(board.Members)
	for _, o := range fl.instances {
		if o.isKilled() {
			continue
		}
		m := o.member
		if o.currentPartition() != partition {
			m.State = board.MemberSuspect
		}
		members.List = append(members.List, m)
	}
	return members
}

// shutDown stops all instances and waits 30 s, longer than the latest delayed
// commit (20 s).
func (fl *fleet) shutDown() {
	fl.stop()
	for _, inst := range fl.instances {
		inst.ledger.Stop()
		inst.kill()
	}
	time.Sleep(30 * time.Second)
}

func (inst *instance) kill() {
	inst.mu.Lock()
	inst.killed = true
	if inst.resume != nil {
		close(inst.resume)
		inst.resume = nil
	}
	inst.mu.Unlock()
	inst.ledger.Stop()
}

func (inst *instance) pause() {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.resume == nil && !inst.killed {
		inst.resume = make(chan struct{})
	}
}

func (inst *instance) unpause() {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.resume != nil {
		close(inst.resume)
		inst.resume = nil
	}
}
