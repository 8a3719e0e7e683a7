package capacity

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

var start = time.Unix(1_000_000, 0)

func testDocument() *configuration.Document {
	return &configuration.Document{
		Preset: "p", Presets: []configuration.Preset{{Name: "p", RampSeconds: 20}},
		Services: []configuration.Service{{Name: "llm", Concurrency: 8, ColdConcurrency: 2}},
	}
}

func warmReport(at time.Time, sequence uint64) board.LoadReport {
	return board.LoadReport{ReportedAt: at, ReceivedAt: at, Sequence: sequence, Generation: 1, StartedAt: start.Add(-time.Hour), Concurrency: 8, ColdConcurrency: 2}
}

func update(l *Limiter, r board.LoadReport, now time.Time) {
	l.Update(&board.Servers{List: []board.Server{{Name: "s", Service: "llm", Report: r}}}, testDocument(), nil, now)
}

func warmLimiter() *Limiter {
	l := NewLimiter(DefaultSettings())
	update(l, warmReport(start, 10), start)
	return l
}

func TestPhaseFollowsReports(t *testing.T) {
	sec := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	cases := map[string]struct {
		event func(l *Limiter)
		want  Phase
	}{
		"warm":         {func(l *Limiter) { update(l, warmReport(sec(1), 11), sec(1)) }, Warm},
		"stale":        {func(l *Limiter) { update(l, warmReport(start, 10), sec(4)) }, Cold},
		"reports cold": {func(l *Limiter) { r := warmReport(sec(1), 11); r.Cold = true; update(l, r, sec(1)) }, Cold},
		"restarted": {func(l *Limiter) {
			r := warmReport(sec(1), 1)
			r.Generation, r.StartedAt = 2, sec(0)
			update(l, r, sec(1))
		}, Cold},
		"start time moved":  {func(l *Limiter) { r := warmReport(sec(1), 11); r.StartedAt = start; update(l, r, sec(1)) }, Cold},
		"broken connection": {func(l *Limiter) { l.Suspect("s", sec(1)); update(l, warmReport(sec(1), 11), sec(1)) }, Cold},
		"suspicion over, ramping": {func(l *Limiter) {
			l.Suspect("s", sec(1))
			update(l, warmReport(sec(12), 22), sec(12))
		}, Ramping},
		"slow answers": {func(l *Limiter) {
			for range 10 {
				l.Observe("s", 100*time.Millisecond, start)
			}
			for range 5 {
				l.Observe("s", 500*time.Millisecond, sec(1))
			}
			update(l, warmReport(sec(1), 11), sec(1))
		}, Cold},
		"few slow answers": {func(l *Limiter) {
			for range 10 {
				l.Observe("s", 100*time.Millisecond, start)
			}
			for range 4 {
				l.Observe("s", 500*time.Millisecond, sec(1))
			}
			update(l, warmReport(sec(1), 11), sec(1))
		}, Warm},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := warmLimiter()
			is.Equal(l.Phase("s"), Warm)
			c.event(l)
			is.Equal(l.Phase("s"), c.want)
		})
	}
}

func TestInvalidReportsAreCountedAndIgnored(t *testing.T) {
	now := start.Add(time.Second)
	cases := map[ReportFault]func(r *board.LoadReport){
		FaultNegative:   func(r *board.LoadReport) { r.Running = -5 },
		FaultFuture:     func(r *board.LoadReport) { r.ReportedAt = now.Add(time.Hour) },
		FaultOutOfOrder: func(r *board.LoadReport) { r.Sequence = 9 },
		FaultStale:      func(r *board.LoadReport) { r.ReportedAt = now.Add(-time.Minute); r.Generation = 2 },
	}
	for fault, spoil := range cases {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			l := NewLimiter(DefaultSettings())
			cold := warmReport(start, 10)
			cold.Cold = true
			update(l, cold, start)
			before := counters.Get(string(fault))
			r := warmReport(now, 11)
			spoil(&r)
			update(l, r, now)
			is.Equal(l.Phase("s"), Cold)
			_, ok := l.Acquire("s", now)
			is.True(!ok)
			is.True(counters.Get(string(fault)) != nil && (before == nil || counters.Get(string(fault)).String() != "0"))
		})
	}
	is := is.New(t)
	_, ok := warmLimiter().Acquire("unknown", start)
	is.True(!ok)
}

func TestCreditAllowsStartsUntilExpiry(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(DefaultSettings())
	cold := warmReport(start, 10)
	cold.Cold = true
	update(l, cold, start)
	grant := CreditGrant{Server: "s", Count: 1, Epoch: 5, Valid: 2 * time.Second}
	l.applyGrant(grant, start, start.Add(time.Second)) // the answer takes one second
	first, ok := l.Acquire("s", start.Add(1900*time.Millisecond))
	is.True(ok)
	_, ok = l.Acquire("s", start.Add(1900*time.Millisecond))
	is.True(!ok) // the grant allows one request
	is.True(first.Confirm(start.Add(1999 * time.Millisecond)))
	is.True(!first.Confirm(start.Add(2 * time.Second))) // validity counts from the time of the request
	first.Release()
	first.Release()
	is.Equal(l.InFlight("s"), 0)

	grant.Epoch = 4 // of an earlier keeper
	l.applyGrant(grant, start.Add(3*time.Second), start.Add(3*time.Second))
	is.True(!l.Startable("s", start.Add(3*time.Second)))
	grant.Epoch = 5
	l.applyGrant(grant, start.Add(3*time.Second), start.Add(3*time.Second))
	is.True(l.Startable("s", start.Add(3*time.Second)))
	ask := l.buildAsk("s", start.Add(3*time.Second)) // the refused start counts as demand
	is.Equal(ask.Limit, 1)
	ask = l.buildAsk("s", start.Add(3*time.Second)) // no demand since, so the credit is given up
	is.Equal(ask.Limit, 0)
	is.True(!l.Startable("s", start.Add(3*time.Second)))
}

func TestLimitHoldsUnderConcurrentStarts(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(DefaultSettings())
	cold := warmReport(start, 10)
	cold.Cold = true
	update(l, cold, start)
	var running, most atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 3000 {
				p, ok := l.Acquire("s", start)
				if !ok {
					continue
				}
				if p.Confirm(start) {
					most.Store(max(most.Load(), running.Add(1)))
					running.Add(-1)
				}
				p.Release()
			}
		})
	}
	for i := range 300 {
		l.applyGrant(CreditGrant{Server: "s", Count: 1 + i%4, Epoch: 1, Valid: time.Second}, start, start)
		a := l.buildAsk("s", start)
		is.True(a.Limit <= 1+i%4)
	}
	wg.Wait()
	is.Equal(l.InFlight("s"), 0)
	is.True(most.Load() <= 4) // never more than the largest credit
}
