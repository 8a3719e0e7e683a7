package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/standin/site"
)

// fault is one planned fault or change.
type fault struct {
	at       time.Duration
	duration time.Duration
	kind     string
	// target chooses the instance or the backend server.
	target int
	run    func(w *world, f fault)
}

// faultKind is a kind of fault. run returns when it is over.
type faultKind struct {
	name string
	run  func(w *world, f fault)
}

// faultKinds holds what may happen.
var faultKinds = []faultKind{
	{"Kill", (*world).killNode},
	{"Stop", (*world).stopNode},
	{"Pause", (*world).pauseNode},
	{"AccessBusy", func(w *world, f fault) { w.cutAccess(f, site.Busy) }},
	{"AccessSilent", func(w *world, f fault) { w.cutAccess(f, site.Silent) }},
	{"AccessLost", func(w *world, f fault) { w.cutAccess(f, site.Lost) }},
	{"AccessSlow", (*world).slowAccess},
	{"StoreBusy", func(w *world, f fault) { w.disturbStore(f, site.Busy) }},
	{"StoreSilent", func(w *world, f fault) { w.disturbStore(f, site.Silent) }},
	{"StoreForgets", (*world).forgetHistory},
	{"ServerFails", func(w *world, f fault) { w.spoilServer(f, site.Fails, site.Notice{}) }},
	{"ServerCuts", func(w *world, f fault) { w.spoilServer(f, site.Cuts, site.Notice{}) }},
	{"ServerHangs", func(w *world, f fault) { w.spoilServer(f, site.Hangs, site.Notice{}) }},
	{"StreamCuts", func(w *world, f fault) { w.spoilServer(f, site.CutsStream, site.Notice{}) }},
	{"ServerPauses", func(w *world, f fault) { w.spoilServer(f, site.Sheds, site.Notice{RetryAfter: f.duration}) }},
	{"ServerLimits", func(w *world, f fault) {
		f.duration += DefaultBounds.Contact
		w.spoilServer(f, site.Answers, site.Notice{Limit: 0.5 + float64(f.target%5)})
	}},
	{"ServerLeaves", (*world).leaveServer},
	{"ServerDrains", (*world).drainServer},
	{"RouteAdded", (*world).addRoute},
	{"RouteRemoved", (*world).removeRoute},
	{"ManyRoutes", (*world).addManyRoutes},
	{"KeyRevoked", (*world).revokeKey},
	{"KeyRevokedUnseen", (*world).revokeKeyUnseen},
}

// reportedKinds holds what operators of similar systems have reported.
var reportedKinds = []faultKind{
	{"HeadCuts", func(w *world, f fault) { w.spoilServer(f, site.CutsHead, site.Notice{}) }},
	{"AnswerRepeats", func(w *world, f fault) { w.spoilServer(f, site.Repeats, site.Notice{}) }},
	{"StoreConnectionsSilent", (*world).silenceStoreConnections},
}

// answerKinds holds answers of backend servers that must not reach callers as they are.
var answerKinds = []faultKind{
	{"ServerFailsUnavailable", func(w *world, f fault) { w.spoilServer(f, site.FailsUnavailable, site.Notice{}) }},
	{"AnswerSwells", func(w *world, f fault) { w.spoilServer(f, site.Swells, site.Notice{}) }},
	{"HeadSwells", func(w *world, f fault) { w.spoilServer(f, site.SwellsHead, site.Notice{}) }},
}

// copyKinds holds what happens to the store beyond its being out of reach.
var copyKinds = []faultKind{{"StoreReturns", (*world).returnStore}}

// faultGroups holds the kinds of faults, each group with its mean time between the
// beginnings of two faults. Each group has a random source of its own, so that a new one
// leaves the faults of the others as they were for each seed.
var faultGroups = []struct {
	kinds   []faultKind
	meanGap time.Duration
}{
	{faultKinds, 500 * time.Millisecond},
	{reportedKinds, 2 * time.Second},
	{answerKinds, 4 * time.Second},
	{copyKinds, 6 * time.Second},
}

const (
	// minFault and maxFault bound how long a fault lasts.
	minFault = 500 * time.Millisecond
	maxFault = 5 * time.Second
	// storeDelay is how long a slow store takes to answer.
	storeDelay = 300 * time.Millisecond
	// manyRoutes is the number of routes that make a table a large one.
	manyRoutes = 400
	// unseenTime is how long instances are kept from the store after a key was revoked:
	// some time longer than they may accept it.
	unseenTime = 8 * time.Second
	// awayTime is how long the store is away before it comes back from a copy, and
	// rewriteShare the share of the copy's age after which the operator and the servers
	// have written again what it lacks.
	awayTime     = 500 * time.Millisecond
	rewriteShare = 0.25
	// lostChanges is the number of changes of an entry that the copy lacks. Instances
	// don't know its kind.
	lostChanges = 60
	lostEntry   = "lost/changes"
	// firstFault is when the first fault may begin.
	firstFault = time.Second
)

// schedule returns the faults of a run, in the order of time. They depend on the seed
// alone.
func schedule(seed uint64, duration time.Duration) []fault {
	var faults []fault
	for i, group := range faultGroups {
		random := rand.New(rand.NewPCG(seed, uint64(1+i)))
		for at := firstFault; ; {
			at += time.Duration(random.ExpFloat64() * float64(group.meanGap))
			if at >= duration {
				break
			}
			kind := group.kinds[random.IntN(len(group.kinds))]
			faults = append(faults, fault{
				at: at, duration: minFault + time.Duration(random.Int64N(int64(maxFault-minFault))), kind: kind.name, target: random.IntN(1 << 16), run: kind.run,
			})
		}
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return faults
}

// runFaults carries the faults out, each at its time beside the others, and waits for
// their ends.
func (w *world) runFaults(ctx context.Context, faults []fault) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(f.at - w.now()):
			group.Go(func() { f.run(w, f) })
		}
	}
}

// node returns the instance that a fault is about.
func (w *world) node(f fault) *node { return w.nodes[f.target%len(w.nodes)] }

func (w *world) killNode(f fault) {
	n := w.node(f)
	if !n.faults.TryLock() {
		return // another fault of this kind is in progress
	}
	defer n.faults.Unlock()
	from := w.now()
	n.kill()
	time.Sleep(f.duration / 2)
	w.restart(n, Disturbance{Kind: f.kind, Instance: n.instance.Name, From: from, Process: true})
}

func (w *world) stopNode(f fault) {
	n := w.node(f)
	if !n.faults.TryLock() {
		return // another fault of this kind is in progress
	}
	defer n.faults.Unlock()
	from := w.now()
	n.stop()
	w.restart(n, Disturbance{Kind: f.kind, Instance: n.instance.Name, From: from, Process: true, Planned: true})
}

// restart starts the process again and records the disturbance, which ends when the
// instance is ready. A planned one is judged up to the end of the old process.
func (w *world) restart(n *node, d Disturbance) {
	d.To = w.now()
	if d.Planned {
		w.disturbed(d)
		d.Kind, d.Planned = d.Kind+"Restart", false
	}
	if err := n.startProcess(); err != nil {
		w.record(Fact{Kind: Ended, Name: n.instance.Name + ": " + err.Error(), At: w.now()})
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && !n.isReady(); {
		time.Sleep(50 * time.Millisecond)
	}
	d.To = w.now()
	w.disturbed(d)
}

func (w *world) pauseNode(f fault) {
	n := w.node(f)
	if !n.faults.TryLock() {
		return // another fault of this kind is in progress
	}
	defer n.faults.Unlock()
	d := Disturbance{Kind: f.kind, Instance: n.instance.Name, From: w.now(), Process: true}
	n.signal(syscall.SIGSTOP, false)
	time.Sleep(f.duration)
	n.signal(syscall.SIGCONT, false)
	d.To = w.now()
	w.disturbed(d)
}

// cutAccess keeps one instance from the store.
func (w *world) cutAccess(f fault, how site.Fault) {
	w.disturbAccess(f, func(a *site.Access) { a.Disturb(how, 0) })
}

func (w *world) slowAccess(f fault) {
	w.disturbAccess(f, func(a *site.Access) { a.Disturb(site.Sound, storeDelay) })
}

func (w *world) disturbAccess(f fault, disturb func(a *site.Access)) {
	n := w.node(f)
	if !n.accessFaults.TryLock() {
		return // another fault of this kind is in progress
	}
	defer n.accessFaults.Unlock()
	d := Disturbance{Kind: f.kind, Instance: n.instance.Name, From: w.now()}
	disturb(n.access)
	time.Sleep(f.duration)
	n.access.Disturb(site.Sound, 0)
	d.To = w.now()
	w.disturbed(d)
}

// silenceStoreConnections makes an instance's open connections to the store silent for
// good. New ones work.
func (w *world) silenceStoreConnections(f fault) {
	n := w.node(f)
	d := Disturbance{Kind: f.kind, Instance: n.instance.Name, From: w.now(), To: w.now()}
	n.storeProxy.Silence()
	w.disturbed(d)
}

func (w *world) disturbStore(f fault, how site.Fault) {
	if !w.storeFaults.TryLock() {
		return // another fault of this kind is in progress
	}
	defer w.storeFaults.Unlock()
	d := Disturbance{Kind: f.kind, From: w.now()}
	w.store.SetFault(how)
	time.Sleep(f.duration / 2)
	w.store.SetFault(site.Sound)
	d.To = w.now()
	w.disturbed(d)
}

func (w *world) forgetHistory(fault) { w.store.Forget() }

// returnStore makes the store come back from a copy that is as old as the fault lasts. It
// lacks many changes, the latest table's among them, so that a key is revoked afterwards
// under a lower revision.
func (w *world) returnStore(f fault) {
	if !w.storeFaults.TryLock() {
		return // another fault of the store is in progress
	}
	defer w.storeFaults.Unlock()
	key := w.addTemporaryKey(fmt.Sprintf("returned-%d", f.target))
	time.Sleep(DefaultBounds.Apply)
	copied := w.store.Copy()
	for i := range lostChanges {
		w.store.Set(lostEntry, i)
	}
	w.operator.AddKey(fmt.Sprintf("lost-%d", f.target))
	time.Sleep(f.duration)
	d := Disturbance{Kind: f.kind, From: w.now()}
	w.store.SetFault(site.Busy)
	time.Sleep(awayTime)
	w.store.Restore(copied)
	w.store.SetFault(site.Sound)
	time.Sleep(time.Duration(rewriteShare * float64(f.duration)))
	w.store.WriteAgain()
	w.revoke(key)
	d.To = w.now()
	w.disturbed(d)
}

// takeServer returns a backend server that no other fault is about, or nil. The first one
// of each service stays sound.
func (w *world) takeServer(f fault) *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.servers {
		b := w.servers[(f.target+i)%len(w.servers)]
		if !b.taken && !b.first {
			b.taken = true
			return b
		}
	}
	return nil
}

func (w *world) spoilServer(f fault, how site.Behaviour, notice site.Notice) {
	b := w.takeServer(f)
	if b == nil {
		return
	}
	b.server.Notify(notice)
	b.server.Behave(how)
	time.Sleep(f.duration)
	b.server.Behave(site.Answers)
	b.server.Notify(site.Notice{})
	w.mu.Lock()
	defer w.mu.Unlock()
	b.taken = false
}

// leaveServer lets a server say in its answers that it leaves, and replaces it.
func (w *world) leaveServer(f fault) {
	if b := w.takeServer(f); b != nil {
		b.server.Notify(site.Notice{Leaving: true})
		w.replace(b, f)
	}
}

// drainServer lets a server announce that it leaves, and replaces it.
func (w *world) drainServer(f fault) {
	if b := w.takeServer(f); b != nil {
		b.server.Announce(w.store, b.service, "draining")
		w.record(Fact{Kind: Draining, Name: b.server.ID, At: w.now()})
		w.replace(b, f)
	}
}

// replace starts another server and ends a leaving one once its drain time is over.
func (w *world) replace(b *backend, f fault) {
	if err := w.startServer(b.service, false); err != nil {
		w.record(Fact{Kind: Ended, Name: b.service + ": " + err.Error(), At: w.now()})
	}
	time.Sleep(DefaultBounds.Drain + f.duration)
	w.store.Remove("servers/" + b.server.ID)
	b.server.Close()
}

func (w *world) addRoute(f fault) {
	name := fmt.Sprintf("route-%d", f.target)
	w.operator.AddRoutes(name)
	w.record(Fact{Kind: RouteAdded, Name: name, At: w.now()})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routes = append(w.routes, name)
}

func (w *world) removeRoute(f fault) {
	w.mu.Lock()
	if len(w.routes) == 0 {
		w.mu.Unlock()
		return
	}
	name := w.routes[f.target%len(w.routes)]
	w.mu.Unlock()
	w.operator.RemoveRoute(name)
	w.record(Fact{Kind: RouteRemoved, Name: name, At: w.now()})
}

func (w *world) addManyRoutes(f fault) {
	names := site.RouteNames(fmt.Sprintf("many-%d", f.target), manyRoutes)
	w.operator.AddRoutes(names...)
	w.record(Fact{Kind: RouteAdded, Name: names[manyRoutes/2], At: w.now()})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routes = append(w.routes, names[manyRoutes/2])
}

func (w *world) revokeKey(f fault) {
	key := w.addTemporaryKey(fmt.Sprintf("key-%d", f.target))
	time.Sleep(f.duration)
	w.revoke(key)
}

// addTemporaryKey adds a key that callers use until it is revoked, and returns it.
func (w *world) addTemporaryKey(key string) string {
	w.operator.AddKey(key)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys = append(w.keys, key)
	return key
}

func (w *world) revoke(key string) {
	w.operator.RevokeKey(key)
	w.record(Fact{Kind: KeyRevoked, Name: key, At: w.now()})
}

// revokeKeyUnseen revokes a key while no instance can reach the store.
func (w *world) revokeKeyUnseen(f fault) {
	if !w.storeFaults.TryLock() {
		return // another fault of the store is in progress
	}
	defer w.storeFaults.Unlock()
	key := w.addTemporaryKey(fmt.Sprintf("unseen-%d", f.target))
	time.Sleep(DefaultBounds.Apply)
	d := Disturbance{Kind: f.kind, From: w.now()}
	w.store.SetFault(site.Silent)
	w.revoke(key)
	time.Sleep(unseenTime)
	w.store.SetFault(site.Sound)
	d.To = w.now()
	w.disturbed(d)
}
