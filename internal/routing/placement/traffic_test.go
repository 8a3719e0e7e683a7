package placement_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/routing/capacity"
	"github.com/kingcupyard/kingcupyard/internal/routing/placement"
)

// site describes a deployment.
type site struct {
	name        string
	dataCentres []string
	engines     int
	instances   int
	oneWayDelay time.Duration
}

var sites = []site{
	{"Pottyround", []string{"gulberg", "johar", "dha", "shadman"}, 12, 9, 4 * time.Millisecond},
	{"Csatornakep", []string{"kozep-mo-a", "kozep-mo-b", "kozep-mo-c"}, 9, 8, 5 * time.Millisecond},
}

// traffic is one seeded run of several instances that place requests on engines.
type traffic struct {
	*simulation
	rnd       *rand.Rand
	site      site
	policy    policy
	instances []*trafficInstance
	engines   []*engine
	doc       *configuration.Document

	sent, answered, failed int
	firstTokens            []time.Duration
	// delayedShare is the fraction of requests that wait between choice and sending.
	delayedShare float64
	// onStart, if set, is called for each request that reaches a server.
	onStart func(e *engine, confirmed time.Time)
}

// trafficInstance is one instance of the system in a traffic run.
type trafficInstance struct {
	board      *board.Board
	dataCentre string
	controller *capacity.Controller
	placer     *placement.Placer
	next       int
}

// policy chooses a server for a query. It returns nil if there is none.
type policy func(t *traffic, p *trafficInstance, q *placement.Query) *board.Server

// Properties of the simulated load and network.
const (
	meanRequestDuration = 9300 * time.Millisecond
	reportEvery         = time.Second
	linkLoss            = 0.02
	retransmitDelay     = 200 * time.Millisecond
	requestTimeout      = 5 * time.Second
)

// limiterLoad is the capacity limiter as a placement.Load that ejects no server.
type limiterLoad struct{ *capacity.Limiter }

func (limiterLoad) Ejected(string, time.Time) bool { return false }

func newTraffic(seed uint64, s site, p policy) *traffic {
	t := &traffic{simulation: newSimulation(), rnd: rand.New(rand.NewPCG(seed, 7)), site: s, policy: p}
	t.doc = fleetDocument(20, s.dataCentres...)
	for i := range s.engines {
		e := &engine{sim: t.simulation, started: epoch.Add(-time.Hour), run: 1}
		e.Server = board.Server{Name: fmt.Sprintf("server-%02d", i), Service: "llm", DataCentre: s.dataCentres[i%len(s.dataCentres)], Region: "r", State: board.ServerLive}
		t.engines = append(t.engines, e)
	}
	for i := range s.instances {
		t.instances = append(t.instances, t.newInstance(i))
	}
	for _, e := range t.engines {
		t.after(between(t.rnd, 0, reportEvery), func() { t.every(reportEvery, func() { t.broadcastReport(e) }) })
	}
	return t
}

func (t *traffic) newInstance(i int) *trafficInstance {
	p := &trafficInstance{board: new(board.Board), dataCentre: t.site.dataCentres[i%len(t.site.dataCentres)]}
	clock := skewedClock{sim: t.simulation}
	p.controller = capacity.NewController(p.board, nil, clock, capacity.DefaultSettings())
	p.placer = placement.New(p.board, limiterLoad{p.controller.Limiter()}, placement.WithClock(clock), placement.WithMeanRequestDuration(meanRequestDuration))
	p.board.Configuration.Publish(t.doc)
	var servers []board.Server
	for _, e := range t.engines {
		e.Report = e.report()
		e.Report.ReceivedAt = t.now
		servers = append(servers, e.Server)
	}
	publish(p.board, servers, t.now)
	t.every(time.Second, func() {
		m := &board.Members{Self: fmt.Sprint(i), ListedAt: t.now}
		for j := range t.site.instances {
			m.List = append(m.List, board.Member{Name: fmt.Sprint(j), State: board.MemberAlive})
		}
		p.board.Members.Publish(m)
	})
	t.after(between(t.rnd, 0, 250*time.Millisecond), func() {
		t.every(250*time.Millisecond, func() { t.tick(p) })
	})
	t.after(between(t.rnd, 0, 100*time.Millisecond), func() { t.every(100*time.Millisecond, p.placer.Rebuild) })
	p.controller.Refresh()
	return p
}

func (t *traffic) tick(p *trafficInstance) {
	p.controller.Refresh()
	for _, request := range p.controller.NextRequests() {
		var k int
		_, _ = fmt.Sscan(request.Keeper.Name, &k)
		t.after(10*time.Millisecond, func() {
			resp := t.instances[k].controller.Grant(request.Request)
			t.after(10*time.Millisecond, func() { p.controller.HandleResponse(request, resp, nil) })
		})
	}
}

// broadcastReport delivers a report to each instance with its own delay; some are lost.
func (t *traffic) broadcastReport(e *engine) {
	if e.broken {
		return
	}
	report := e.report()
	for _, p := range t.instances {
		if t.rnd.IntN(20) == 0 {
			continue
		}
		t.after(between(t.rnd, 100*time.Millisecond, 600*time.Millisecond), func() {
			list := slices.Clone(p.board.Servers.Get().List)
			i := slices.IndexFunc(list, func(s board.Server) bool { return s.Name == e.Name })
			report.ReceivedAt = t.now
			list[i].Report, list[i].State = report, e.State
			publish(p.board, list, t.now)
		})
	}
}

// generateLoad sends requests at random times, at a mean of rate per second.
func (t *traffic) generateLoad(rate float64, until time.Duration) {
	end := t.now.Add(until)
	var next func()
	next = func() {
		if !t.now.Before(end) {
			return
		}
		t.arrive(t.instances[t.rnd.IntN(len(t.instances))])
		t.after(time.Duration(t.rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

func (t *traffic) arrive(p *trafficInstance) {
	t.sent++
	t.place(p, t.now, t.now.Add(requestTimeout))
}

// place tries to start a request, again and again until the deadline.
func (t *traffic) place(p *trafficInstance, arrived, deadline time.Time) {
	if t.now.After(deadline) {
		t.failed++
		return
	}
	q := &placement.Query{Service: "llm", Model: "m", Version: "v1", DataCentre: p.dataCentre}
	server := t.policy(t, p, q)
	var permit *capacity.Permit
	if server != nil {
		permit, _ = p.controller.Limiter().Acquire(server.Name, t.now)
	}
	if permit == nil {
		t.after(20*time.Millisecond, func() { t.place(p, arrived, deadline) })
		return
	}
	wait := time.Duration(0)
	if t.rnd.Float64() < t.delayedShare {
		wait = between(t.rnd, 0, 3*time.Second)
	}
	t.after(wait, func() {
		if p.placer.Recheck(q, server.Name) != nil || !permit.Confirm(t.now) {
			permit.Release()
			t.after(time.Millisecond, func() { t.place(p, arrived, deadline) })
			return
		}
		t.send(p, t.engineOf(server), permit, arrived)
	})
}

func (t *traffic) engineOf(s *board.Server) *engine {
	return t.engines[slices.IndexFunc(t.engines, func(e *engine) bool { return e.Name == s.Name })]
}

// send delivers the request to the engine, and the first token back over the same link.
func (t *traffic) send(p *trafficInstance, e *engine, permit *capacity.Permit, arrived time.Time) {
	confirmed := t.now
	t.after(t.link(p.dataCentre, e), func() {
		if t.onStart != nil {
			t.onStart(e, confirmed)
		}
		e.serve(func() {
			back := e.firstToken() + t.link(p.dataCentre, e)
			t.firstTokens = append(t.firstTokens, t.now.Add(back).Sub(arrived))
			t.after(time.Duration(t.rnd.ExpFloat64()*float64(meanRequestDuration)), func() {
				t.answered++
				e.done()
				permit.Release()
			})
		})
	})
}

// link returns the one-way delay to the engine. Links between data centres lose
// packets, which are retransmitted.
func (t *traffic) link(from string, e *engine) time.Duration {
	if from == e.DataCentre {
		return 250 * time.Microsecond
	}
	d := t.site.oneWayDelay + between(t.rnd, 0, time.Millisecond)
	for t.rnd.Float64() < linkLoss {
		d += retransmitDelay
	}
	return d
}

// serve runs the request immediately, or queues it until there is capacity.
func (e *engine) serve(begin func()) {
	if e.running >= e.capacity() {
		e.waiting = append(e.waiting, begin)
		return
	}
	e.running++
	begin()
}

func (e *engine) done() {
	e.running--
	if len(e.waiting) > 0 && e.running < e.capacity() {
		begin := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		begin()
	}
}

// percentile returns the value below which the given share of the times lies.
func percentile(times []time.Duration, share float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(times))
	return s[min(len(s)-1, int(share*float64(len(s))))]
}

// The policies under comparison.

func choosePlaced(t *traffic, p *trafficInstance, q *placement.Query) *board.Server {
	choice, err := p.placer.Choose(q, t.rnd)
	if err != nil {
		return nil
	}
	return choice.Server
}

// usableServers lists the servers that a baseline policy chooses from: those that may
// start a request, by the same limits as the placer's.
func usableServers(t *traffic, p *trafficInstance) []*board.Server {
	var list []*board.Server
	servers := p.board.Servers.Get().List
	for i := range servers {
		s := &servers[i]
		if s.State == board.ServerLive && !t.doc.IsOutOfService(s.DataCentre) && p.controller.Limiter().Startable(s.Name, t.now) {
			list = append(list, s)
		}
	}
	return list
}

func chooseRandom(t *traffic, p *trafficInstance, _ *placement.Query) *board.Server {
	list := usableServers(t, p)
	if len(list) == 0 {
		return nil
	}
	return list[t.rnd.IntN(len(list))]
}

func chooseRoundRobin(t *traffic, p *trafficInstance, _ *placement.Query) *board.Server {
	list := usableServers(t, p)
	if len(list) == 0 {
		return nil
	}
	p.next++
	return list[p.next%len(list)]
}

func chooseLeastConnections(t *traffic, p *trafficInstance, _ *placement.Query) *board.Server {
	list := usableServers(t, p)
	if len(list) == 0 {
		return nil
	}
	t.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return slices.MinFunc(list, func(a, b *board.Server) int {
		l := p.controller.Limiter()
		return cmp.Compare(l.InFlight(a.Name), l.InFlight(b.Name))
	})
}

var policies = []struct {
	name   string
	choose policy
	// seeds is larger for policies whose results are close to each other.
	seeds int
}{
	{"Placement", choosePlaced, 24}, {"LeastConnections", chooseLeastConnections, 24}, {"RoundRobin", chooseRoundRobin, 4}, {"Random", chooseRandom, 4},
}
