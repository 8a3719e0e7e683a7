package roster

import (
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// dropReason says why a load report was not taken, empty if it was.
type dropReason string

// The reasons for dropping a report.
const (
	taken           dropReason = ""
	dropNegative    dropReason = "Negative"
	dropFuture      dropReason = "Future"
	dropUnknown     dropReason = "UnknownServer"
	dropWrongServer dropReason = "WrongServer"
	dropOutOfOrder  dropReason = "OutOfOrder"
	dropGeneration  dropReason = "OldGeneration"
	// repeated is the last report once more: it says that the server answers
	// and has nothing new, and only renews the time of receipt.
	repeated dropReason = "Repeated"
)

// judge decides whether a report replaces the last one of the same server.
func judge(last, next board.LoadReport, now time.Time) dropReason {
	switch {
	case next.Running < 0 || next.Waiting < 0 || next.Concurrency < 0 || next.ColdConcurrency < 0 || next.TimeToFirstToken < 0:
		return dropNegative
	case next.ReportedAt.After(now.Add(maxAhead)):
		return dropFuture
	case last.ReceivedAt.IsZero():
		return taken
	case next.Generation < last.Generation:
		return dropGeneration
	case next.Generation > last.Generation:
		return taken
	case next.Sequence < last.Sequence:
		return dropOutOfOrder
	case next.Sequence == last.Sequence:
		return repeated
	}
	return taken
}

// hasGap reports whether reports between two were missed. A load report
// replaces the one before it, so that a gap is counted and no more.
func hasGap(last, next board.LoadReport) bool {
	return !last.ReceivedAt.IsZero() && next.Generation == last.Generation && next.Sequence > last.Sequence+1
}

// listJudge decides whether an instance list is plausible. One that loses most
// of its entries at once, or is older than the last, is kept back until the
// platform has stayed with it for a while. An empty one is never taken.
type listJudge struct {
	since time.Time
}

// accept reports whether a list of n entries may replace the one held.
func (j *listJudge) accept(stamp, held int64, n, size int, now time.Time) bool {
	isPlausible := float64(n) >= minKeptShare*float64(size) && stamp >= held
	if !isPlausible && j.since.IsZero() {
		j.since = now
	}
	if n == 0 || !isPlausible && now.Sub(j.since) < implausibleFor {
		return false
	}
	j.since = time.Time{}
	return true
}
