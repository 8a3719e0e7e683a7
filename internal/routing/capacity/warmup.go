package capacity

import (
	"errors"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Phase is an instance's view of how far a backend server has come in its
// warm-up.
type Phase int

// The phases, in the order in which a server passes through them.
const (
	// Cold means in cold start, suspected of a restart, or not known to be
	// warm.
	Cold Phase = iota
	// Ramping means that the server reports itself warm, but has not done so
	// for the whole ramp.
	Ramping
	// Warm means that the server has reported itself warm without a break for
	// the whole ramp.
	Warm
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"Cold", "Ramping", "Warm"}[p]
}

// WarmupState is what an instance knows of one server's cold start and warm-up.
type WarmupState struct {
	Phase Phase
	// Report is the last accepted report, or zero if there is none.
	Report board.LoadReport
	// WarmUntil is when the Warm phase ends unless a newer report arrives.
	WarmUntil time.Time
	// LastColdAt is the time of the last sign that the server is cold.
	LastColdAt time.Time
	// TurnedColdAt is when the phase last became Cold, the reports turned cold
	// or the server restarted. Everything granted or assumed before is void.
	TurnedColdAt time.Time
	// startedAt is when the server's run began, on this instance's clock.
	startedAt time.Time
}

// localSignals are the signs of a cold start that this instance observed
// itself.
type localSignals struct {
	// suspectedAt is the time of a broken connection or of slow answers, zero
	// for none.
	suspectedAt time.Time
}

// next returns the state after the server's newest report. The ramp is extended
// to at least QuietPeriod, so that no instance treats a server as warm on a
// spell too short for the others to notice.
func (w WarmupState) next(server *board.Server, local localSignals, ramp time.Duration, now time.Time, settings Settings) WarmupState {
	ramp = max(ramp, settings.QuietPeriod())
	updated := w
	if fresh, err := w.acceptReport(server, now, settings); err != nil {
		countFault(err)
	} else if fresh {
		updated = w.withReport(server.Report, now)
	}
	updated.WarmUntil = reportValidUntil(updated.Report, settings)
	startingUp := now.Sub(updated.startedAt) < min(ramp, settings.SuspicionTimeout)
	suspected := !local.suspectedAt.IsZero() && now.Sub(local.suspectedAt) < settings.SuspicionTimeout
	if local.suspectedAt.After(updated.LastColdAt) {
		updated.LastColdAt = local.suspectedAt
	}
	switch {
	case updated.Report.ReceivedAt.IsZero(), updated.Report.Cold, startingUp, suspected, !now.Before(updated.WarmUntil):
		updated.Phase = Cold
	case now.Sub(updated.LastColdAt) < ramp:
		updated.Phase = Ramping
	default:
		updated.Phase = Warm
	}
	if updated.Phase == Cold && w.Phase != Cold {
		updated.TurnedColdAt = now
	}
	return updated
}

// acceptReport reports whether the server has a report newer than the last
// accepted one. The error says why it must not be used.
func (w WarmupState) acceptReport(server *board.Server, now time.Time, settings Settings) (bool, error) {
	r := &server.Report
	if r.ReceivedAt.IsZero() || w.alreadyAccepted(r) {
		return false, nil
	}
	if err := checkReport(server.Name, &w.Report, r, now, settings); err != nil {
		return false, err
	}
	if r.Generation == w.Report.Generation && r.Sequence > w.Report.Sequence+1 && w.Report.Sequence > 0 {
		counters.Add(string(FaultGap), 1)
	}
	return true, nil
}

// alreadyAccepted reports whether r is the last accepted report, possibly
// relayed again.
func (w WarmupState) alreadyAccepted(r *board.LoadReport) bool {
	last := &w.Report
	return !last.ReceivedAt.IsZero() && r.Generation == last.Generation && r.Sequence == last.Sequence &&
		!r.ReportedAt.After(last.ReportedAt.Add(wireResolution))
}

// restarted reports whether r comes from a later run of the server.
func (w WarmupState) restarted(r *board.LoadReport) bool {
	return r.Generation != w.Report.Generation || r.StartedAt.Sub(w.Report.StartedAt).Abs() > time.Second
}

// withReport returns the state after the accepted report r.
func (w WarmupState) withReport(r board.LoadReport, now time.Time) WarmupState {
	updated := w
	first := w.Report.ReceivedAt.IsZero()
	restarted := !first && w.restarted(&r)
	if first || restarted {
		updated.TurnedColdAt, updated.startedAt = now, now
	}
	if !now.Before(w.WarmUntil) {
		updated.TurnedColdAt = now // the server may have become warm and cold again in the meantime
	}
	if first && !r.StartedAt.IsZero() {
		updated.startedAt = now.Add(-r.ReportedAt.Sub(r.StartedAt))
	}
	if r.Cold {
		updated.LastColdAt = now
		if !w.Report.Cold {
			updated.TurnedColdAt = now
		}
	} else if updated.startedAt.After(updated.LastColdAt) {
		updated.LastColdAt = updated.startedAt
	}
	updated.Report = r
	return updated
}

// reportValidUntil returns when a report ceases to allow work on a server
// believed to be warm. It counts from the earlier of the report's arrival and
// the latest time at which it can have been made.
func reportValidUntil(r board.LoadReport, settings Settings) time.Time {
	madeBy := r.ReportedAt.Add(settings.MaxClockSkew)
	if r.ReceivedAt.Before(madeBy) {
		madeBy = r.ReceivedAt
	}
	return madeBy.Add(settings.ReportTTL)
}

// countFault counts the fault of a rejected report.
func countFault(err error) {
	var fault *ReportError
	if errors.As(err, &fault) {
		counters.Add(string(fault.Fault), 1)
	}
}
