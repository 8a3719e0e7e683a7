// Package speed estimates how long work takes at each backend server, as a multiple of the
// usual, from what servers state in their answers to any instance.
//
// It is built for this load pattern: servers of one service differ for good by a factor of
// two or three and share their machines with others, so that each statement also holds
// what passes within a second; and an instance in a large fleet sees a given server a few
// times a minute, while the fleet sees it a few times a second. Instances therefore
// exchange their statements as sums that fade with age. What lasts is the mean of many
// statements; what passes is used from a fresh one only.
package speed

import (
	"cmp"
	"expvar"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// halfLife is the time in which a statement loses half of its weight in the mean. A
	// server that slows down for some seconds has to show while it does so.
	halfLife = 5 * time.Second
	// priorWeight is the weight, in statements, of the belief that a server is as fast as
	// usual.
	priorWeight = 0.7
	// passingHalfLife is the time in which a single statement loses half of its weight in
	// the prediction of what passes.
	passingHalfLife = 150 * time.Millisecond
	// maxPace bounds what is believed of a server: between 1/maxPace and maxPace.
	maxPace = 100
	// sourceTTL is how long a source's sums count after its last report. A source that
	// has begun to report elsewhere counts twice until then.
	sourceTTL = 3 * halfLife
	// newsTime is how long a sum is reported after it has changed. It is several times
	// the interval of reports, so that a lost one is made up for.
	newsTime = 3 * time.Second
	// maxReported bounds the servers in one report, to about 10 KB.
	maxReported = 300
	// maxServers bounds the servers of a source.
	maxServers = 8192
	// dropInterval is the time between searches for what is to be dropped.
	dropInterval = 2 * time.Second
	// negligible is the weight at which a sum is dropped.
	negligible = 0.02
)

// counters counts the reports that were dropped, by reason.
var counters = expvar.NewMap("SpeedReports")

// Kind is what the sums of a report cover.
type Kind int

// The kinds of reports.
const (
	// Own covers the sender.
	Own Kind = iota
	// Group covers the sender and the instances that report to it.
	Group
	// Fleet covers all instances.
	Fleet
)

// Estimates holds what is known of the speeds of servers. It is safe for concurrent use.
type Estimates struct {
	mu sync.RWMutex
	// own is the sum of this instance's statements, group that and its members', and
	// fleet that and the other groups'. reported is the sum over all instances as another
	// one has reported it.
	own, group, fleet, reported sums
	sources                     map[sourceKey]*source
	// latest holds the latest statement of each server to this instance.
	latest map[string]statement
	// droppedAt is when drop last searched.
	droppedAt time.Time
	// cursors holds for each kind of report the last server that it had.
	cursors [Fleet + 1]string
}

type sourceKey struct {
	name string
	kind Kind
}

// source holds the sums that another instance has reported.
type source struct {
	run, sequence int64
	at            time.Time
	sums          sums
}

type statement struct {
	pace float64
	at   time.Time
}

// New returns Estimates without any statement.
func New() *Estimates {
	return &Estimates{own: sums{}, group: sums{}, fleet: sums{}, reported: sums{}, sources: map[sourceKey]*source{}, latest: map[string]statement{}}
}

// Observe records that a server has stated its pace: the time that work takes there at
// that moment as a multiple of the usual.
func (e *Estimates) Observe(server string, pace float64, at time.Time) {
	if !(pace > 0) { // not a number either
		return
	}
	pace = max(1/float64(maxPace), min(pace, maxPace))
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.own[server]; !ok && len(e.own) >= maxServers {
		counters.Add("ServerNotKept", 1)
		return
	}
	s := Sum{Log: math.Log(pace), Count: 1}
	for _, sums := range []sums{e.own, e.group, e.fleet} {
		sums.add(server, s, at)
	}
	if !at.Before(e.latest[server].at) {
		e.latest[server] = statement{pace, at}
	}
}

// Pace returns the time that work is expected to take at a server, as a multiple of the
// usual: its lasting pace, and what a fresh statement to this instance says beyond that.
func (e *Estimates) Pace(server string, now time.Time) float64 {
	e.mu.RLock()
	defer e.mu.RUnlock()
	log := e.lasting(server, now)
	if s, ok := e.latest[server]; ok {
		log += (math.Log(s.pace) - log) * fade(now.Sub(s.at), passingHalfLife)
	}
	return math.Exp(log)
}

// Lasting returns the pace of a server without what passes.
func (e *Estimates) Lasting(server string, now time.Time) float64 {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return math.Exp(e.lasting(server, now))
}

// ServerPace is what is known of a server, for operators.
type ServerPace struct {
	Server string
	// Pace is the lasting pace, and Statements the number of statements, weighted by
	// their age, that it rests on.
	Pace       float64
	Statements float64
	// AgeMs is the age of the latest statement to this instance, and Stated the pace in
	// it; 0 if there is none.
	AgeMs  int64
	Stated float64
}

// Slowest returns the number of servers that have stated a pace to any instance, and up to
// n of them, the slowest first.
func (e *Estimates) Slowest(n int, now time.Time) (known int, slowest []ServerPace) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	all := maps.Clone(e.fleet)
	maps.Copy(all, e.reported)
	for server := range all {
		p := ServerPace{Server: server, Pace: math.Exp(e.lasting(server, now)), Statements: e.sum(server, now).Count}
		if s, ok := e.latest[server]; ok {
			p.AgeMs, p.Stated = now.Sub(s.at).Milliseconds(), s.pace
		}
		slowest = append(slowest, p)
	}
	slices.SortFunc(slowest, compareServers)
	return len(slowest), slowest[:min(n, len(slowest))]
}

// lasting returns the logarithm of a server's lasting pace. The caller holds mu.
func (e *Estimates) lasting(server string, now time.Time) float64 {
	s := e.sum(server, now)
	return s.Log / (s.Count + priorWeight)
}

// sum returns the sum for a server: what is known here, or what another instance has
// reported of the fleet if that rests on more. The caller holds mu.
func (e *Estimates) sum(server string, now time.Time) Sum {
	known, reported := e.fleet.at(server, now), e.reported.at(server, now)
	if reported.Count > known.Count {
		return reported
	}
	return known
}

// Report returns the sums of a kind that have lately changed, to be sent to others, or nil
// if there are none. If there are too many for one report, the next one goes on with the
// rest.
func (e *Estimates) Report(k Kind, now time.Time) Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drop(now)
	all := [...]sums{Own: e.own, Group: e.group, Fleet: e.fleet}[k]
	var news []string
	for server, f := range all {
		if now.Sub(f.changedAt) < newsTime {
			news = append(news, server)
		}
	}
	if len(news) > maxReported {
		slices.Sort(news)
		first, _ := slices.BinarySearch(news, e.cursors[k]+"\x00")
		news = slices.Concat(news[first:], news[:first])[:maxReported]
		e.cursors[k] = news[maxReported-1]
	}
	if len(news) == 0 {
		return nil
	}
	r := make(Report, len(news))
	for _, server := range news {
		r[server] = all.at(server, now)
	}
	return r
}

// Merge takes in a report of another instance, unless one of the same run that is as new
// was taken in before. A later sum replaces the sender's earlier one for the same server,
// so that each statement counts once.
func (e *Estimates) Merge(name string, k Kind, run, sequence int64, r Report, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := sourceKey{name, k}
	s := e.sources[key]
	switch {
	case s == nil:
		s = &source{run: run, sums: sums{}}
		e.sources[key] = s
	case run < s.run || run == s.run && sequence <= s.sequence:
		counters.Add("Overtaken", 1)
		return
	case run > s.run:
		e.forget(key, s, now)
		s = &source{run: run, sums: sums{}}
		e.sources[key] = s
	}
	s.sequence, s.at = sequence, now
	for server, sum := range r {
		if !sum.isPlausible() {
			counters.Add("OutOfRange", 1)
			continue
		}
		into := s.sums
		if k == Fleet {
			into = e.reported
		}
		if _, ok := into[server]; !ok && len(into) >= maxServers {
			counters.Add("ServerNotKept", 1)
			continue
		}
		if k == Fleet {
			e.reported.set(server, sum, now)
			continue
		}
		change := sum.less(s.sums.at(server, now))
		s.sums.set(server, sum, now)
		e.fleet.add(server, change, now)
		if k == Own {
			e.group.add(server, change, now)
		}
	}
}

// drop drops the sources that have been silent for long and the sums that have faded. The
// caller holds mu.
func (e *Estimates) drop(now time.Time) {
	if age := now.Sub(e.droppedAt); age >= 0 && age < dropInterval {
		return
	}
	e.droppedAt = now
	for key, s := range e.sources {
		s.sums.drop(now)
		if now.Sub(s.at) >= sourceTTL {
			e.forget(key, s, now)
		}
	}
	for _, s := range []sums{e.own, e.group, e.fleet, e.reported} {
		s.drop(now)
	}
	maps.DeleteFunc(e.latest, func(server string, _ statement) bool {
		_, ok := e.own[server]
		return !ok
	})
}

// forget takes a source out of the sums. The caller holds mu.
func (e *Estimates) forget(key sourceKey, s *source, now time.Time) {
	delete(e.sources, key)
	for server := range s.sums {
		change := Sum{}.less(s.sums.at(server, now))
		e.fleet.add(server, change, now)
		if key.kind == Own {
			e.group.add(server, change, now)
		}
	}
}

// fade returns the weight that is left after a time.
func fade(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// compareServers orders servers by their pace, the slowest first.
func compareServers(a, b ServerPace) int {
	return cmp.Or(cmp.Compare(b.Pace, a.Pace), cmp.Compare(a.Server, b.Server))
}
