package placement_test

import (
	"testing"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// moveResult is the result of a run in which a data centre is taken out and returned.
type moveResult struct {
	// late counts requests that were started in the data centre, or on the leaving
	// server, later than maxLeaveDelay allows.
	late int
	sent int
	lost int
	// worstLoss is the fraction lost in the worst window of five seconds after the
	// return.
	worstLoss float64
}

// Times in a run, from its start, and limits.
const (
	moveOut        = 20 * time.Second
	moveLeaving    = 40 * time.Second
	moveBack       = 60 * time.Second
	moveEnd        = 110 * time.Second
	moveWindow     = 5 * time.Second
	maxLeaveDelay  = 4 * time.Second
	maxPropagation = 3500 * time.Millisecond
)

// runMove takes the first data centre out and returns it with all its servers in cold
// start, while another server leaves permanently. The load is one that the other
// servers can carry. A configuration change reaches each instance within the limit.
func runMove(seed uint64, s site, choose policy) moveResult {
	t := newTraffic(seed, s, choose)
	out := s.dataCentres[0]
	totalCapacity := 0
	for _, e := range t.engines {
		if e.DataCentre != out && e != t.engines[1] {
			totalCapacity += e.capacity()
		}
	}
	var r moveResult
	outAt, isOut := time.Time{}, false
	t.onStart = func(e *engine, confirmed time.Time) {
		if isOut && e.DataCentre == out && confirmed.Sub(outAt) >= maxLeaveDelay {
			r.late++
		}
		if e.State == board.ServerLeaving && confirmed.Sub(epoch.Add(moveLeaving)) >= maxLeaveDelay {
			r.late++
		}
	}
	t.delayedShare = 0.5
	t.after(moveLeaving, func() { t.engines[1].State = board.ServerLeaving })
	t.after(moveOut, func() {
		outAt, isOut = t.now, true
		t.publishDataCentreState(out, true)
	})
	t.after(moveBack, func() {
		isOut = false
		for _, e := range t.engines {
			if e.DataCentre == out {
				e.turnCold(25*time.Second, true)
			}
		}
		t.publishDataCentreState(out, false)
	})
	t.generateLoad(0.7*float64(totalCapacity)/meanRequestDuration.Seconds(), moveEnd)
	t.run(moveBack)
	for t.now.Before(epoch.Add(moveEnd)) {
		sent, lost := t.sent, t.failed
		t.run(moveWindow)
		r.worstLoss = max(r.worstLoss, float64(t.failed-lost)/float64(max(t.sent-sent, 1)))
	}
	t.run(5 * time.Second)
	r.sent, r.lost = t.sent, t.failed
	return r
}

// publishDataCentreState changes the data centre's state in the configuration, and
// delivers it to each instance after a delay.
func (t *traffic) publishDataCentreState(name string, out bool) {
	next := t.doc.Clone()
	next.DataCentre(name).Out = out
	t.doc = next
	for _, p := range t.instances {
		t.after(between(t.rnd, 10*time.Millisecond, maxPropagation), func() { p.board.Configuration.Publish(next) })
	}
}

func runMoves(s site, choose policy) moveResult {
	const seeds = 8
	results := make([]moveResult, seeds)
	parallel(seeds, func(i int) { results[i] = runMove(uint64(i), s, choose) })
	var sum moveResult
	for _, r := range results {
		sum.late += r.late
		sum.sent += r.sent
		sum.lost += r.lost
		sum.worstLoss = max(sum.worstLoss, r.worstLoss)
	}
	return sum
}

func (r moveResult) answeredShare() float64 { return 1 - float64(r.lost)/float64(r.sent) }

// Taking a data centre out and returning it loses almost no request, and none is
// started there later than the limit allows.
func TestDataCentreMove(t *testing.T) {
	for _, s := range sites {
		r := runMoves(s, choosePlaced)
		t.Logf("%s: %d sent, answered %.4f, late %d, dip %.4f", s.name, r.sent, r.answeredShare(), r.late, r.worstLoss)
		if float64(r.late) > bound(t, "DataCentreMoveLate") {
			t.Errorf("%s: %d started there after the bound", s.name, r.late)
		}
		if r.answeredShare() < bound(t, "DataCentreMoveAnswered") {
			t.Errorf("%s: answered share %v", s.name, r.answeredShare())
		}
		if 1-r.worstLoss < bound(t, "DataCentreMoveAnswered") {
			t.Errorf("%s: lost %v in the worst window after the return", s.name, r.worstLoss)
		}
	}
}

func BenchmarkDataCentreMove(b *testing.B) {
	for _, s := range sites {
		for _, p := range policies {
			b.Run(s.name+"/"+p.name, func(b *testing.B) {
				for b.Loop() {
					r := runMoves(s, p.choose)
					b.ReportMetric(r.answeredShare(), "answered")
					b.ReportMetric(r.worstLoss, "dip")
					b.ReportMetric(float64(r.late), "late")
				}
			})
		}
	}
}
