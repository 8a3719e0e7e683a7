package capacity

import (
	"errors"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Phase is what an instance believes of a backend server.
type Phase int

// The phases, in the order in which a server goes through them.
const (
	// Cold means in cold start, suspected of it, or not known to be warm.
	Cold Phase = iota
	// Ramping means reported warm, but not for long enough.
	Ramping
	// Warm means reported warm without a break for the whole ramp.
	Warm
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"Cold", "Ramping", "Warm"}[p]
}

// Belief is what an instance knows of one server's cold start.
type Belief struct {
	Phase Phase
	// Report is the last accepted report, zero if there was none.
	Report board.Report
	// Until is when a Warm belief ends without a newer report.
	Until time.Time
	// ColdAt is the time of the last sign of coldness.
	ColdAt time.Time
	// TurnedCold is when the phase last became Cold, the reports turned cold or
	// the server restarted. What was granted or assumed before is void.
	TurnedCold time.Time
	// startedAt is when the server's run began, on this instance's clock.
	startedAt time.Time
}

// signs are what this instance noticed by itself.
type signs struct {
	// suspectedAt is the time of a broken connection or of slow answers.
	suspectedAt time.Time
}

// next returns the belief after a look at the server's newest report. The ramp
// is at least Quiet, so that no instance takes a server for warm on a spell too
// short for others to see.
func (b Belief) next(server *board.Server, sign signs, ramp time.Duration, now time.Time, set Settings) Belief {
	ramp = max(ramp, set.Quiet())
	n := b
	if fresh, err := b.accept(server, now, set); err != nil {
		countFault(err)
	} else if fresh {
		n = b.afterReport(server.Report, now)
	}
	n.Until = validUntil(n.Report, set)
	young := now.Sub(n.startedAt) < min(ramp, set.SuspectFor)
	suspected := !sign.suspectedAt.IsZero() && now.Sub(sign.suspectedAt) < set.SuspectFor
	if sign.suspectedAt.After(n.ColdAt) {
		n.ColdAt = sign.suspectedAt
	}
	switch {
	case n.Report.ReceivedAt.IsZero(), n.Report.Cold, young, suspected, !now.Before(n.Until):
		n.Phase = Cold
	case now.Sub(n.ColdAt) < ramp:
		n.Phase = Ramping
	default:
		n.Phase = Warm
	}
	if n.Phase == Cold && b.Phase != Cold {
		n.TurnedCold = now
	}
	return n
}

// accept reports whether the server has a report newer than the last accepted.
func (b Belief) accept(server *board.Server, now time.Time, set Settings) (bool, error) {
	r := &server.Report
	if r.ReceivedAt.IsZero() || b.has(r) {
		return false, nil
	}
	if err := checkReport(server.Name, &b.Report, r, now, set); err != nil {
		return false, err
	}
	if r.Generation == b.Report.Generation && r.Sequence > b.Report.Sequence+1 && b.Report.Sequence > 0 {
		counters.Add(string(FaultGap), 1)
	}
	return true, nil
}

// has reports whether r is the last accepted report, maybe relayed again.
func (b Belief) has(r *board.Report) bool {
	last := &b.Report
	return !last.ReceivedAt.IsZero() && r.Generation == last.Generation && r.Sequence == last.Sequence &&
		!r.At.After(last.At.Add(wireResolution))
}

// restarted reports whether r comes from a later run of the server.
func (b Belief) restarted(r *board.Report) bool {
	return r.Generation != b.Report.Generation || r.StartedAt.Sub(b.Report.StartedAt).Abs() > time.Second
}

func (b Belief) afterReport(r board.Report, now time.Time) Belief {
	n := b
	first := b.Report.ReceivedAt.IsZero()
	restarted := !first && b.restarted(&r)
	if first || restarted {
		n.TurnedCold, n.startedAt = now, now
	}
	if !now.Before(b.Until) {
		n.TurnedCold = now // it may have been warm and cold again meanwhile
	}
	if first && !r.StartedAt.IsZero() {
		n.startedAt = now.Add(-r.At.Sub(r.StartedAt))
	}
	if r.Cold {
		n.ColdAt = now
		if !b.Report.Cold {
			n.TurnedCold = now
		}
	} else if n.startedAt.After(n.ColdAt) {
		n.ColdAt = n.startedAt
	}
	n.Report = r
	return n
}

// validUntil is when a report stops to allow work on a server believed warm.
func validUntil(r board.Report, set Settings) time.Time {
	made := r.At.Add(set.ClockSkew)
	if r.ReceivedAt.Before(made) {
		made = r.ReceivedAt
	}
	return made.Add(set.ReportStale)
}

func countFault(err error) {
	var fault *ReportError
	if errors.As(err, &fault) {
		counters.Add(string(fault.Fault), 1)
	}
}
