package capacity

import (
	"fmt"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// wireResolution is the resolution of times in relayed reports.
const wireResolution = time.Millisecond

// ReportFault names what is wrong with a load report.
type ReportFault string

// The faults of reports; each is counted.
const (
	FaultNegative   ReportFault = "ReportNegative"
	FaultFuture     ReportFault = "ReportFuture"
	FaultOutOfOrder ReportFault = "ReportOutOfOrder"
	FaultStale      ReportFault = "ReportStale"
	// FaultGap is counted, but the report is used: it is newer than the last.
	FaultGap ReportFault = "ReportGap"
)

// ReportError is a load report that decisions must not use.
type ReportError struct {
	Server string
	Fault  ReportFault
}

func (e *ReportError) Error() string {
	return fmt.Sprintf("report of server %s refused: %s", e.Server, e.Fault)
}

// checkReport returns a *ReportError if next must not follow the accepted
// report last. A refused report leaves the last one in force, which grows
// stale and so leads to less work, never to more.
func checkReport(server string, last, next *board.Report, now time.Time, set Settings) error {
	fault := func(f ReportFault) error { return &ReportError{Server: server, Fault: f} }
	switch {
	case next.Running < 0, next.Waiting < 0, next.Concurrency < 0, next.ColdConcurrency < 0, next.FirstToken < 0:
		return fault(FaultNegative)
	case next.At.After(now.Add(set.MaxClockSkew)), next.ReceivedAt.After(now), next.StartedAt.After(next.At.Add(set.MaxClockSkew)):
		return fault(FaultFuture)
	case next.Generation < last.Generation:
		return fault(FaultOutOfOrder)
	case next.Generation == last.Generation && (next.Sequence < last.Sequence || next.At.Before(last.At.Add(-wireResolution))):
		return fault(FaultOutOfOrder)
	case now.Sub(next.At) > set.ReportTTL+set.MaxClockSkew:
		return fault(FaultStale)
	}
	return nil
}
