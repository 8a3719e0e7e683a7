package placement_test

import (
	"testing"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// moveResult is what a run with a data centre taken out and back gave.
type moveResult struct {
	// late counts work started in the data centre, or on the leaving server,
	// later than the bound allows.
	late int
	sent int
	lost int
	// dip is the share lost in the worst five seconds after its return.
	dip float64
}

// Times of a move.
const (
	moveOut      = 20 * time.Second
	moveLeaving  = 40 * time.Second
	moveBack     = 60 * time.Second
	moveEnd      = 110 * time.Second
	moveWindow   = 5 * time.Second
	leaveBound   = 4 * time.Second
	inForceWorst = 3500 * time.Millisecond
)

// runMove takes the first data centre out and brings it back with all its
// servers cold, while another server leaves for good, at a load that the others can carry. A change of configuration
// reaches each instance within the bound.
func runMove(seed uint64, s site, choose policy) moveResult {
	t := newTraffic(seed, s, choose)
	out := s.dataCentres[0]
	places := 0
	for _, e := range t.engines {
		if e.DataCentre != out && e != t.engines[1] {
			places += e.bears()
		}
	}
	var r moveResult
	outAt, isOut := time.Time{}, false
	t.onStart = func(e *engine, confirmed time.Time) {
		if isOut && e.DataCentre == out && confirmed.Sub(outAt) >= leaveBound {
			r.late++
		}
		if e.State == board.ServerLeaving && confirmed.Sub(epoch.Add(moveLeaving)) >= leaveBound {
			r.late++
		}
	}
	t.hesitate = 0.5
	t.after(moveLeaving, func() { t.engines[1].State = board.ServerLeaving })
	t.after(moveOut, func() {
		outAt, isOut = t.now, true
		t.announce(out, true)
	})
	t.after(moveBack, func() {
		isOut = false
		for _, e := range t.engines {
			if e.DataCentre == out {
				e.turnCold(25*time.Second, true)
			}
		}
		t.announce(out, false)
	})
	t.load(0.7*float64(places)/meanHold.Seconds(), moveEnd)
	t.run(moveBack)
	for t.now.Before(epoch.Add(moveEnd)) {
		sent, lost := t.sent, t.failed
		t.run(moveWindow)
		r.dip = max(r.dip, float64(t.failed-lost)/float64(max(t.sent-sent, 1)))
	}
	t.run(5 * time.Second)
	r.sent, r.lost = t.sent, t.failed
	return r
}

// announce publishes the data centre's state to each instance, after a delay.
func (t *traffic) announce(name string, out bool) {
	next := t.doc.Clone()
	next.DataCentre(name).Out = out
	t.doc = next
	for _, p := range t.instances {
		t.after(between(t.rnd, 10*time.Millisecond, inForceWorst), func() { p.board.Configuration.Publish(next) })
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
		sum.dip = max(sum.dip, r.dip)
	}
	return sum
}

func (r moveResult) answeredShare() float64 { return 1 - float64(r.lost)/float64(r.sent) }

func TestDataCentreMove(t *testing.T) {
	for _, s := range sites {
		r := runMoves(s, placed)
		t.Logf("%s: %d sent, answered %.4f, late %d, dip %.4f", s.name, r.sent, r.answeredShare(), r.late, r.dip)
		if float64(r.late) > bound(t, "DataCentreMoveLate") {
			t.Errorf("%s: %d started there after the bound", s.name, r.late)
		}
		if r.answeredShare() < bound(t, "DataCentreMoveAnswered") {
			t.Errorf("%s: answered share %v", s.name, r.answeredShare())
		}
		if 1-r.dip < bound(t, "DataCentreMoveAnswered") {
			t.Errorf("%s: lost %v in the worst window after the return", s.name, r.dip)
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
					b.ReportMetric(r.dip, "dip")
					b.ReportMetric(float64(r.late), "late")
				}
			})
		}
	}
}
