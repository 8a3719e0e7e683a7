package capacity

import (
	"fmt"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// wireResolution is the resolution of times in reports that other instances
// relay.
const wireResolution = time.Millisecond

// ReportFault names a fault of a load report. Its value is also the name of its
// counter.
type ReportFault string

// The faults of load reports. Each is counted.
const (
	FaultNegative   ReportFault = "ReportNegative"
	FaultFuture     ReportFault = "ReportFuture"
	FaultOutOfOrder ReportFault = "ReportOutOfOrder"
	FaultStale      ReportFault = "ReportStale"
	// FaultGap is a report that skips sequence numbers. It is counted, but the
	// report is used, since it is newer than the last one.
	FaultGap ReportFault = "ReportGap"
)

// ReportError describes a load report that must not influence decisions.
type ReportError struct {
	Server string
	Fault  ReportFault
}

func (e *ReportError) Error() string {
	return fmt.Sprintf("load report of server %s rejected: %s", e.Server, e.Fault)
}

// checkReport returns a *ReportError if next must not replace the accepted
// report last. After a rejected report the last one remains in use; it becomes
// stale in time, which leads to less work for the server and never to more.
func checkReport(server string, last, next *board.LoadReport, now time.Time, settings Settings) error {
	fault := func(f ReportFault) error { return &ReportError{Server: server, Fault: f} }
	switch {
	case next.Running < 0, next.Waiting < 0, next.Concurrency < 0, next.ColdConcurrency < 0, next.TimeToFirstToken < 0:
		return fault(FaultNegative)
	case next.ReportedAt.After(now.Add(settings.MaxClockSkew)), next.ReceivedAt.After(now), next.StartedAt.After(next.ReportedAt.Add(settings.MaxClockSkew)):
		return fault(FaultFuture)
	case next.Generation < last.Generation:
		return fault(FaultOutOfOrder)
	case next.Generation == last.Generation && (next.Sequence < last.Sequence || next.ReportedAt.Before(last.ReportedAt.Add(-wireResolution))):
		return fault(FaultOutOfOrder)
	case now.Sub(next.ReportedAt) > settings.ReportTTL+settings.MaxClockSkew:
		return fault(FaultStale)
	}
	return nil
}
