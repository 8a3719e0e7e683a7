package capacity

import (
	"math"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// limitsOf joins the configured limits of a service with the server's own. The
// lower one holds for cold start.
func limitsOf(s *board.Server, doc *configuration.Document) limits {
	lim := limits{concurrency: s.Report.Concurrency, coldConcurrency: s.Report.ColdConcurrency}
	if svc := doc.Service(s.Service); svc != nil {
		lim.concurrency = lowerPositive(lim.concurrency, svc.Concurrency)
		lim.coldConcurrency = lowerPositive(lim.coldConcurrency, svc.ColdConcurrency)
	}
	lim.coldConcurrency = min(lim.coldConcurrency, lim.concurrency)
	if p := doc.PresetInForce(); p != nil {
		lim.ramp = time.Duration(p.RampSeconds * float64(time.Second))
	}
	return lim
}

func lowerPositive(reported, configured int) int {
	if reported <= 0 {
		return configured
	}
	return min(reported, configured)
}

// countSending counts the members that send work.
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

// latencyMonitor compares the latest answers of a server with its own history.
type latencyMonitor struct {
	mu              sync.Mutex
	baseline        float64 // seconds, slow average of normal answers
	samples         int
	consecutiveSlow int
}

// baselineWeight is the weight of one answer in the history.
const baselineWeight = 0.05

// observe takes in one answer and reports whether the last SlowAnswers
// answers in a row were slow.
func (l *latencyMonitor) observe(firstToken time.Duration, set Settings) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := firstToken.Seconds()
	if l.samples >= set.SlowAnswers && x > set.SlowFactor*l.baseline {
		l.consecutiveSlow++
		if l.consecutiveSlow >= set.SlowAnswers {
			l.consecutiveSlow = 0
			l.baseline *= 2 // a lasting change becomes the new history
			return true
		}
		return false
	}
	l.consecutiveSlow = 0
	l.samples++
	w := max(baselineWeight, 1/float64(l.samples))
	l.baseline += w * (x - l.baseline)
	return false
}
