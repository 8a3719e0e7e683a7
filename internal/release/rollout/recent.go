package rollout

import "time"

const (
	// snapshotInterval is the time between two marks of the evidence.
	snapshotInterval = 5 * time.Second
	// MonitorDuration is how long a complete roll-out can still be withdrawn by the
	// evidence.
	MonitorDuration = time.Hour
)

// recentSpans are the stretches of evidence that are tested by themselves, so
// that a version that turns bad late does not hide behind good outcomes before:
// a short one for much traffic, a long one for little.
var recentSpans = []time.Duration{15 * time.Second, time.Minute}

// window keeps what one version's evidence was at marks within the longest recent time, as
// seen by this instance. Tallies only grow, so the difference to a mark is what
// came in since.
type window struct {
	trial     string
	snapshots []snapshot
}

type snapshot struct {
	at    time.Time
	tally Counts
}

// recent returns what came in since the oldest mark within each recent time.
func (w *window) recent(now time.Time, trial string, t Counts) []Counts {
	if w.trial != trial {
		*w = window{trial: trial}
	}
	longest := recentSpans[len(recentSpans)-1]
	for len(w.snapshots) > 1 && now.Sub(w.snapshots[0].at) > longest {
		w.snapshots = w.snapshots[1:]
	}
	if n := len(w.snapshots); n == 0 || now.Sub(w.snapshots[n-1].at) >= snapshotInterval {
		w.snapshots = append(w.snapshots, snapshot{now, t})
	}
	list := make([]Counts, len(recentSpans))
	for i, span := range recentSpans {
		for _, m := range w.snapshots {
			if now.Sub(m.at) <= span {
				list[i] = t.since(&m.tally)
				break
			}
		}
	}
	return list
}

// since returns the growth of the ratings and failures.
func (t *Counts) since(before *Counts) Counts {
	return Counts{
		Requests: t.Requests - min(before.Requests, t.Requests),
		Rated:    t.Rated - min(before.Rated, t.Rated),
		Passed:   t.Passed - min(before.Passed, t.Passed),
		Failed:   t.Failed - min(before.Failed, t.Failed),
	}
}

// windows are those of all models.
type windows map[string]*window

// forModel returns the window forModel a model.
func (w windows) forModel(model string) *window {
	if w[model] == nil {
		w[model] = &window{}
	}
	return w[model]
}
