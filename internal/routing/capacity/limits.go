package capacity

import (
	"math"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// limitsOf combines the configured limits of the server's service with the
// limits that the server reports: the lower one applies to concurrency and to
// cold concurrency. The ramp comes from the active preset.
func limitsOf(s *board.Server, doc *configuration.Document) limits {
	lim := limits{concurrency: s.Report.Concurrency, coldConcurrency: s.Report.ColdConcurrency}
	if service := doc.Service(s.Service); service != nil {
		lim.concurrency = lowerPositive(lim.concurrency, service.Concurrency)
		lim.coldConcurrency = lowerPositive(lim.coldConcurrency, service.ColdConcurrency)
	}
	lim.coldConcurrency = min(lim.coldConcurrency, lim.concurrency)
	if preset := doc.ActivePreset(); preset != nil {
		lim.ramp = time.Duration(preset.RampSeconds * float64(time.Second))
	}
	return lim
}

// lowerPositive returns the lower limit, or the configured one if the server
// reports none.
func lowerPositive(reported, configured int) int {
	if reported <= 0 {
		return configured
	}
	return min(reported, configured)
}

// countSending counts the members that send work, at least 1.
func countSending(members *board.Members) int {
	if members == nil {
		return 1
	}
	n := 0
	for i := range members.List {
		if members.List[i].State != board.MemberLeaving {
			n++
		}
	}
	return max(n, 1)
}

func ceil(x float64) int { return int(math.Ceil(x)) }

// latencyMonitor compares the time to first token of a server's latest answers
// with the server's baseline.
type latencyMonitor struct {
	mu              sync.Mutex
	baseline        float64 // seconds, moving average over the answers that were not slow
	samples         int
	consecutiveSlow int
}

// baselineWeight is the weight of one answer in the moving average.
const baselineWeight = 0.05

// observe records the time to first token of one answer and reports whether the
// last SlowAnswers answers in a row were slow.
func (l *latencyMonitor) observe(firstToken time.Duration, settings Settings) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := firstToken.Seconds()
	if l.samples >= settings.SlowAnswers && seconds > settings.SlowFactor*l.baseline {
		l.consecutiveSlow++
		if l.consecutiveSlow >= settings.SlowAnswers {
			l.consecutiveSlow = 0
			l.baseline *= 2 // raise the baseline, so that a lasting change becomes the new normal
			return true
		}
		return false
	}
	l.consecutiveSlow = 0
	l.samples++
	weight := max(baselineWeight, 1/float64(l.samples))
	l.baseline += weight * (seconds - l.baseline)
	return false
}
