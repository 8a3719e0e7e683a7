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

// WarmupState is what an instance knows of one server's cold start.
type WarmupState struct {
	Phase Phase
	// Report is the last accepted report, zero if there was none.
	Report board.Report
	// WarmUntil is when a Warm belief ends without a newer report.
	WarmUntil time.Time
	// LastColdAt is the time of the last sign of coldness.
	LastColdAt time.Time
	// TurnedColdAt is when the phase last became Cold, the reports turned cold or
	// the server restarted. What was granted or assumed before is void.
	TurnedColdAt time.Time
	// startedAt is when the server's run began, on this instance's clock.
	startedAt time.Time
}

// localSignals are what this instance noticed by itself.
type localSignals struct {
	// suspectedAt is the time of a broken connection or of slow answers.
	suspectedAt time.Time
}

// next returns the belief after a look at the server's newest report. The ramp
// is at least Quiet, so that no instance takes a server for warm on a spell too
// short for others to see.
func (b WarmupState) next(server *board.Server, sign localSignals, ramp time.Duration, now time.Time, set Settings) WarmupState {
	ramp = max(ramp, set.QuietPeriod())
	n := b
	if fresh, err := b.acceptReport(server, now, set); err != nil {
		countFault(err)
	} else if fresh {
		n = b.withReport(server.Report, now)
	}
	n.WarmUntil = reportValidUntil(n.Report, set)
	young := now.Sub(n.startedAt) < min(ramp, set.SuspicionTimeout)
	suspected := !sign.suspectedAt.IsZero() && now.Sub(sign.suspectedAt) < set.SuspicionTimeout
	if sign.suspectedAt.After(n.LastColdAt) {
		n.LastColdAt = sign.suspectedAt
	}
	switch {
	case n.Report.ReceivedAt.IsZero(), n.Report.Cold, young, suspected, !now.Before(n.WarmUntil):
		n.Phase = Cold
	case now.Sub(n.LastColdAt) < ramp:
		n.Phase = Ramping
	default:
		n.Phase = Warm
	}
	if n.Phase == Cold && b.Phase != Cold {
		n.TurnedColdAt = now
	}
	return n
}

// acceptReport reports whether the server has a report newer than the last accepted.
func (b WarmupState) acceptReport(server *board.Server, now time.Time, set Settings) (bool, error) {
	r := &server.Report
	if r.ReceivedAt.IsZero() || b.alreadyAccepted(r) {
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

// alreadyAccepted reports whether r is the last accepted report, maybe relayed again.
func (b WarmupState) alreadyAccepted(r *board.Report) bool {
	last := &b.Report
	return !last.ReceivedAt.IsZero() && r.Generation == last.Generation && r.Sequence == last.Sequence &&
		!r.At.After(last.At.Add(wireResolution))
}

// restarted reports whether r comes from a later run of the server.
func (b WarmupState) restarted(r *board.Report) bool {
	return r.Generation != b.Report.Generation || r.StartedAt.Sub(b.Report.StartedAt).Abs() > time.Second
}

func (b WarmupState) withReport(r board.Report, now time.Time) WarmupState {
	n := b
	first := b.Report.ReceivedAt.IsZero()
	restarted := !first && b.restarted(&r)
	if first || restarted {
		n.TurnedColdAt, n.startedAt = now, now
	}
	if !now.Before(b.WarmUntil) {
		n.TurnedColdAt = now // it may have been warm and cold again meanwhile
	}
	if first && !r.StartedAt.IsZero() {
		n.startedAt = now.Add(-r.At.Sub(r.StartedAt))
	}
	if r.Cold {
		n.LastColdAt = now
		if !b.Report.Cold {
			n.TurnedColdAt = now
		}
	} else if n.startedAt.After(n.LastColdAt) {
		n.LastColdAt = n.startedAt
	}
	n.Report = r
	return n
}

// reportValidUntil is when a report stops to allow work on a server believed warm.
func reportValidUntil(r board.Report, set Settings) time.Time {
	made := r.At.Add(set.MaxClockSkew)
	if r.ReceivedAt.Before(made) {
		made = r.ReceivedAt
	}
	return made.Add(set.ReportTTL)
}

func countFault(err error) {
	var fault *ReportError
	if errors.As(err, &fault) {
		counters.Add(string(fault.Fault), 1)
	}
}
