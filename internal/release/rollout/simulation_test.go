package rollout

import (
	"math/rand/v2"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// The simulated fleet has nine instances that exchange evidence every second.
// Its rating service is two seconds late, and a configuration takes up to a
// second to be in force.
const (
	simInstances        = 9
	simTick             = 100 * time.Millisecond
	simRate             = 45.0 // requests per second
	simDecisionInterval = 20   // ticks
	simRatingDelay      = 2 * time.Second
	simMaxDuration      = 40 * time.Minute
	simMonitorDuration  = 10 * time.Minute
	simTurnInterval     = 10 * time.Second // between two requests of a session
)

var simStages = []float64{0.01, 0.05, 0.2, 0.5, 1}

// quality describes how one version answers a request: the probabilities of a
// passed rating and of a failure, the mean time to first token and the mean
// number of tokens.
type quality struct {
	pass       float64
	fail       float64
	firstToken time.Duration
	tokens     float64
}

var good = quality{pass: 0.95, fail: 0.002, firstToken: 200 * time.Millisecond, tokens: 200}

// fault returns the quality of the new version for one request.
type fault func(c faultContext) quality

// faultContext is the time and customer of a request.
type faultContext struct {
	stage    int
	age      time.Duration // of the stage
	complete bool
	customer string
}

func noFault(faultContext) quality { return good }

// simResult is the outcome of one simulated rollout.
type simResult struct {
	// Exposed counts the requests that ran on the new version while it was bad.
	Exposed int
	Stopped bool
	State   configuration.RolloutState
	Reason  string
	Took    time.Duration
}

// turn is a later request of a session on the new version.
type turn struct {
	due      time.Time
	instance int
	customer string
	left     int
}

type pendingRating struct {
	due      time.Time
	instance int
	o        Observation
}

// simulation is one rollout under traffic.
type simulation struct {
	rnd                  *rand.Rand
	now                  time.Time
	committed            *configuration.Document
	docs                 [simInstances]*configuration.Document
	applyAt              [simInstances]time.Time
	evidence             [simInstances]*Evidence
	ratings              []pendingRating
	pendingTurns         []turn // of sessions in progress, which keep a halted version
	session              int    // number of requests per session
	fault                fault
	recent               windows
	watchAfterCompletion bool // simulate simMonitorDuration after completion as well
	result               simResult
}

func customers() []configuration.Customer {
	var list []configuration.Customer
	for i := range 10 {
		list = append(list, configuration.Customer{Name: string(rune('a' + i)), Allowed: []configuration.ModelAccess{{Model: "m"}}})
	}
	return list
}

// simulate runs a rollout to its end. decide is the policy under test. Each
// session has the given number of requests, and its first request selects the
// version at random.
func simulate(seed uint64, f fault, decide func(DecisionInput) Decision, session int) simResult {
	doc := runningDocument(0, simStages...)
	doc.Customers = customers()
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 1)), now: startTime, committed: doc, fault: f, session: session, recent: windows{}}
	s.watchAfterCompletion = f(faultContext{complete: true}) != f(faultContext{})
	for i := range simInstances {
		s.docs[i] = doc
		s.evidence[i] = NewEvidence(string(rune('A'+i)), 1, func() *configuration.Document { return s.docs[i] })
	}
	for tick := 0; s.now.Sub(startTime) < simMaxDuration; tick++ {
		s.now = s.now.Add(simTick)
		s.runTick()
		if tick%simDecisionInterval == 0 && s.decideAndCommit(decide) {
			break
		}
	}
	s.result.Took = s.now.Sub(startTime)
	return s.result
}

// runTick runs the requests and delivers the ratings of one tick.
func (s *simulation) runTick() {
	for i := range simInstances {
		if s.docs[i] != s.committed && s.now.After(s.applyAt[i]) {
			s.docs[i] = s.committed
		}
	}
	for len(s.pendingTurns) > 0 && !s.pendingTurns[0].due.After(s.now) {
		t := s.pendingTurns[0]
		s.pendingTurns = s.pendingTurns[1:]
		s.serveTurn(t)
	}
	for expected := simRate * simTick.Seconds() / float64(s.session); expected > 0; expected-- {
		if s.rnd.Float64() < expected {
			s.request()
		}
	}
	for len(s.ratings) > 0 && !s.ratings[0].due.After(s.now) {
		s.evidence[s.ratings[0].instance].Record(s.ratings[0].o)
		s.ratings = s.ratings[1:]
	}
}

// request starts a session.
func (s *simulation) request() {
	i := s.rnd.IntN(simInstances)
	doc := s.docs[i]
	customer := &doc.Customers[min(s.rnd.IntN(10), s.rnd.IntN(10))] // a few customers send most requests
	version, err := ChooseVersion(doc, customer, "m", s.rnd.Float64())
	if err != nil {
		panic(err)
	}
	s.serve(i, customer.Name, version)
	if version == "v2" {
		s.scheduleTurn(turn{instance: i, customer: customer.Name, left: s.session - 1})
		return
	}
	for range s.session - 1 {
		s.serve(i, customer.Name, version)
	}
}

func (s *simulation) scheduleTurn(t turn) {
	if t.left > 0 {
		t.due = s.now.Add(simTurnInterval)
		s.pendingTurns = append(s.pendingTurns, t)
	}
}

// serveTurn serves a later request of a session. The session keeps its version
// unless that is withdrawn.
func (s *simulation) serveTurn(t turn) {
	if s.docs[t.instance].Models[0].Versions[1].State != configuration.VersionActive {
		return
	}
	s.serve(t.instance, t.customer, "v2")
	t.left--
	s.scheduleTurn(t)
}

// serve runs one request on a version.
func (s *simulation) serve(i int, customer, version string) {
	q := good
	if version == "v2" {
		r := &s.docs[i].Rollouts[0]
		q = s.fault(faultContext{r.Stage, s.now.Sub(r.StageAt), r.State == configuration.RolloutComplete, customer})
		if q != good {
			s.result.Exposed++
		}
	}
	o := Observation{Customer: customer, Model: "m", Version: version}
	rating := o
	o.Failed = s.rnd.Float64() < q.fail
	o.FirstToken = time.Duration(float64(q.firstToken) * (0.5 + s.rnd.ExpFloat64()/2))
	o.Tokens = 1 + int(q.tokens*s.rnd.ExpFloat64())
	s.evidence[i].Record(o)
	if !o.Failed {
		rating.Rated, rating.Pass = true, s.rnd.Float64() < q.pass
		s.ratings = append(s.ratings, pendingRating{s.now.Add(simRatingDelay), i, rating})
	}
}

// decideAndCommit merges the evidence at the driver, decides and commits. It
// reports whether the rollout is over and the final document in force
// everywhere.
func (s *simulation) decideAndCommit(decide func(DecisionInput) Decision) bool {
	r := &s.committed.Rollouts[0]
	watching := s.watchAfterCompletion && r.State == configuration.RolloutComplete && s.now.Sub(r.StageAt) < simMonitorDuration
	if !watching && r.State != configuration.RolloutRunning && (r.State != configuration.RolloutHalted || len(s.pendingTurns) == 0) {
		s.result.State, s.result.Reason = r.State, r.Reason
		s.result.Stopped = r.State != configuration.RolloutComplete
		for i := range simInstances {
			if s.docs[i] != s.committed {
				return false
			}
		}
		return true
	}
	if s.docs[0] != s.committed {
		return false
	}
	for i := 1; i < simInstances; i++ {
		s.evidence[0].Merge(s.evidence[i].TakeChanged())
	}
	d := decide(newDecisionInput(s.evidence[0], s.recent, r, 1, s.now))
	if d.Action == ActionHold {
		return false
	}
	doc := s.committed.Clone()
	if err := Apply(doc, r.ID, d, s.now); err != nil {
		panic(err)
	}
	s.committed = doc
	for i := range simInstances {
		s.applyAt[i] = s.now.Add(time.Duration(s.rnd.Float64() * float64(time.Second)))
	}
	return false
}

// timerPolicy is the baseline policy: it advances by time and ignores the
// evidence.
func timerPolicy(in DecisionInput) Decision {
	if in.Now.Sub(in.Rollout.StageAt) < MinStageDuration || in.Rollout.State != configuration.RolloutRunning {
		return Decision{Action: ActionHold}
	}
	return Decision{Action: ActionAdvance}
}
