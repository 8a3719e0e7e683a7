// Package quarantine finds prompt parts that crash the backend servers that answer
// them. A part is found if it is common to crashes of several servers and requests,
// and no answer to a prompt with it has begun since.
//
// It is built for a part that crashes every server which begins an answer to it, in
// prompts whose other parts are sound and shared by many requests, while servers also
// crash for other reasons, many at once.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// minCrashes and minRequests are the numbers of crashed servers and of different
	// requests that a part must have in common.
	minCrashes  = 3
	minRequests = 2
	// minCrashesAlone is the number of crashed servers that suffices for the prompts of
	// a single request.
	minCrashesAlone = 4
	// minMoments is the number of moments, momentGap apart, at which servers must have
	// crashed for a part that has been answered before. When many servers crash at
	// once, prompts with the parts that most requests share are lost on several.
	minMoments = 3
	momentGap  = 250 * time.Millisecond
	// settleTime is how old a crash must be to count. When many servers crash at
	// once, answers with the sound parts begin elsewhere meanwhile, and other
	// instances report them.
	settleTime = time.Second
	// evidenceTime is how long a crash counts.
	evidenceTime = time.Minute
	// reportTime is how long a crash is reported to other instances.
	reportTime = 3 * time.Second
	// maxCrashes bounds the crashes that are kept, maxAnswered the parts whose last
	// answer is remembered.
	maxCrashes  = 200
	maxAnswered = 20000
)

// ServerRun is one run of a backend server.
type ServerRun struct {
	Server    string
	StartedAt int64
}

// Prompt is a prompt that a server was working on when it crashed.
type Prompt struct {
	// Request is the ID of the prompt's last part, which other requests don't share.
	Request string
	// Parts holds the IDs of the other parts.
	Parts []string
}

// Crash is the crash of a server, as an instance reports it to others.
type Crash struct {
	ServerRun
	Age      time.Duration
	Suspects []Suspect
}

// Suspect is a part of a prompt that a crashed server was working on.
type Suspect struct {
	Part string
	// Depth is the position of the part in the prompt.
	Depth int
	// Requests holds the requests with the part that had no event of the answer yet.
	Requests []string
}

// Report is what an instance tells others of recent crashes.
type Report struct {
	Crashes []Crash
	// Answered is how long ago the instance last saw the beginning of an answer to a
	// prompt with the part. It holds parts of Crashes only.
	Answered map[string]time.Duration
}

// Tracker collects the evidence of one instance and of those that report to it. It is
// safe for concurrent use. Create it with New.
type Tracker struct {
	mu      sync.Mutex
	crashes map[ServerRun]*crash
	// answeredAt is when an answer to a prompt with the part last began.
	answeredAt map[string]time.Time
}

type crash struct {
	at       time.Time
	suspects map[string]*suspect // by part
}

type suspect struct {
	depth    int
	requests map[string]bool
}

// New returns a Tracker without evidence.
func New() *Tracker {
	return &Tracker{crashes: map[ServerRun]*crash{}, answeredAt: map[string]time.Time{}}
}

// RecordAnswer records that an answer to a prompt with the parts has begun.
func (t *Tracker) RecordAnswer(parts []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.answeredAt) > maxAnswered {
		clear(t.answeredAt)
	}
	for _, part := range parts {
		t.answeredAt[part] = now
	}
}

// RecordCrash records that a server has crashed while it worked on a prompt to which
// no event of the answer had arrived.
func (t *Tracker) RecordCrash(run ServerRun, p Prompt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.crash(run, now)
	for depth, part := range p.Parts {
		c.add(part, depth, p.Request)
	}
}

// crash returns the crash of a server run, which happened at the given time unless it
// is known already. The caller holds mu.
func (t *Tracker) crash(run ServerRun, at time.Time) *crash {
	c := t.crashes[run]
	if c == nil {
		if len(t.crashes) >= maxCrashes {
			clear(t.crashes)
		}
		c = &crash{at: at, suspects: map[string]*suspect{}}
		t.crashes[run] = c
	}
	return c
}

func (c *crash) add(part string, depth int, request string) {
	if c.suspects[part] == nil {
		c.suspects[part] = &suspect{requests: map[string]bool{}}
	}
	x := c.suspects[part]
	x.depth = max(x.depth, depth)
	if len(x.requests) < minRequests {
		x.requests[request] = true
	}
}

// Report returns the crashes of the last moments, for other instances. It reports
// false if there are none.
func (t *Tracker) Report(now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Answered: map[string]time.Duration{}}
	for run, c := range t.crashes {
		if now.Sub(c.at) > reportTime {
			continue
		}
		reported := Crash{ServerRun: run, Age: now.Sub(c.at)}
		for part, x := range c.suspects {
			reported.Suspects = append(reported.Suspects, Suspect{Part: part, Depth: x.depth, Requests: slices.Sorted(maps.Keys(x.requests))})
			if at, ok := t.answeredAt[part]; ok {
				r.Answered[part] = now.Sub(at)
			}
		}
		r.Crashes = append(r.Crashes, reported)
	}
	return r, len(r.Crashes) > 0
}

// Merge adds the evidence of another instance.
func (t *Tracker) Merge(r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, reported := range r.Crashes {
		at := now.Add(-reported.Age)
		c := t.crash(reported.ServerRun, at)
		if at.Before(c.at) {
			c.at = at
		}
		for _, x := range reported.Suspects {
			for _, request := range x.Requests {
				c.add(x.Part, x.Depth, request)
			}
		}
	}
	for part, age := range r.Answered {
		if at := now.Add(-age); at.After(t.answeredAt[part]) {
			t.answeredAt[part] = at
		}
	}
}

// Found is a part that crashes servers.
type Found struct {
	Part    string
	Crashes int
}

// Find returns the parts that crash servers and aren't quarantined yet. A crash that a
// quarantined part explains is no evidence against the other parts of its prompts.
func (t *Tracker) Find(quarantined func(part string) bool, now time.Time) []Found {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.crashes, func(_ ServerRun, c *crash) bool { return now.Sub(c.at) > evidenceTime })
	var found []Found
	isKnown := func(part string) bool {
		return quarantined(part) || slices.ContainsFunc(found, func(f Found) bool { return f.Part == part })
	}
	for {
		worst, ok := t.worst(isKnown, now)
		if !ok {
			return found
		}
		found = append(found, worst)
	}
}

// worst returns the part with the most unexplained crashes if they suffice. Of several
// it is the one whose last answer is the longest ago, then the one that comes last in
// its prompts, which fewer sound prompts share. The caller holds mu.
func (t *Tracker) worst(isKnown func(part string) bool, now time.Time) (Found, bool) {
	type total struct {
		times    []time.Time
		depth    int
		requests map[string]bool
	}
	totals := map[string]*total{}
	for _, c := range t.crashes {
		if now.Sub(c.at) < settleTime || c.isExplained(isKnown) {
			continue
		}
		for part, x := range c.suspects {
			if t.answeredAt[part].After(c.at) {
				continue
			}
			if totals[part] == nil {
				totals[part] = &total{requests: map[string]bool{}}
			}
			sum := totals[part]
			sum.times = append(sum.times, c.at)
			sum.depth = max(sum.depth, x.depth)
			maps.Copy(sum.requests, x.requests)
		}
	}
	maps.DeleteFunc(totals, func(part string, sum *total) bool {
		_, answered := t.answeredAt[part]
		return len(sum.times) < minCrashes || len(sum.requests) < minRequests && len(sum.times) < minCrashesAlone ||
			answered && countMoments(sum.times) < minMoments
	})
	if len(totals) == 0 {
		return Found{}, false
	}
	part := slices.MinFunc(slices.Collect(maps.Keys(totals)), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(totals[b].times), len(totals[a].times)), t.answeredAt[a].Compare(t.answeredAt[b]),
			cmp.Compare(totals[b].depth, totals[a].depth), cmp.Compare(a, b))
	})
	return Found{part, len(totals[part].times)}, true
}

// countMoments returns the number of times that are at least momentGap after the one
// counted before.
func countMoments(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var last time.Time
	for _, at := range times {
		if n == 0 || at.Sub(last) >= momentGap {
			n, last = n+1, at
		}
	}
	return n
}

func (c *crash) isExplained(isKnown func(part string) bool) bool {
	for part := range c.suspects {
		if isKnown(part) {
			return true
		}
	}
	return false
}
