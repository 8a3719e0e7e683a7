package speed

import (
	"encoding/json"
	"expvar"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func near(a, b, tolerance float64) bool { return math.Abs(a/b-1) <= tolerance }

// A statement counts in full at once, and what it says beyond the lasting pace passes.
func TestPassingPace(t *testing.T) {
	is := is.New(t)
	e := New()
	is.Equal(e.Pace("s", epoch), 1.0) // nothing is known
	for i := range 50 {
		e.Observe("s", 1, at(time.Duration(i)*100*time.Millisecond))
	}
	now := at(5 * time.Second)
	e.Observe("s", 4, now)
	is.True(near(e.Pace("s", now), 4, 0.01))
	is.True(e.Pace("s", now.Add(passingHalfLife)) < 2.5)
	is.True(near(e.Pace("s", now.Add(time.Second)), 1, 0.1))
	is.True(near(e.Lasting("s", now), 1, 0.1))
}

// Odd paces say nothing, and huge ones are bounded.
func TestOddPaces(t *testing.T) {
	is := is.New(t)
	e := New()
	for _, pace := range []float64{0, -1, math.NaN(), math.Inf(-1)} {
		e.Observe("s", pace, epoch)
	}
	is.Equal(e.Pace("s", epoch), 1.0)
	e.Observe("s", math.Inf(1), epoch)
	is.True(e.Pace("s", epoch) <= maxPace*1.001)
	e.Observe("s", 1, at(-time.Minute)) // late: the later statement holds
	is.True(e.Pace("s", epoch) > maxPace/2)
}

// fleet is a fleet whose instances tell each other their sums as the gateway's do.
type fleet struct {
	members  []*Estimates
	readers  []*Estimates
	sequence int64
	random   *rand.Rand
	// loss is the share of messages that is lost.
	loss float64
}

func newFleet(readers, membersEach int, random *rand.Rand) *fleet {
	f := &fleet{random: random}
	for range readers {
		f.readers = append(f.readers, New())
	}
	for range readers * membersEach {
		f.members = append(f.members, New())
	}
	return f
}

func (f *fleet) instance(i int) *Estimates {
	if i < len(f.readers) {
		return f.readers[i]
	}
	return f.members[i-len(f.readers)]
}

func (f *fleet) size() int { return len(f.readers) + len(f.members) }

// send passes a report on as it is on the wire.
func (f *fleet) send(to *Estimates, name string, k Kind, r Report, now time.Time) {
	if r == nil || f.random.Float64() < f.loss {
		return
	}
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	var got Report
	if err := json.Unmarshal(raw, &got); err != nil {
		panic(err)
	}
	to.Merge(name, k, 1, f.sequence, got, now)
}

// share lets all instances report once.
func (f *fleet) share(now time.Time) {
	f.sequence++
	for i, m := range f.members {
		f.send(f.readers[i%len(f.readers)], fmt.Sprint("member-", i), Own, m.Report(Own, now), now)
	}
	groups, all := make([]Report, len(f.readers)), make([]Report, len(f.readers))
	for i, r := range f.readers {
		groups[i] = r.Report(Group, now)
	}
	for i, r := range f.readers {
		for j := range f.readers {
			if i != j {
				f.send(r, fmt.Sprint("reader-", j), Group, groups[j], now)
			}
		}
	}
	for i, r := range f.readers {
		all[i] = r.Report(Fleet, now)
	}
	for i, m := range f.members {
		f.send(m, fmt.Sprint("reader-", i%len(f.readers)), Fleet, all[i%len(f.readers)], now)
	}
}

// Each statement counts once, at every instance, also if a third of the messages is lost.
func TestEachStatementCountsOnce(t *testing.T) {
	for _, loss := range []float64{0, 0.33} {
		is := is.New(t)
		f := newFleet(3, 20, rand.New(rand.NewPCG(1, 1)))
		f.loss = loss
		var now time.Time
		total := Sum{}
		for tick := range 40 {
			now = at(time.Duration(tick) * 250 * time.Millisecond)
			if tick < 20 {
				pace := 1 + f.random.Float64()
				f.instance(f.random.IntN(f.size())).Observe("s", pace, now)
				weight := fade(at(10*time.Second).Sub(now), halfLife)
				total.Log += math.Log(pace) * weight
				total.Count += weight
			}
			if tick%2 == 0 {
				f.share(now)
			}
		}
		end := at(10 * time.Second)
		for i := range f.size() {
			got := f.instance(i).sum("s", end)
			is.True(near(got.Count, total.Count, 0.03)) // numbers are rounded on the wire
			is.True(near(got.Log, total.Log, 0.03))
		}
	}
}

// worldServer is a server as it is: for good, and at a moment.
type worldServer struct {
	lasting   float64
	noisy     bool
	noisyTill time.Time
}

// pace returns what the server states: for a sixth of the time others take a part of its
// machine, for some hundred milliseconds at a time.
func (s *worldServer) pace(now time.Time, random *rand.Rand) float64 {
	if !now.Before(s.noisyTill) {
		s.noisy, s.noisyTill = random.Float64() < 0.15, now.Add(time.Duration((0.3+0.6*random.Float64())*float64(time.Second)))
	}
	if s.noisy {
		return 2.5 * s.lasting
	}
	return s.lasting
}

// Servers that differ by 0.6 to 1.6 for good are told apart by every instance of 61 within
// seconds, although each sees a server four times a minute. By its own statements alone an
// instance mistakes many. One that turns slow for seconds shows while it is.
func TestSpeedsOverTheFleet(t *testing.T) {
	is := is.New(t)
	const servers = 60
	random := rand.New(rand.NewPCG(2, 2))
	f := newFleet(6, 9, random)
	f.readers = append(f.readers, New()) // 61 instances
	world := make([]worldServer, servers)
	for i := range world {
		world[i].lasting = []float64{0.6, 1, 1.6}[i%3]
	}
	name := func(i int) string { return fmt.Sprint("s", i) }
	// wrong returns the share of pairs of servers of different speed that an instance has in
	// the wrong order or can't tell apart.
	wrong := func(now time.Time, pace func(e *Estimates, server string) float64) float64 {
		bad, pairs := 0, 0
		for i := range f.size() {
			e := f.instance(i)
			for a := range world {
				for b := range a {
					if world[a].lasting < world[b].lasting {
						pairs++
						if pace(e, name(a)) >= pace(e, name(b)) {
							bad++
						}
					}
				}
			}
		}
		return float64(bad) / float64(pairs)
	}
	var now time.Time
	for ms := 0; ms < 15000; ms += 4 { // 250 requests a second
		now = at(time.Duration(ms) * time.Millisecond)
		s := random.IntN(servers)
		if ms >= 10000 && s == 0 {
			world[0].lasting = 3.5
		}
		f.instance(random.IntN(f.size())).Observe(name(s), world[s].pace(now, random), now)
		if ms%1000 == 0 {
			f.share(now)
		}
		if ms == 9996 {
			shared := wrong(now, func(e *Estimates, server string) float64 { return e.Lasting(server, now) })
			own := wrong(now, func(e *Estimates, server string) float64 {
				o := e.own.at(server, now)
				return o.Log / (o.Count + priorWeight)
			})
			t.Logf("pairs in the wrong order: %.3f by shared statements, %.3f by own ones", shared, own)
			is.True(shared <= 0.05)
			is.True(own >= 3*shared) // the exchange is what tells them
		}
	}
	slow := 0
	for i := range f.size() {
		if f.instance(i).Lasting(name(0), now) > 1.6 {
			slow++
		}
	}
	is.True(slow >= f.size()*9/10) // most see within 5 s that it has become slow
}

// A report of an older run, an overtaken one and sums out of range change nothing, and the
// rest of a report goes on.
func TestOddReports(t *testing.T) {
	is := is.New(t)
	e := New()
	dropped := func() string { return counters.String() }
	e.Merge("a", Own, 2, 5, Report{"s": {Log: math.Log(2) * 10, Count: 10}}, epoch)
	before := e.Lasting("s", epoch)
	is.True(before > 1.8)
	e.Merge("a", Own, 1, 9, Report{"s": {}}, epoch) // an earlier run
	e.Merge("a", Own, 2, 5, Report{"s": {}}, epoch) // a duplicate
	e.Merge("a", Own, 2, 4, Report{"s": {}}, epoch) // overtaken
	is.Equal(e.Lasting("s", epoch), before)
	counted := dropped()
	for i, raw := range []string{`[99999999,100]`, `[1,-5]`, `[1]`, `[1,2,3]`, `"fast"`, `{"Log":1}`, `null`, `[1e300,1e300]`} {
		var r Report
		is.NoErr(json.Unmarshal(fmt.Appendf(nil, `{"s":%s,"good":[0,100]}`, raw), &r))
		e.Merge("a", Own, 2, int64(10+i), r, epoch)
		is.Equal(e.Lasting("s", epoch), before)
		is.True(near(e.sum("good", epoch).Count, 1, 0.01))
	}
	is.True(dropped() != counted)
	e.Merge("a", Own, 3, 1, Report{"good": {Count: 1}}, epoch) // a new run knows nothing of s
	is.Equal(e.Lasting("s", epoch), 1.0)
}

// An instance that is gone is forgotten, and so is what nobody states any more.
func TestForgetting(t *testing.T) {
	is := is.New(t)
	e := New()
	e.Merge("a", Own, 1, 1, Report{"s": {Log: 20, Count: 10}}, epoch)
	e.Merge("b", Group, 1, 1, Report{"s": {Log: -10, Count: 10}}, epoch)
	e.Merge("b", Group, 1, 2, Report{"other": {Log: -10, Count: 10}}, at(sourceTTL/2))
	e.Report(Group, at(sourceTTL))
	is.True(e.Lasting("s", at(sourceTTL)) < 1) // what b has reported is left
	e.Report(Group, at(time.Hour))
	known, _ := e.Slowest(10, at(time.Hour))
	is.Equal(known, 0)
	is.Equal(len(e.sources), 0)
}

// A report of a large fleet fits a datagram, and every server has its turn.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	const servers = 2900
	e := New()
	seen := map[string]bool{}
	for round := range 1 + servers/maxReported {
		now := at(time.Duration(round) * time.Second)
		for i := range servers {
			e.Observe(fmt.Sprintf("i-%010x", i), 1.234, now)
		}
		r := e.Report(Own, now)
		raw, err := json.Marshal(r)
		is.NoErr(err)
		is.True(len(raw) <= 16<<10)
		for server := range r {
			seen[server] = true
		}
	}
	is.Equal(len(seen), servers)
	for i := range 2 * maxServers {
		e.Observe(fmt.Sprint("odd", i), 1, at(time.Minute))
	}
	known, slowest := e.Slowest(20, at(time.Minute))
	is.True(known <= maxServers)
	is.Equal(len(slowest), 20)
	is.True(expvar.Get("SpeedReports").(*expvar.Map).Get("ServerNotKept") != nil)
}

// Reports that name ever new servers take a bounded amount of memory.
func TestReportsOfUnknownServers(t *testing.T) {
	is := is.New(t)
	e := New()
	for _, k := range []Kind{Own, Group, Fleet} {
		for i := range 3 * maxServers / 100 {
			r := Report{}
			for j := range 100 {
				r[fmt.Sprint(k, i, "-", j)] = Sum{Count: 1}
			}
			e.Merge("a", k, 1, int64(i+1), r, epoch)
		}
	}
	known, _ := e.Slowest(1, epoch)
	is.True(known <= 3*maxServers)
}
