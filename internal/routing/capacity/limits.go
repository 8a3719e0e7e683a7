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
	lim := limits{concurrency: s.Report.Concurrency, cold: s.Report.ColdConcurrency}
	if svc := doc.Service(s.Service); svc != nil {
		lim.concurrency = lowerPositive(lim.concurrency, svc.Concurrency)
		lim.cold = lowerPositive(lim.cold, svc.ColdConcurrency)
	}
	lim.cold = min(lim.cold, lim.concurrency)
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

// instances counts the members that send work.
func instances(members *board.Members) int {
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

// latency compares the latest answers of a server with its own history.
type latency struct {
	mu      sync.Mutex
	history float64 // seconds, slow average of normal answers
	answers int
	slow    int
}

// historyWeight is the weight of one answer in the history.
const historyWeight = 0.05

// observe takes in one answer and reports whether the last SlowAnswers
// answers in a row were slow.
func (l *latency) observe(firstToken time.Duration, set Settings) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := firstToken.Seconds()
	if l.answers >= set.SlowAnswers && x > set.SlowFactor*l.history {
		l.slow++
		if l.slow >= set.SlowAnswers {
			l.slow = 0
			l.history *= 2 // a lasting change becomes the new history
			return true
		}
		return false
	}
	l.slow = 0
	l.answers++
	w := max(historyWeight, 1/float64(l.answers))
	l.history += w * (x - l.history)
	return false
}
