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

// bound returns a target from the data file.
func bound(tb testing.TB, name string) float64 {
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
	tb.Fatalf("no bound %s", name)
	return 0
}

// line runs events in the order of a fake time, which is also its clock.
type line struct {
	clockwork.Clock
	now    time.Time
	events []lineEvent
}

type lineEvent struct {
	at  time.Time
	run func()
}

func (l *line) Now() time.Time     { return l.now }
func (l *line) Len() int           { return len(l.events) }
func (l *line) Less(i, j int) bool { return l.events[i].at.Before(l.events[j].at) }
func (l *line) Swap(i, j int)      { l.events[i], l.events[j] = l.events[j], l.events[i] }
func (l *line) Push(x any)         { l.events = append(l.events, x.(lineEvent)) }
func (l *line) Pop() any {
	last := l.events[len(l.events)-1]
	l.events = l.events[:len(l.events)-1]
	return last
}
func (l *line) after(d time.Duration, f func()) { heap.Push(l, lineEvent{l.now.Add(d), f}) }
func (l *line) run(end time.Time) {
	for len(l.events) > 0 && l.events[0].at.Before(end) {
		e := heap.Pop(l).(lineEvent)
		l.now = e.at
		e.run()
	}
}

// Sizes of the overload runs.
const (
	runSlots   = 40
	runHold    = 2 * time.Second
	runTime    = 10 * time.Minute
	runLength  = 5 // requests of a session
	runPause   = time.Second
	runWaiting = 10 * time.Second
)

// overload sends sessions of customers through a gate, or through a baseline.
type overload struct {
	*line
	rnd  *rand.Rand
	gate *Admitter
	// fifo, if set, admits in order of arrival with no regard to customer,
	// session or deadline.
	fifo  bool
	queue []func()
	busy  int

	sent, answered map[string]int
	whole, goodput int
	end            time.Time
}

func newOverload(seed uint64, fifo bool) *overload {
	o := &overload{line: &line{now: time.Unix(1000, 0)}, rnd: rand.New(rand.NewPCG(seed, 3)), fifo: fifo,
		sent: map[string]int{}, answered: map[string]int{}}
	o.end = o.now.Add(runTime)
	o.gate = testGate(o.line, runSlots)
	o.gate.queues["llm"].shedAt = 0.9
	return o
}

// customer begins sessions at the rate of requests a second.
func (o *overload) customer(name string, rate float64) {
	every := runLength / rate
	var next func()
	next = func() {
		if o.now.After(o.end) {
			return
		}
		o.request(name, 0)
		o.after(time.Duration(o.rnd.ExpFloat64()*every*float64(time.Second)), next)
	}
	o.after(time.Duration(o.rnd.ExpFloat64()*every*float64(time.Second)), next)
}

// request sends the nth request of a session. A session ends with its first
// request that is not answered in time.
func (o *overload) request(name string, n int) {
	o.sent[name]++
	arrived := o.now
	work := func(done func()) {
		o.after(time.Duration(o.rnd.ExpFloat64()*float64(runHold)), func() {
			done()
			if o.now.Sub(arrived) > runWaiting+runHold {
				return // the caller has gone
			}
			o.answered[name]++
			o.goodput++
			if n+1 == runLength {
				o.whole++
				return
			}
			o.after(runPause, func() { o.request(name, n+1) })
		})
	}
	if o.fifo {
		o.first(work)
		return
	}
	ask := Request{Customer: name, Service: "llm", Session: n > 0, Deadline: o.now.Add(runWaiting)}
	o.gate.submit(ask, func(v verdict) {
		if t := v.ticket; t != nil {
			// The gate holds its lock; the request starts after it.
			o.after(0, func() { work(func() { t.Done(Answered) }) })
		}
	})
}

func (o *overload) first(work func(done func())) {
	o.queue = append(o.queue, nil)
	o.queue[len(o.queue)-1] = func() {
		o.busy++
		work(func() { o.busy--; o.pump() })
	}
	o.pump()
}

func (o *overload) pump() {
	for o.busy < runSlots && len(o.queue) > 0 {
		next := o.queue[0]
		o.queue = o.queue[1:]
		next()
	}
}

// capacityRate is the rate of requests that the slots bear.
var capacityRate = runSlots / runHold.Seconds()

// run sends load times the capacity: nine customers within their share, the
// rest from one.
func runOverload(seed uint64, load float64, fifo bool) *overload {
	o := newOverload(seed, fifo)
	small := 0.8 * capacityRate / 10
	for i := range 9 {
		o.customer(fmt.Sprint("small-", i), small)
	}
	o.customer("large", load*capacityRate-9*small)
	o.run(o.end.Add(time.Minute)) // all requests end
	return o
}

func (o *overload) smallShare() float64 {
	sent, answered := 0, 0
	for name, n := range o.sent {
		if name != "large" {
			sent += n
			answered += o.answered[name]
		}
	}
	return float64(answered) / float64(sent)
}

func (o *overload) wholeShare() float64 { return float64(o.whole*runLength) / float64(o.goodput) }

func TestFairnessAndGoodput(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		at, twice := runOverload(seed, 1, false), runOverload(seed, 2, false)
		goodput := float64(twice.goodput) / float64(at.goodput)
		t.Logf("seed %d: others answered %.4f, goodput %.3f, in whole sessions %.3f", seed, twice.smallShare(), goodput, twice.wholeShare())
		is.True(twice.smallShare() >= bound(t, "FairnessAnswered"))
		is.True(goodput >= bound(t, "GoodputAtTwice"))
	}
}

func BenchmarkFairness(b *testing.B) {
	for _, fifo := range []bool{false, true} {
		b.Run(map[bool]string{false: "Gate", true: "FirstComeFirstServed"}[fifo], func(b *testing.B) {
			for b.Loop() {
				at, twice := runOverload(1, 1, fifo), runOverload(1, 2, fifo)
				b.ReportMetric(twice.smallShare(), "others-answered")
				b.ReportMetric(float64(twice.goodput)/float64(at.goodput), "goodput")
				b.ReportMetric(twice.wholeShare(), "in-whole-sessions")
			}
		})
	}
}
