package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/routing/capacity"
)

// schedule is one seeded run of several instances that share servers in cold
// start, under partitions, pauses, restarts and views that disagree.
type schedule struct {
	*timeline
	rnd       *rand.Rand
	set       capacity.Settings
	rule      startRule
	instances []*router
	engines   []*engine
	// listed holds the truth of the instance list over time.
	listed []listing
	// cut is true for pairs of instances that cannot reach each other.
	cut map[[2]int]bool

	excess, unnoticed, coldStarts, starts int
}

type listing struct {
	at    time.Time
	names map[string]uint64
}

// startRule decides whether an instance starts a request, and confirms it.
type startRule func(s *schedule, r *router, e *engine) (confirm func() bool, release func(), ok bool)

// router is one instance of the system.
type router struct {
	schedule   *schedule
	id         int
	name       string
	generation uint64
	clock      skewed
	board      *board.Board
	controller *capacity.Controller
	listLag    time.Duration
	listCut    bool
	reportsCut bool
	pausedTo   time.Time
	inFlight   map[string]int
	// told is when the instance last had a report of each server's cold start.
	told map[string]time.Time
}

const (
	scheduleInstances = 6
	scheduleEngines   = 3
	scheduleTime      = 36 * time.Second
)

func newSchedule(seed uint64, rule startRule) *schedule {
	s := &schedule{
		timeline: newTimeline(), rnd: rand.New(rand.NewPCG(seed, 4)), rule: rule,
		set: capacity.DefaultSettings(), cut: map[[2]int]bool{},
	}
	names := map[string]uint64{}
	for i := range scheduleInstances {
		names[fmt.Sprintf("instance-%d", i)] = 1
	}
	s.listed = []listing{{epoch.Add(-time.Minute), names}}
	for i := range scheduleEngines {
		e := &engine{line: s.timeline, started: epoch.Add(-time.Hour), skew: s.skew(), run: 1}
		e.Server = board.Server{Name: fmt.Sprintf("server-%d", i), Service: "llm", DataCentre: "north", Region: "r", State: board.ServerLive}
		s.engines = append(s.engines, e)
	}
	for i := range scheduleInstances {
		r := &router{schedule: s, id: i, name: fmt.Sprintf("instance-%d", i)}
		s.instances = append(s.instances, r)
		r.start(1)
		r.schedule.every(s.set.Tick, r.tick)
		r.schedule.every(time.Second, r.list)
		r.arrivals()
	}
	for _, e := range s.engines {
		s.every(time.Second, func() { s.spread(e) })
	}
	s.faults()
	return s
}

func (s *schedule) skew() time.Duration {
	return between(s.rnd, -s.set.MaxClockSkew/2, s.set.MaxClockSkew/2)
}

// start begins a new run of the instance.
func (r *router) start(generation uint64) {
	s := r.schedule
	r.generation, r.board = generation, new(board.Board)
	r.clock = skewed{line: s.timeline, skew: s.skew()}
	r.listLag = between(s.rnd, 0, s.set.Timing.MaxListLag)
	r.inFlight, r.told = map[string]int{}, map[string]time.Time{}
	r.controller = capacity.NewController(r.board, nil, r.clock, s.set)
	r.board.Configuration.Publish(fleetDocument(5, "north"))
	var servers []board.Server
	for _, e := range s.engines {
		servers = append(servers, e.Server)
	}
	publish(r.board, servers, r.clock.Now())
}

// awake runs f now, or when the instance's pause is over, unless it has been
// restarted by then.
func (r *router) awake(f func()) {
	generation := r.generation
	if !r.schedule.now.Before(r.pausedTo) {
		f()
		return
	}
	r.schedule.after(r.pausedTo.Sub(r.schedule.now), func() {
		if r.generation == generation {
			r.awake(f)
		}
	})
}

// tick refreshes the controller and sends requests for credits.
func (r *router) tick() {
	if r.schedule.now.Before(r.pausedTo) {
		return
	}
	r.controller.Refresh()
	for i, server := range r.board.Servers.Get().List {
		if e := r.schedule.engines[i]; server.Report.Cold && !server.Report.ReportedAt.Add(-e.skew).Before(e.coldSince) {
			r.told[server.Name] = r.schedule.now
		}
	}
	for _, p := range r.controller.NextRequests() {
		r.send(p)
	}
}

func (r *router) send(p capacity.KeeperRequest) {
	s := r.schedule
	controller := r.controller
	answered := false
	finish := func(resp capacity.CreditResponse, err error) {
		if !answered && r.controller == controller {
			answered = true
			controller.HandleResponse(p, resp, err)
		}
	}
	s.after(s.set.Timing.CreditTTL/2, func() {
		r.awake(func() { finish(capacity.CreditResponse{}, fmt.Errorf("timeout")) })
	})
	to := s.instances[slices.IndexFunc(s.instances, func(o *router) bool { return o.name == p.Keeper.Name })]
	if s.lost(r, to) {
		return
	}
	s.after(s.delay(), func() {
		to.awake(func() {
			resp := to.controller.Grant(p.Request)
			if s.lost(to, r) {
				return
			}
			s.after(s.delay(), func() { r.awake(func() { finish(resp, nil) }) })
		})
	})
}

func (s *schedule) lost(a, b *router) bool {
	return a != b && (s.cut[[2]int{a.id, b.id}] || s.rnd.IntN(20) == 0)
}

// delay is mostly milliseconds, now and then most of a second or more.
func (s *schedule) delay() time.Duration {
	if s.rnd.IntN(20) == 0 {
		return between(s.rnd, 200*time.Millisecond, 3*time.Second)
	}
	return between(s.rnd, time.Millisecond, 20*time.Millisecond)
}

// list asks the platform for the instance list, which is behind the truth.
func (r *router) list() {
	s := r.schedule
	if r.listCut || s.now.Before(r.pausedTo) {
		return
	}
	seen := s.listed[0]
	for _, l := range s.listed {
		if !l.at.After(s.now.Add(-r.listLag)) {
			seen = l
		}
	}
	m := &board.Members{Self: r.name, ListedAt: r.clock.Now()}
	for _, o := range s.instances {
		generation, ok := seen.names[o.name]
		if !ok {
			continue
		}
		state := board.MemberAlive
		if o != r && (s.cut[[2]int{r.id, o.id}] || s.rnd.IntN(100) == 0) {
			state = board.MemberSuspect
		}
		m.List = append(m.List, board.Member{Name: o.name, Generation: generation, State: state})
	}
	if i := slices.IndexFunc(m.List, func(o board.Member) bool { return o.Name == r.name }); i >= 0 {
		m.List[i].Generation = r.generation
	}
	r.board.Members.Publish(m)
}

// spread delivers a report of the engine to the instances, each with its lag.
func (s *schedule) spread(e *engine) {
	report := e.report()
	for _, r := range s.instances {
		if r.reportsCut || s.rnd.IntN(10) == 0 {
			continue
		}
		s.after(between(s.rnd, 0, 1500*time.Millisecond), func() { r.awake(func() { r.receive(e, report) }) })
	}
}

func (r *router) receive(e *engine, report board.LoadReport) {
	list := slices.Clone(r.board.Servers.Get().List)
	for i := range list {
		if list[i].Name == e.Name {
			report.ReceivedAt = r.clock.Now()
			list[i].Report = report
		}
	}
	publish(r.board, list, r.clock.Now())
}

// arrivals tries to start requests without end.
func (r *router) arrivals() {
	s := r.schedule
	s.after(between(s.rnd, 30*time.Millisecond, 200*time.Millisecond), func() {
		if !s.now.Before(r.pausedTo) {
			r.request(s.engines[s.rnd.IntN(len(s.engines))])
		}
		r.arrivals()
	})
}

// request starts a request at the engine, if the rule allows it.
func (r *router) request(e *engine) {
	s := r.schedule
	confirm, release, ok := s.rule(s, r, e)
	if !ok {
		return
	}
	generation := r.generation
	wait := time.Duration(0)
	if s.rnd.IntN(4) == 0 {
		wait = between(s.rnd, 0, 3*time.Second)
	}
	s.after(wait, func() {
		r.awake(func() {
			if r.generation != generation || !confirm() {
				release()
				return
			}
			told := e.cold() && r.told[e.Name].After(e.coldSince)
			s.after(between(s.rnd, time.Millisecond, 300*time.Millisecond), func() { s.arrive(r, e, told, release) })
		})
	})
}

// arrive is where the limit is checked: at the server, over all instances. Work
// beyond it is in excess if it comes from an instance that has had a report of
// the cold start, or later than any instance may need to notice.
func (s *schedule) arrive(r *router, e *engine, told bool, release func()) {
	e.running++
	s.starts++
	run := e.run
	if e.cold() {
		s.coldStarts++
		if e.running > coldConcurrency {
			if told || s.now.Sub(e.coldSince) > s.set.DetectionBound() {
				s.excess++
			} else {
				s.unnoticed++
			}
		}
	}
	generation := r.generation
	s.after(between(s.rnd, 200*time.Millisecond, 4*time.Second), func() {
		if e.run == run {
			e.running--
		}
		s.after(s.delay(), func() {
			if r.generation == generation {
				release()
			}
		})
	})
}

// faults brings about a few of everything that the cold-start limit is meant
// to bear, while the servers of a data centre that returned are cold and
// another one turns cold with no notice.
func (s *schedule) faults() {
	last := len(s.engines) - 1
	s.after(between(s.rnd, 4*time.Second, 6*time.Second), func() {
		for _, e := range s.engines[:last] {
			e.turnCold(between(s.rnd, 25*time.Second, 32*time.Second), s.rnd.IntN(2) == 0)
		}
	})
	at := func(f func()) { s.after(between(s.rnd, 5*time.Second, 30*time.Second), f) }
	at(func() { s.engines[last].turnCold(15*time.Second, s.rnd.IntN(2) == 0) })
	at(func() { s.engines[0].turnCold(15*time.Second, true) }) // restarts while cold
	for range 3 {
		at(func() { s.any().pausedTo = s.now.Add(between(s.rnd, 500*time.Millisecond, 12*time.Second)) })
	}
	for range 2 {
		at(func() { s.during(&s.any().reportsCut, time.Second, 10*time.Second) })
		at(s.partition)
		at(func() { s.leaveAndReturn(s.any()) })
		at(func() {
			r := s.any() // off the list, but does not learn of it
			s.during(&r.listCut, 12*time.Second, 25*time.Second)
			s.leaveAndReturn(r)
		})
	}
	at(func() { s.during(&s.any().listCut, time.Second, 10*time.Second) })
	at(func() { r := s.any(); r.start(r.generation + 1) }) // restart in place
}

// during sets the flag for a while.
func (s *schedule) during(flag *bool, low, high time.Duration) {
	*flag = true
	s.after(between(s.rnd, low, high), func() { *flag = false })
}

func (s *schedule) any() *router { return s.instances[s.rnd.IntN(len(s.instances))] }

// partition cuts one side of the instances off from the other for a while.
func (s *schedule) partition() {
	side := s.rnd.Uint64()
	var pairs [][2]int
	for a := range s.instances {
		for b := range s.instances {
			if side>>a&1 != side>>b&1 {
				pairs = append(pairs, [2]int{a, b})
			}
		}
	}
	for _, p := range pairs {
		s.cut[p] = true
	}
	s.after(between(s.rnd, 2*time.Second, 20*time.Second), func() {
		for _, p := range pairs {
			delete(s.cut, p)
		}
	})
}

// leaveAndReturn takes an instance off the list, while it still runs, and
// puts it back later.
func (s *schedule) leaveAndReturn(r *router) {
	s.relist(func(names map[string]uint64) { delete(names, r.name) })
	s.after(between(s.rnd, 4*time.Second, 20*time.Second), func() {
		s.relist(func(names map[string]uint64) { names[r.name] = r.generation })
	})
}

func (s *schedule) relist(change func(map[string]uint64)) {
	names := map[string]uint64{}
	for k, v := range s.listed[len(s.listed)-1].names {
		names[k] = v
	}
	change(names)
	s.listed = append(s.listed, listing{s.now, names})
}

// byCredits is the system's own rule.
func byCredits(_ *schedule, r *router, e *engine) (func() bool, func(), bool) {
	permit, ok := r.controller.Limiter().Acquire(e.Name, r.clock.Now())
	if !ok {
		return nil, nil, false
	}
	return func() bool { return permit.Confirm(r.clock.Now()) }, permit.Release, true
}

// byOwnLimit is the baseline of a limit kept by each instance for itself.
func byOwnLimit(share func(cold bool) int) startRule {
	return func(_ *schedule, r *router, e *engine) (func() bool, func(), bool) {
		cold := slices.IndexFunc(r.board.Servers.Get().List, func(s board.Server) bool { return s.Name == e.Name && s.Report.Cold }) >= 0
		if r.inFlight[e.Name] >= share(cold) {
			return nil, nil, false
		}
		r.inFlight[e.Name]++
		return func() bool { return true }, func() { r.inFlight[e.Name]-- }, true
	}
}

type coldResult struct{ excess, unnoticed, coldStarts, starts int }

func runSchedules(seeds int, rule startRule) coldResult {
	results := make([]coldResult, seeds)
	parallel(seeds, func(i int) {
		s := newSchedule(uint64(i), rule)
		s.run(scheduleTime)
		results[i] = coldResult{s.excess, s.unnoticed, s.coldStarts, s.starts}
	})
	var sum coldResult
	for _, r := range results {
		sum.excess += r.excess
		sum.unnoticed += r.unnoticed
		sum.coldStarts += r.coldStarts
		sum.starts += r.starts
	}
	return sum
}

func TestColdOverload(t *testing.T) {
	is := is.New(t)
	r := runSchedules(int(bound(t, "ColdOverloadSeeds")), byCredits)
	t.Logf("excess %d, within the notice bound %d, starts in cold servers %d of %d", r.excess, r.unnoticed, r.coldStarts, r.starts)
	is.True(r.excess <= int(bound(t, "ColdOverload")))
	is.True(r.coldStarts > 0)
}

func BenchmarkColdOverload(b *testing.B) {
	rules := []struct {
		name string
		rule startRule
	}{
		{"Credits", byCredits},
		{"OwnLimit", byOwnLimit(func(cold bool) int {
			if cold {
				return coldConcurrency
			}
			return warmConcurrency
		})},
		{"NoLimit", byOwnLimit(func(bool) int { return warmConcurrency })},
	}
	for _, c := range rules {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				r := runSchedules(200, c.rule)
				b.ReportMetric(float64(r.excess)/200, "excess/schedule")
				b.ReportMetric(float64(r.unnoticed)/200, "unnoticed/schedule")
				b.ReportMetric(float64(r.coldStarts)/200, "coldstarts/schedule")
			}
		})
	}
}
