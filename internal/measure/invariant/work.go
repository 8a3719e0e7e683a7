package invariant

import (
	"time"
)

// The fields of events that the checks compare with.
const (
	callNonIdempotent = "NonIdempotent"
	resultAnswered    = "Answered"
	resultRefused     = "Refused"
	resultFailed      = "Failed"
	resultCut         = "Cut"
	resultTruncated   = "Truncated"
	resultUnreachable = "Unreachable"
	reasonDuplicate   = "Duplicate"
	stateNotRun       = "NotRun"
	stateLeaving      = "Leaving"
	stateLive         = "Live"
)

// asked indexes what callers sent by tag.
func (t Trace) asked() map[string]Event {
	sent := map[string]Event{}
	for _, e := range t.of(KindSent) {
		if _, ok := sent[e.Tag]; !ok {
			sent[e.Tag] = e
		}
	}
	return sent
}

// permission is one change of what a customer may use.
type permission struct {
	at      time.Time
	model   string
	version string
	allowed bool
}

func (p permission) covers(model, version string) bool {
	return p.model == model && (p.version == "" || p.version == version)
}

// checkAllowedVersion: a request runs only on a model and version that its
// customer allows. What was disallowed may run until that is in force.
func checkAllowedVersion(t Trace, r *Result) {
	permissions := map[string][]permission{}
	for _, e := range t {
		if e.Kind == KindAllowed || e.Kind == KindDisallowed {
			permissions[e.Customer] = append(permissions[e.Customer], permission{e.At, e.Model, e.Version, e.Kind == KindAllowed})
		}
	}
	sent := t.asked()
	for _, e := range t.of(KindStarted) {
		request, ok := sent[e.Tag]
		if !ok || e.Model == "" {
			continue
		}
		r.Checked++
		if e.Customer != request.Customer {
			r.violate("request %s of customer %s ran as customer %s", e.Tag, request.Customer, e.Customer)
		}
		if !isAllowed(permissions[request.Customer], e) {
			r.violate("customer %s ran on %s@%s at %s", request.Customer, e.Model, e.Version, e.Server)
		}
	}
}

// isAllowed reports whether the work was allowed at its start or was so within
// the bound before.
func isAllowed(list []permission, e Event) bool {
	allowed := false
	for _, p := range list {
		if p.at.After(e.At) {
			break
		}
		if !p.covers(e.Model, e.Version) {
			continue
		}
		if allowed && !p.allowed && e.At.Sub(p.at) <= inForceBound {
			return true
		}
		allowed = p.allowed
	}
	return allowed
}

// checkWithdrawnVersion: a withdrawn version gets no new work once its
// withdrawal is in force.
func checkWithdrawnVersion(t Trace, r *Result) {
	withdrawn := map[string]time.Time{}
	for _, e := range t {
		switch {
		case e.Kind == KindWithdrawn:
			withdrawn[e.Model+"@"+e.Version] = e.At
		case e.Kind == KindStarted && e.Model != "" && len(withdrawn) > 0:
			r.Checked++
			at, ok := withdrawn[e.Model+"@"+e.Version]
			if ok && e.At.Sub(at) > inForceBound {
				r.violate("%s@%s started at %s %s after its withdrawal", e.Model, e.Version, e.Server, e.At.Sub(at))
			}
		}
	}
}

// checkSessionVersion: the requests of a session run on one version of a
// model, unless that was withdrawn and the customer's sessions move.
func checkSessionVersion(t Trace, r *Result) {
	type place struct{ session, model string }
	sent := t.asked()
	versions := map[place]string{}
	moves, withdrawn := map[string]bool{}, map[string]bool{}
	for _, e := range t {
		switch e.Kind {
		case KindMoves:
			moves[e.Customer] = true
		case KindWithdrawn:
			withdrawn[e.Model+"@"+e.Version] = true
		case KindStarted:
			request := sent[e.Tag]
			if request.Session == "" || e.Model == "" {
				continue
			}
			p := place{request.Session, e.Model}
			before, known := versions[p]
			versions[p] = e.Version
			if !known {
				continue
			}
			r.Checked++
			moved := withdrawn[e.Model+"@"+before] && moves[request.Customer]
			if before != e.Version && !moved {
				r.violate("session %s of customer %s went from %s@%s to %s at turn %d", p.session, request.Customer, p.model, before, e.Version, request.Turn)
			}
		}
	}
}

// checkColdStart: a server in cold start gets no more than it bears. A server
// that turned cold without warning is known as cold after the bound.
func checkColdStart(t Trace, r *Result) {
	for _, e := range t {
		if e.Kind == KindStarted && e.Cold {
			r.Checked++
			if e.Running > e.Limit {
				r.violate("server %s in cold start ran %d of %d", e.Server, e.Running, e.Limit)
			}
		}
		if e.Kind == KindColdExcess {
			r.Checked++
			if e.Unannounced.IsZero() || e.At.Sub(e.Unannounced) > coldNoticeBound {
				r.violate("server %s in cold start was given %d of %d at %s", e.Server, e.Running, e.Limit, e.At.Format(time.RFC3339Nano))
			}
		}
	}
}

// checkDataCentreOut: a data centre that was taken out gets no new work once
// that is in force.
func checkDataCentreOut(t Trace, r *Result) {
	out := map[string]time.Time{}
	for _, e := range t {
		switch e.Kind {
		case KindTakenOut:
			out[e.DataCentre] = e.At
		case KindReturned:
			delete(out, e.DataCentre)
		case KindStarted:
			if len(out) == 0 {
				continue
			}
			r.Checked++
			if at, ok := out[e.DataCentre]; ok && e.At.Sub(at) > inForceBound {
				r.violate("server %s in %s started work %s after the data centre was taken out", e.Server, e.DataCentre, e.At.Sub(at))
			}
		}
	}
}

// checkLeavingBackend: a leaving server gets no new work after the bound.
func checkLeavingBackend(t Trace, r *Result) {
	leaving := map[string]time.Time{}
	for _, e := range t {
		switch {
		case e.Kind == KindListed && e.State == stateLeaving:
			leaving[e.Server] = e.At
		case e.Kind == KindListed && e.State == stateLive:
			delete(leaving, e.Server)
		case e.Kind == KindStarted && len(leaving) > 0:
			r.Checked++
			if at, ok := leaving[e.Server]; ok && e.At.Sub(at) > leavingBound {
				r.violate("server %s started work %s after it was listed as leaving", e.Server, e.At.Sub(at))
			}
		}
	}
}

// checkNonIdempotentOnce: a request that may not be repeated runs at most once.
func checkNonIdempotentOnce(t Trace, r *Result) {
	runs := map[string]int{}
	for _, e := range t.of(KindStarted) {
		runs[e.Tag]++
	}
	for tag, request := range t.asked() {
		if request.Call != callNonIdempotent {
			continue
		}
		r.Checked++
		if runs[tag] > 1 {
			r.violate("non-idempotent request %s of customer %s ran %d times", tag, request.Customer, runs[tag])
		}
	}
}
