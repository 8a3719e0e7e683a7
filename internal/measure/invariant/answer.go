package invariant

import (
	"slices"
	"strings"
	"time"
)

// checkBilledOnce: each answered chat request has exactly one bill, under its
// customer; no request has two, and nothing that did not run has one.
func checkBilledOnce(t Trace, r *Result) {
	bills := map[string][]Event{}
	for _, e := range t.of(KindBilled) {
		bills[e.RequestID] = append(bills[e.RequestID], e)
	}
	ran := map[string]bool{}
	for _, e := range t.of(KindStarted) {
		ran[e.RequestID] = true
	}
	for id, list := range bills {
		r.Checked++
		if len(list) > 1 {
			r.violate("request %s has %d bills", id, len(list))
		}
		if !ran[id] {
			r.violate("request %s has a bill and never ran", id)
		}
	}
	for _, e := range t.of(KindEnded) {
		if e.Result != resultAnswered || e.Asked == 0 {
			continue
		}
		r.Checked++
		list := bills[e.RequestID]
		switch {
		case len(list) == 0:
			r.violate("request %s of customer %s was answered and has no bill", e.RequestID, e.Customer)
		case list[0].Customer != e.Customer:
			r.violate("request %s of customer %s is billed to %s", e.RequestID, e.Customer, list[0].Customer)
		}
	}
}

// checkWholeAnswer: an answer that ends as whole is whole and the caller's own.
func checkWholeAnswer(t Trace, r *Result) {
	for _, e := range t.of(KindEnded) {
		switch e.Result {
		case resultAnswered:
			r.Checked++
			if !e.Own || e.Tokens != e.Asked {
				r.violate("request %s of customer %s got %d of %d tokens, own %t: %s", e.Tag, e.Customer, e.Tokens, e.Asked, e.Own, e.Detail)
			}
		case resultTruncated:
			r.Checked++
			r.violate("request %s of customer %s ended in good order after %d of %d tokens", e.Tag, e.Customer, e.Tokens, e.Asked)
		case resultFailed, resultCut:
			r.Checked++
			if e.Tokens > 0 && !e.Own {
				r.violate("request %s of customer %s got another's tokens: %s", e.Tag, e.Customer, e.Detail)
			}
		}
	}
}

// checkNotRunTrue: what was refused as not run had not run by then, and did not
// run later unless the caller sent it again under the same key; a refused
// duplicate does not run.
func checkNotRunTrue(t Trace, r *Result) {
	ran := map[string]Event{}
	for _, e := range t.of(KindStarted) {
		if _, ok := ran[e.Tag]; !ok {
			ran[e.Tag] = e
		}
	}
	ended := t.of(KindEnded)
	mayRun := map[string]bool{}
	for _, e := range ended {
		if !e.isNotRun() && e.Reason != reasonDuplicate {
			mayRun[e.Tag] = true
		}
	}
	for _, e := range ended {
		if !e.isNotRun() {
			continue
		}
		r.Checked++
		run, ok := ran[e.Tag]
		if ok && (!mayRun[e.Tag] || run.At.Before(e.At)) {
			r.violate("request %s of customer %s was refused %s as not run, and ran at %s", e.Tag, e.Customer, e.Reason, run.Server)
		}
	}
}

func (e Event) isNotRun() bool { return e.Result == resultRefused && e.RunState == stateNotRun }

// stop is one planned stop of an instance.
type stop struct {
	began, ended time.Time
}

// checkGracefulStop: a planned stop cuts no request. A request that reaches the
// instance while it stops is answered, or turned away before anything starts.
func checkGracefulStop(t Trace, r *Result) {
	stops := map[string]*stop{}
	for _, e := range t {
		switch e.Kind {
		case KindStopping:
			stops[e.Instance] = &stop{began: e.At}
		case KindStopped:
			if s := stops[e.Instance]; s != nil {
				s.ended = e.At
			}
			if e.Detail != "" {
				r.violate("instance %s did not stop in good order: %s", e.Instance, e.Detail)
			}
		}
	}
	for name, s := range stops {
		if s.ended.IsZero() {
			r.violate("instance %s never ended its stop", name)
		}
	}
	sentAt := map[string]time.Time{}
	for _, e := range t {
		if e.Kind == KindSent {
			sentAt[requestKey(e)] = e.At
		}
		s := stops[e.Instance]
		if e.Kind != KindEnded || s == nil || e.At.Before(s.began) {
			continue
		}
		sent := sentAt[requestKey(e)]
		if !s.ended.IsZero() && sent.After(s.ended) {
			continue
		}
		r.Checked++
		if isCut(e, sent, s.began) {
			r.violate("request %s at stopping instance %s: %s %s %s %s", e.Tag, e.Instance, e.Result, e.Reason, e.RunState, e.Detail)
		}
	}
}

// requestKey tells apart the sendings of one request.
func requestKey(e Event) string { return e.Tag + "/" + e.Instance + "/" + string(rune('0'+e.Turn)) }

// notCut are the reasons that no stop brings about: the instance started
// nothing, although an earlier arrival under the same key may have run.
var notCut = []string{reasonDuplicate, "ClaimUnavailable"}

func isCut(e Event, sent, began time.Time) bool {
	switch e.Result {
	case resultAnswered:
		return false
	case resultRefused:
		return e.RunState != stateNotRun && !slices.Contains(notCut, e.Reason)
	case resultUnreachable:
		return sent.Before(began.Add(balancerLag))
	}
	return true
}

// checkConfigurationInForce: what callers are shown follows the accepted
// changes within the bound on every instance, and never goes back. Each
// accepted change shows a set of models that no other change shows.
func checkConfigurationInForce(t Trace, r *Result) {
	expected := t.of(KindExpected)
	shown := map[string]int{}
	for _, e := range t.of(KindSeen) {
		if len(expected) == 0 || e.At.Before(expected[0].At) {
			continue
		}
		r.Checked++
		due, possible := -1, -1
		for i, x := range expected {
			if e.At.Sub(x.At) > inForceBound {
				due = i
			}
			if !x.At.After(e.At) && slices.Equal(x.Models, e.Models) {
				possible = i
			}
		}
		last, known := shown[e.Instance]
		switch {
		case possible < 0:
			r.violate("instance %s shows %s, which no accepted change shows", e.Instance, strings.Join(e.Models, ","))
			continue
		case possible < due:
			r.violate("instance %s shows change %d while %d is due", e.Instance, possible, due)
		case known && possible < last:
			r.violate("instance %s went back from change %d to %d", e.Instance, last, possible)
		}
		shown[e.Instance] = max(last, possible)
	}
}
