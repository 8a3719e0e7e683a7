package soak

import (
	"fmt"
	"slices"
	"time"
)

// Bounds are the platform's, as the settings of the run's instances state them.
type Bounds struct {
	Contact time.Duration
	Drain   time.Duration
	Apply   time.Duration
	Revoke  time.Duration
}

// DefaultBounds are those of the stand-in's settings file.
var DefaultBounds = Bounds{Contact: 3 * time.Second, Drain: 2 * time.Second, Apply: 2 * time.Second, Revoke: 5 * time.Second}

// Result is the verdict of one checker.
type Result struct {
	Name    string
	Checked int
	// Violations describe what was violated.
	Violations []string
}

func (r *Result) check(ok bool, format string, args ...any) {
	r.Checked++
	if !ok {
		r.Violations = append(r.Violations, r.Name+": "+fmt.Sprintf(format, args...))
	}
}

// judge holds an indexed trace.
type judge struct {
	Trace
	bounds   Bounds
	requests map[string]*Request
}

// Judge returns the verdicts of all checkers on a trace.
func Judge(t Trace, bounds Bounds) []Result {
	j := &judge{Trace: t, bounds: bounds, requests: map[string]*Request{}}
	for i := range t.Requests {
		j.requests[t.Requests[i].ID] = &t.Requests[i]
	}
	slices.SortFunc(j.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	var results []Result
	for _, checker := range []struct {
		name  string
		check func(*judge, *Result)
	}{
		{"RunsOnce", (*judge).runsOnce}, {"RefusedHasNotRun", (*judge).refusedHasNotRun}, {"AnswerIsWhole", (*judge).answerIsWhole},
		{"DrainingIsLeft", (*judge).drainingIsLeft}, {"LeavingIsLeft", (*judge).leavingIsLeft}, {"LimitHolds", (*judge).limitHolds},
		{"PauseHolds", (*judge).pauseHolds}, {"ChangeIsApplied", (*judge).changeIsApplied}, {"RevokedKeyEnds", (*judge).revokedKeyEnds},
		{"PlannedStopLosesNothing", (*judge).plannedStopLosesNothing}, {"ProcessStays", (*judge).processStays},
	} {
		r := Result{Name: checker.name}
		checker.check(j, &r)
		results = append(results, r)
	}
	return results
}

// isCalm reports whether neither the instance nor the store was disturbed in the Contact
// time before a moment.
func (j *judge) isCalm(instance string, at time.Duration) bool {
	return !slices.ContainsFunc(j.Disturbed, func(d Disturbance) bool {
		return (d.Instance == "" || d.Instance == instance) && d.From <= at && d.To+j.bounds.Contact > at
	})
}

// isDisturbed reports whether the instance itself was disturbed without a plan between two
// moments, or in the Contact time before.
func (j *judge) isDisturbed(instance string, from, to time.Duration) bool {
	return slices.ContainsFunc(j.Disturbed, func(d Disturbance) bool {
		return d.Instance == instance && d.From <= to && d.To+j.bounds.Contact > from
	})
}

// isInterrupted reports whether the process of the instance ended or was paused between
// two moments.
func (j *judge) isInterrupted(instance string, from, to time.Duration) bool {
	return slices.ContainsFunc(j.Disturbed, func(d Disturbance) bool {
		return d.Instance == instance && d.Process && d.From <= to && d.To >= from
	})
}

func (j *judge) runs(id string) int {
	n := 0
	for _, a := range j.Arrivals {
		if a.ID == id && a.Ran {
			n++
		}
	}
	return n
}

func (j *judge) runsOnce(r *Result) {
	counts := map[string]int{}
	for _, a := range j.Arrivals {
		if a.Ran {
			counts[a.ID]++
		}
	}
	for _, q := range j.Requests {
		if q.Kind == Book {
			r.check(counts[q.ID] <= 1, "%s ran %d times", q.ID, counts[q.ID])
		}
	}
}

func (j *judge) refusedHasNotRun(r *Result) {
	for _, q := range j.Requests {
		switch q.Status {
		case 408, 421, 429, 503:
			if q.Kind == Book {
				n := j.runs(q.ID)
				r.check(n == 0, "%s got %d from %s and ran", q.ID, q.Status, q.Instance)
			}
		}
	}
}

func (j *judge) answerIsWhole(r *Result) {
	for _, q := range j.Requests {
		if q.Status == 200 {
			r.check(q.Sound, "%s got a success from %s that isn't a server's whole answer", q.ID, q.Instance)
		}
	}
}

// drainingIsLeft checks that calm instances leave a server that the store shows as draining.
func (j *judge) drainingIsLeft(r *Result) {
	for _, f := range j.Facts {
		if f.Kind != Draining {
			continue
		}
		for _, a := range j.Arrivals {
			if q := j.requests[a.ID]; a.Server == f.Name && q != nil && q.Sent > f.At+j.bounds.Drain && j.isCalm(q.Instance, a.At) {
				r.check(false, "%s reached %s from %s, %v after it was draining", a.ID, f.Name, q.Instance, a.At-f.At)
			}
		}
		r.Checked++
	}
}

// leavingIsLeft checks that an instance that has passed on an answer of a leaving server
// leaves it, whatever else happens to it but a restart or a pause.
func (j *judge) leavingIsLeft(r *Result) {
	for _, told := range j.Requests {
		if told.Leaving == "" {
			continue
		}
		for _, a := range j.Arrivals {
			q := j.requests[a.ID]
			if a.Server == told.Leaving && q != nil && q.Instance == told.Instance && q.Sent > told.Ended+j.bounds.Drain && !j.isInterrupted(q.Instance, told.Ended, a.At) {
				r.check(false, "%s reached %s from %s, %v after it was told that it leaves", a.ID, a.Server, q.Instance, a.At-told.Ended)
			}
		}
		r.Checked++
	}
}

const (
	limitWindow   = 4 * time.Second
	limitOverrun  = 1.5
	limitSlack    = 5
	noticeMargin  = 500 * time.Millisecond
	maxPausedSent = 2
)

// limitHolds checks that a server that names a limit gets no more than that, with the
// platform's overrun and slack, from the instances that it has told.
func (j *judge) limitHolds(r *Result) {
	toldAt := map[[2]string]time.Duration{} // by server and instance
	named := map[string]time.Duration{}
	for _, q := range j.Requests {
		if q.Limited == "" {
			continue
		}
		key := [2]string{q.Limited, q.Instance}
		if at, ok := toldAt[key]; !ok || q.Ended < at {
			toldAt[key] = q.Ended
		}
	}
	recent := map[string][]Arrival{}
	for _, a := range j.Arrivals {
		if a.Limit < 0 {
			delete(named, a.Server)
			recent[a.Server] = nil
			continue
		}
		if _, ok := named[a.Server]; !ok {
			named[a.Server] = a.At
		}
		q := j.requests[a.ID]
		if q == nil || a.At < named[a.Server]+j.bounds.Contact {
			continue
		}
		at, told := toldAt[[2]string{a.Server, q.Instance}]
		if !told || at+noticeMargin > a.At || j.isDisturbed(q.Instance, named[a.Server], a.At) {
			continue
		}
		recent[a.Server] = slices.DeleteFunc(append(recent[a.Server], a), func(old Arrival) bool { return a.At-old.At >= limitWindow })
		allowed := limitOverrun*a.Limit*limitWindow.Seconds() + limitSlack
		r.check(float64(len(recent[a.Server])) <= allowed, "%s named %v a second and got %d in 4 s at %v", a.Server, a.Limit, len(recent[a.Server]), a.At)
	}
}

// pauseHolds checks that an instance keeps away from a server for as long as it was asked.
func (j *judge) pauseHolds(r *Result) {
	for _, refusal := range j.Arrivals {
		q := j.requests[refusal.ID]
		if refusal.Pause == 0 || q == nil {
			continue
		}
		n := 0
		for _, a := range j.Arrivals {
			other := j.requests[a.ID]
			if a.Server == refusal.Server && other != nil && other.Instance == q.Instance && a.At > refusal.At+noticeMargin && a.At < refusal.At+refusal.Pause {
				n++
			}
		}
		if !j.isDisturbed(q.Instance, refusal.At, refusal.At+refusal.Pause) {
			r.check(n <= maxPausedSent, "%s got %d requests from %s within %v for which it had asked", refusal.Server, n, q.Instance, refusal.Pause)
		}
	}
}

// changeIsApplied checks that calm instances apply added and removed routes in time.
func (j *judge) changeIsApplied(r *Result) {
	for _, q := range j.Requests {
		if q.Needs == "" || !j.isCalm(q.Instance, q.Sent) || !j.isCalm(q.Instance, q.Ended) {
			continue
		}
		for _, f := range j.Facts {
			if f.Name != q.Needs || q.Sent <= f.At+j.bounds.Apply {
				continue
			}
			switch f.Kind {
			case RouteAdded:
				if j.isRemovedBy(f.Name, q.Ended) {
					continue
				}
				r.check(q.Status != 404, "%s got 404 from %s, %v after the route was added", q.ID, q.Instance, q.Sent-f.At)
			case RouteRemoved:
				r.check(j.runs(q.ID) == 0, "%s ran through %s, %v after the route was removed", q.ID, q.Instance, q.Sent-f.At)
			}
		}
	}
}

// isRemovedBy reports whether a route was removed before a moment.
func (j *judge) isRemovedBy(name string, at time.Duration) bool {
	return slices.ContainsFunc(j.Facts, func(f Fact) bool { return f.Kind == RouteRemoved && f.Name == name && f.At <= at+noticeMargin })
}

// revokedKeyEnds checks that no instance, calm or not, runs requests with a revoked key.
func (j *judge) revokedKeyEnds(r *Result) {
	for _, f := range j.Facts {
		if f.Kind != KeyRevoked {
			continue
		}
		for _, q := range j.Requests {
			if q.Needs == f.Name && q.Sent > f.At+j.bounds.Revoke {
				r.check(j.runs(q.ID) == 0, "%s ran through %s, %v after its key was revoked", q.ID, q.Instance, q.Sent-f.At)
			}
		}
	}
}

// plannedStopLosesNothing checks that requests that have run aren't cut off by the planned
// stop of their instance, if nothing else happens to it.
func (j *judge) plannedStopLosesNothing(r *Result) {
	for _, d := range j.Disturbed {
		if !d.Planned {
			continue
		}
		for _, q := range j.Requests {
			if q.Instance == d.Instance && q.Ended >= d.From && q.Sent < d.To && q.Kind == Book && !j.isDisturbedBeside(d, q.Sent) {
				r.check(q.Status != 0 || j.runs(q.ID) == 0, "%s ran and was cut off by the stop of %s", q.ID, q.Instance)
			}
		}
	}
}

// isDisturbedBeside reports whether the instance of a planned stop was disturbed by
// anything else in the Contact time before a moment or until the stop's end.
func (j *judge) isDisturbedBeside(stop Disturbance, from time.Duration) bool {
	return slices.ContainsFunc(j.Disturbed, func(d Disturbance) bool {
		return d.Instance == stop.Instance && d.From != stop.From && d.From <= stop.To && d.To+j.bounds.Contact > from
	})
}

func (j *judge) processStays(r *Result) {
	for _, f := range j.Facts {
		if f.Kind == Ended {
			r.check(false, "%s ended by itself at %v", f.Name, f.At)
		}
	}
	r.Checked++
}
