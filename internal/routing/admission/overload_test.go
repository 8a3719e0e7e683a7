package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// readBound returns the named target from testdata/bounds.txt.
func readBound(tb testing.TB, name string) float64 {
	tb.Helper()
	data, err := os.ReadFile("testdata/bounds.txt")
	if err != nil {
		tb.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if key, value, _ := strings.Cut(strings.TrimSpace(line), "="); key == name {
			v, err := strconv.ParseFloat(value, 64)
			if err != nil {
				tb.Fatal(err)
			}
			return v
		}
	}
	tb.Fatalf("testdata/bounds.txt has no bound %q", name)
	return 0
}

// simulator is a discrete-event simulator: it runs events in the order of a
// simulated time, which it also provides as a clock.
type simulator struct {
	clockwork.Clock
	now    time.Time
	events []simulatedEvent
}

type simulatedEvent struct {
	at  time.Time
	run func()
}

func (s *simulator) Now() time.Time     { return s.now }
func (s *simulator) Len() int           { return len(s.events) }
func (s *simulator) Less(i, j int) bool { return s.events[i].at.Before(s.events[j].at) }
func (s *simulator) Swap(i, j int)      { s.events[i], s.events[j] = s.events[j], s.events[i] }
func (s *simulator) Push(x any)         { s.events = append(s.events, x.(simulatedEvent)) }
func (s *simulator) Pop() any {
	last := s.events[len(s.events)-1]
	s.events = s.events[:len(s.events)-1]
	return last
}
func (s *simulator) schedule(d time.Duration, f func()) {
	heap.Push(s, simulatedEvent{s.now.Add(d), f})
}
func (s *simulator) run(end time.Time) {
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(s).(simulatedEvent)
		s.now = e.at
		e.run()
	}
}

// Parameters of the overload simulation.
const (
	slotCount       = 40
	meanRunDuration = 2 * time.Second
	runDuration     = 10 * time.Minute
	sessionLength   = 5 // requests of a session
	sessionPause    = time.Second
	callerTimeout   = 10 * time.Second
)

// overload simulates the sessions of several customers, admitted either by an
// Admitter or in order of arrival as a baseline.
type overload struct {
	*simulator
	rnd      *rand.Rand
	admitter *Admitter
	// fifo selects the baseline, which admits in order of arrival and ignores
	// customers, sessions and deadlines.
	fifo  bool
	queue []func()
	busy  int

	sent, answered            map[string]int
	completeSessions, goodput int
	end                       time.Time
}

func newOverload(seed uint64, fifo bool) *overload {
	o := &overload{simulator: &simulator{now: time.Unix(1000, 0)}, rnd: rand.New(rand.NewPCG(seed, 3)), fifo: fifo,
		sent: map[string]int{}, answered: map[string]int{}}
	o.end = o.now.Add(runDuration)
	o.admitter = newTestAdmitter(o.simulator, slotCount)
	o.admitter.queues["llm"].shedAt = 0.9
	return o
}

// startCustomer starts the sessions of a customer. The times between sessions are
// exponentially distributed; rate is the expected number of requests per second.
func (o *overload) startCustomer(name string, rate float64) {
	meanInterval := sessionLength / rate
	var next func()
	next = func() {
		if o.now.After(o.end) {
			return
		}
		o.sendRequest(name, 0)
		o.schedule(time.Duration(o.rnd.ExpFloat64()*meanInterval*float64(time.Second)), next)
	}
	o.schedule(time.Duration(o.rnd.ExpFloat64()*meanInterval*float64(time.Second)), next)
}

// sendRequest sends request n, counted from 0, of a session. The session ends
// after sessionLength requests or with the first that is not answered in time.
func (o *overload) sendRequest(name string, n int) {
	o.sent[name]++
	arrivedAt := o.now
	work := func(done func()) {
		o.schedule(time.Duration(o.rnd.ExpFloat64()*float64(meanRunDuration)), func() {
			done()
			if o.now.Sub(arrivedAt) > callerTimeout+meanRunDuration {
				return // the caller has given up
			}
			o.answered[name]++
			o.goodput++
			if n+1 == sessionLength {
				o.completeSessions++
				return
			}
			o.schedule(sessionPause, func() { o.sendRequest(name, n+1) })
		})
	}
	if o.fifo {
		o.enqueueFIFO(work)
		return
	}
	req := Request{Customer: name, Service: "llm", Session: n > 0, Deadline: o.now.Add(callerTimeout)}
	o.admitter.submit(req, func(d decision) {
		if t := d.ticket; t != nil {
			// submit holds the lock that Done takes, so the request starts in a
			// later event.
			o.schedule(0, func() { work(func() { t.Done(Answered) }) })
		}
	})
}

func (o *overload) enqueueFIFO(work func(done func())) {
	o.queue = append(o.queue, nil)
	o.queue[len(o.queue)-1] = func() {
		o.busy++
		work(func() { o.busy--; o.dispatchFIFO() })
	}
	o.dispatchFIFO()
}

func (o *overload) dispatchFIFO() {
	for o.busy < slotCount && len(o.queue) > 0 {
		next := o.queue[0]
		o.queue = o.queue[1:]
		next()
	}
}

// capacityRate is the number of requests per second that the slots can serve.
var capacityRate = slotCount / meanRunDuration.Seconds()

// runOverload simulates a load given as a multiple of the capacity. Nine small
// customers stay within their shares; one large customer sends the rest.
func runOverload(seed uint64, load float64, fifo bool) *overload {
	o := newOverload(seed, fifo)
	small := 0.8 * capacityRate / 10
	for i := range 9 {
		o.startCustomer(fmt.Sprint("small-", i), small)
	}
	o.startCustomer("large", load*capacityRate-9*small)
	o.run(o.end.Add(time.Minute)) // long enough for all requests to end
	return o
}

func (o *overload) smallAnsweredShare() float64 {
	sent, answered := 0, 0
	for name, n := range o.sent {
		if name != "large" {
			sent += n
			answered += o.answered[name]
		}
	}
	return float64(answered) / float64(sent)
}

func (o *overload) completeShare() float64 {
	return float64(o.completeSessions*sessionLength) / float64(o.goodput)
}

// One customer sends more than its share, so that the total load is twice the
// capacity. The requests of the other customers are still answered, and the
// goodput stays close to that at the capacity.
func TestFairnessAndGoodput(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		atCapacity, atTwice := runOverload(seed, 1, false), runOverload(seed, 2, false)
		goodput := float64(atTwice.goodput) / float64(atCapacity.goodput)
		t.Logf("seed %d: small customers answered %.4f, goodput %.3f, in complete sessions %.3f", seed, atTwice.smallAnsweredShare(), goodput, atTwice.completeShare())
		is.True(atTwice.smallAnsweredShare() >= readBound(t, "FairnessAnswered"))
		is.True(goodput >= readBound(t, "GoodputAtTwice"))
	}
}

func BenchmarkFairness(b *testing.B) {
	for _, fifo := range []bool{false, true} {
		b.Run(map[bool]string{false: "Gate", true: "FirstComeFirstServed"}[fifo], func(b *testing.B) {
			for b.Loop() {
				atCapacity, atTwice := runOverload(1, 1, fifo), runOverload(1, 2, fifo)
				b.ReportMetric(atTwice.smallAnsweredShare(), "others-answered")
				b.ReportMetric(float64(atTwice.goodput)/float64(atCapacity.goodput), "goodput")
				b.ReportMetric(atTwice.completeShare(), "in-whole-sessions")
			}
		})
	}
}
