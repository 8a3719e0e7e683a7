package rollout

import "time"

const (
	// snapshotInterval is the minimum time between two snapshots of the counts.
	snapshotInterval = 5 * time.Second
	// MonitorDuration is how long after a rollout completes its new version is
	// still monitored and can be withdrawn automatically.
	MonitorDuration = time.Hour
)

// recentSpans are the time spans whose outcomes are also tested on their own,
// so that earlier good outcomes don't mask a version that turns bad late. The
// short span detects a fault under heavy traffic, the long one under light
// traffic.
var recentSpans = []time.Duration{15 * time.Second, time.Minute}

// window holds snapshots of the counts of a rollout's new version over the
// longest recent span, as this instance knows them. Counts only grow, so the
// difference between the current counts and a snapshot is what was added since.
type window struct {
	trial     string
	snapshots []snapshot
}

type snapshot struct {
	at     time.Time
	counts Counts
}

// recent returns, for each of the recentSpans, the growth of the counts since
// the oldest snapshot within it. A change of the trial discards all snapshots.
func (w *window) recent(now time.Time, trial string, c Counts) []Counts {
	if w.trial != trial {
		*w = window{trial: trial}
	}
	longest := recentSpans[len(recentSpans)-1]
	for len(w.snapshots) > 1 && now.Sub(w.snapshots[0].at) > longest {
		w.snapshots = w.snapshots[1:]
	}
	if n := len(w.snapshots); n == 0 || now.Sub(w.snapshots[n-1].at) >= snapshotInterval {
		w.snapshots = append(w.snapshots, snapshot{now, c})
	}
	list := make([]Counts, len(recentSpans))
	for i, span := range recentSpans {
		for _, s := range w.snapshots {
			if now.Sub(s.at) <= span {
				list[i] = c.since(&s.counts)
				break
			}
		}
	}
	return list
}

// since returns the growth of the ratings, requests and failures since an
// earlier state of c. The histograms stay empty.
func (c *Counts) since(before *Counts) Counts {
	return Counts{
		Requests: c.Requests - min(before.Requests, c.Requests),
		Rated:    c.Rated - min(before.Rated, c.Rated),
		Passed:   c.Passed - min(before.Passed, c.Passed),
		Failed:   c.Failed - min(before.Failed, c.Failed),
	}
}

// windows holds the window of each model.
type windows map[string]*window

// forModel returns the window of a model and creates it if there is none.
func (w windows) forModel(model string) *window {
	if w[model] == nil {
		w[model] = &window{}
	}
	return w[model]
}
