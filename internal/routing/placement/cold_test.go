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

// schedule is one seeded run of several instances that share servers in cold start,
// under partitions, pauses, restarts and diverging views of the instance list.
type schedule struct {
	*simulation
	rnd       *rand.Rand
	settings  capacity.Settings
	admit     admitRule
	instances []*coldInstance
	engines   []*engine
	// lists holds the true instance list over time.
	lists []instanceList
	// partitioned holds the pairs of instances that cannot reach each other.
	partitioned map[[2]int]bool

	// The counts of requests: excess and unnoticed are over a cold server's limit and
	// explained at arrive; coldStarts are at cold servers and starts are all.
	excess, unnoticed, coldStarts, starts int
}

type instanceList struct {
	at    time.Time
	names map[string]uint64
}

// admitRule decides whether an instance may start a request. confirm is called right
// before sending and may still refuse; release ends the request.
type admitRule func(s *schedule, r *coldInstance, e *engine) (confirm func() bool, release func(), ok bool)

// coldInstance is one instance of the system in a schedule.
type coldInstance struct {
	schedule        *schedule
	id              int
	name            string
	generation      uint64
	clock           skewedClock
	board           *board.Board
	controller      *capacity.Controller
	listLag         time.Duration
	listUnreachable bool
	reportsBlocked  bool
	pausedUntil     time.Time
	inFlight        map[string]int
	// sawColdAt is when the instance last had a report of the current cold start, by
	// server.
	sawColdAt map[string]time.Time
}

const (
	scheduleInstances = 6
	scheduleEngines   = 3
	scheduleTime      = 36 * time.Second
)

func newSchedule(seed uint64, rule admitRule) *schedule {
	s := &schedule{
		simulation: newSimulation(), rnd: rand.New(rand.NewPCG(seed, 4)), admit: rule,
		settings: capacity.DefaultSettings(), partitioned: map[[2]int]bool{},
	}
	names := map[string]uint64{}
	for i := range scheduleInstances {
		names[fmt.Sprintf("instance-%d", i)] = 1
	}
	s.lists = []instanceList{{epoch.Add(-time.Minute), names}}
	for i := range scheduleEngines {
		e := &engine{sim: s.simulation, started: epoch.Add(-time.Hour), skew: s.skew(), run: 1}
		e.Server = board.Server{Name: fmt.Sprintf("server-%d", i), Service: "llm", DataCentre: "north", Region: "r", State: board.ServerLive}
		s.engines = append(s.engines, e)
	}
	for i := range scheduleInstances {
		r := &coldInstance{schedule: s, id: i, name: fmt.Sprintf("instance-%d", i)}
		s.instances = append(s.instances, r)
		r.start(1)
		r.schedule.every(s.settings.CreditRequestInterval, r.tick)
		r.schedule.every(time.Second, r.pollInstanceList)
		r.generateRequests()
	}
	for _, e := range s.engines {
		s.every(time.Second, func() { s.broadcastReport(e) })
	}
	s.faults()
	return s
}

func (s *schedule) skew() time.Duration {
	return between(s.rnd, -s.settings.MaxClockSkew/2, s.settings.MaxClockSkew/2)
}

// start begins a new run of the instance.
func (r *coldInstance) start(generation uint64) {
	s := r.schedule
	r.generation, r.board = generation, new(board.Board)
	r.clock = skewedClock{sim: s.simulation, skew: s.skew()}
	r.listLag = between(s.rnd, 0, s.settings.Timing.MaxListLag)
	r.inFlight, r.sawColdAt = map[string]int{}, map[string]time.Time{}
	r.controller = capacity.NewController(r.board, nil, r.clock, s.settings)
	r.board.Configuration.Publish(fleetDocument(5, "north"))
	var servers []board.Server
	for _, e := range s.engines {
		servers = append(servers, e.Server)
	}
	publish(r.board, servers, r.clock.Now())
}

// whenAwake runs f now, or at the end of the instance's pause unless the instance has
// been restarted by then.
func (r *coldInstance) whenAwake(f func()) {
	generation := r.generation
	if !r.schedule.now.Before(r.pausedUntil) {
		f()
		return
	}
	r.schedule.after(r.pausedUntil.Sub(r.schedule.now), func() {
		if r.generation == generation {
			r.whenAwake(f)
		}
	})
}

// tick refreshes the controller and sends requests for credits.
func (r *coldInstance) tick() {
	if r.schedule.now.Before(r.pausedUntil) {
		return
	}
	r.controller.Refresh()
	for i, server := range r.board.Servers.Get().List {
		if e := r.schedule.engines[i]; server.Report.Cold && !server.Report.ReportedAt.Add(-e.skew).Before(e.coldSince) {
			r.sawColdAt[server.Name] = r.schedule.now
		}
	}
	for _, p := range r.controller.NextRequests() {
		r.send(p)
	}
}

// send sends a request for credits to the keeper.
func (r *coldInstance) send(p capacity.KeeperRequest) {
	s := r.schedule
	controller := r.controller
	answered := false
	finish := func(resp capacity.CreditResponse, err error) {
		if !answered && r.controller == controller {
			answered = true
			controller.HandleResponse(p, resp, err)
		}
	}
	s.after(s.settings.Timing.CreditTTL/2, func() {
		r.whenAwake(func() { finish(capacity.CreditResponse{}, fmt.Errorf("timeout")) })
	})
	to := s.instances[slices.IndexFunc(s.instances, func(o *coldInstance) bool { return o.name == p.Keeper.Name })]
	if s.messageLost(r, to) {
		return
	}
	s.after(s.delay(), func() {
		to.whenAwake(func() {
			resp := to.controller.Grant(p.Request)
			if s.messageLost(to, r) {
				return
			}
			s.after(s.delay(), func() { r.whenAwake(func() { finish(resp, nil) }) })
		})
	})
}

func (s *schedule) messageLost(a, b *coldInstance) bool {
	return a != b && (s.partitioned[[2]int{a.id, b.id}] || s.rnd.IntN(20) == 0)
}

// delay returns the delay of a message: milliseconds in most cases, 200 ms or more in
// some.
func (s *schedule) delay() time.Duration {
	if s.rnd.IntN(20) == 0 {
		return between(s.rnd, 200*time.Millisecond, 3*time.Second)
	}
	return between(s.rnd, time.Millisecond, 20*time.Millisecond)
}

// pollInstanceList reads the instance list from the platform, which lags behind the
// true list.
func (r *coldInstance) pollInstanceList() {
	s := r.schedule
	if r.listUnreachable || s.now.Before(r.pausedUntil) {
		return
	}
	seen := s.lists[0]
	for _, l := range s.lists {
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
		if o != r && (s.partitioned[[2]int{r.id, o.id}] || s.rnd.IntN(100) == 0) {
			state = board.MemberSuspect
		}
		m.List = append(m.List, board.Member{Name: o.name, Generation: generation, State: state})
	}
	if i := slices.IndexFunc(m.List, func(o board.Member) bool { return o.Name == r.name }); i >= 0 {
		m.List[i].Generation = r.generation
	}
	r.board.Members.Publish(m)
}

// broadcastReport delivers a report of the engine to each instance with its own delay,
// and to some not at all.
func (s *schedule) broadcastReport(e *engine) {
	report := e.report()
	for _, r := range s.instances {
		if r.reportsBlocked || s.rnd.IntN(10) == 0 {
			continue
		}
		s.after(between(s.rnd, 0, 1500*time.Millisecond), func() { r.whenAwake(func() { r.receive(e, report) }) })
	}
}

func (r *coldInstance) receive(e *engine, report board.LoadReport) {
	list := slices.Clone(r.board.Servers.Get().List)
	for i := range list {
		if list[i].Name == e.Name {
			report.ReceivedAt = r.clock.Now()
			list[i].Report = report
		}
	}
	publish(r.board, list, r.clock.Now())
}

// generateRequests tries to start requests at random intervals, indefinitely.
func (r *coldInstance) generateRequests() {
	s := r.schedule
	s.after(between(s.rnd, 30*time.Millisecond, 200*time.Millisecond), func() {
		if !s.now.Before(r.pausedUntil) {
			r.tryRequest(s.engines[s.rnd.IntN(len(s.engines))])
		}
		r.generateRequests()
	})
}

// tryRequest starts a request at the engine if the rule allows it.
func (r *coldInstance) tryRequest(e *engine) {
	s := r.schedule
	confirm, release, ok := s.admit(s, r, e)
	if !ok {
		return
	}
	generation := r.generation
	wait := time.Duration(0)
	if s.rnd.IntN(4) == 0 {
		wait = between(s.rnd, 0, 3*time.Second)
	}
	s.after(wait, func() {
		r.whenAwake(func() {
			if r.generation != generation || !confirm() {
				release()
				return
			}
			informed := e.cold() && r.sawColdAt[e.Name].After(e.coldSince)
			s.after(between(s.rnd, time.Millisecond, 300*time.Millisecond), func() { s.arrive(r, e, informed, release) })
		})
	})
}

// arrive starts the request at the server, and checks the cold-start limit there over
// all instances. A request beyond the limit counts as excess if it comes from an
// instance that has had a report of the cold start, or later than the detection bound.
// Otherwise it counts as unnoticed.
func (s *schedule) arrive(r *coldInstance, e *engine, informed bool, release func()) {
	e.running++
	s.starts++
	run := e.run
	if e.cold() {
		s.coldStarts++
		if e.running > coldConcurrency {
			if informed || s.now.Sub(e.coldSince) > s.settings.DetectionBound() {
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

// faults schedules a few of each fault that the cold-start limit must withstand. The
// servers of a data centre that has returned are cold meanwhile, and another server
// turns cold without notice.
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
		at(func() {
			s.randomInstance().pausedUntil = s.now.Add(between(s.rnd, 500*time.Millisecond, 12*time.Second))
		})
	}
	for range 2 {
		at(func() { s.setFor(&s.randomInstance().reportsBlocked, time.Second, 10*time.Second) })
		at(s.partition)
		at(func() { s.leaveAndReturn(s.randomInstance()) })
		at(func() {
			r := s.randomInstance() // not on the list, without learning of it
			s.setFor(&r.listUnreachable, 12*time.Second, 25*time.Second)
			s.leaveAndReturn(r)
		})
	}
	at(func() { s.setFor(&s.randomInstance().listUnreachable, time.Second, 10*time.Second) })
	at(func() { r := s.randomInstance(); r.start(r.generation + 1) }) // restart in place
}

// setFor sets the flag for a random time in [low, high).
func (s *schedule) setFor(flag *bool, low, high time.Duration) {
	*flag = true
	s.after(between(s.rnd, low, high), func() { *flag = false })
}

func (s *schedule) randomInstance() *coldInstance { return s.instances[s.rnd.IntN(len(s.instances))] }

// partition splits the instances into two random groups that cannot reach each other
// for a while.
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
		s.partitioned[p] = true
	}
	s.after(between(s.rnd, 2*time.Second, 20*time.Second), func() {
		for _, p := range pairs {
			delete(s.partitioned, p)
		}
	})
}

// leaveAndReturn removes a running instance from the list and adds it again later.
func (s *schedule) leaveAndReturn(r *coldInstance) {
	s.updateList(func(names map[string]uint64) { delete(names, r.name) })
	s.after(between(s.rnd, 4*time.Second, 20*time.Second), func() {
		s.updateList(func(names map[string]uint64) { names[r.name] = r.generation })
	})
}

func (s *schedule) updateList(change func(map[string]uint64)) {
	names := map[string]uint64{}
	for k, v := range s.lists[len(s.lists)-1].names {
		names[k] = v
	}
	change(names)
	s.lists = append(s.lists, instanceList{s.now, names})
}

// creditRule is the rule of the system: the keeper's credits limit the requests.
func creditRule(_ *schedule, r *coldInstance, e *engine) (func() bool, func(), bool) {
	permit, ok := r.controller.Limiter().Acquire(e.Name, r.clock.Now())
	if !ok {
		return nil, nil, false
	}
	return func() bool { return permit.Confirm(r.clock.Now()) }, permit.Release, true
}

// localLimitRule is the baseline in which each instance limits only its own requests.
func localLimitRule(share func(cold bool) int) admitRule {
	return func(_ *schedule, r *coldInstance, e *engine) (func() bool, func(), bool) {
		cold := slices.IndexFunc(r.board.Servers.Get().List, func(s board.Server) bool { return s.Name == e.Name && s.Report.Cold }) >= 0
		if r.inFlight[e.Name] >= share(cold) {
			return nil, nil, false
		}
		r.inFlight[e.Name]++
		return func() bool { return true }, func() { r.inFlight[e.Name]-- }, true
	}
}

type coldResult struct{ excess, unnoticed, coldStarts, starts int }

func runSchedules(seeds int, rule admitRule) coldResult {
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

// No instance exceeds the cold-start limit of a server once it can know of the cold
// start, whatever the faults.
func TestColdOverload(t *testing.T) {
	is := is.New(t)
	r := runSchedules(int(bound(t, "ColdOverloadSeeds")), creditRule)
	t.Logf("excess %d, within the notice bound %d, starts in cold servers %d of %d", r.excess, r.unnoticed, r.coldStarts, r.starts)
	is.True(r.excess <= int(bound(t, "ColdOverload")))
	is.True(r.coldStarts > 0)
}

func BenchmarkColdOverload(b *testing.B) {
	rules := []struct {
		name string
		rule admitRule
	}{
		{"Credits", creditRule},
		{"OwnLimit", localLimitRule(func(cold bool) int {
			if cold {
				return coldConcurrency
			}
			return warmConcurrency
		})},
		{"NoLimit", localLimitRule(func(bool) int { return warmConcurrency })},
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
