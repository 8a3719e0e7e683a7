package rollout

import (
	"fmt"
	"maps"
	"slices"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// metric is one comparison of the new version with the old one.
type metric struct {
	name     string
	customer string
	old      proportion
	new      proportion
	// floor is the rate of bad outcomes that is always acceptable.
	floor float64
	// alpha is the metric's false halt probability over the whole rollout.
	alpha float64
	// severe marks metrics on which strong evidence leads to a withdrawal.
	severe bool
}

const (
	// The floors of the metrics.
	ratingFloor  = 0.01
	failureFloor = 0.005
	tailFloor    = 0.1

	// The alphas of the comparisons over the whole rollout. Those with the
	// prefix stages are divided among its stages, and stagesCustomerAlpha also
	// among the customers.
	ratingAlpha         = 0.02
	failureAlpha        = 0.003
	tailAlpha           = 0.002
	stagesRatingAlpha   = 0.008
	stagesFailureAlpha  = 0.002
	stagesTailAlpha     = 0.001
	stagesCustomerAlpha = 0.008
	// recentAlpha is spent anew in each time span that is tested on its own.
	recentAlpha = 0.0001

	// tailShare is the fraction of the old version's values that count as slow,
	// long or short. minTailValues is the number of values needed to determine
	// the tail.
	tailShare     = 0.1
	minTailValues = 50
)

// String returns the counts as they appear in the reason of a halt.
func (m *metric) String() string {
	where := ""
	if m.customer != "" {
		where = " of customer " + m.customer
	}
	return fmt.Sprintf("%s%s: new %d of %d (%.1f%%), old %d of %d (%.1f%%)",
		m.name, where, m.new.bad, m.new.n, 100*m.new.rate(), m.old.bad, m.old.n, 100*m.old.rate())
}

// metrics returns the comparisons of the two versions: over the whole rollout,
// in the current stage, in the recent spans, and for each customer in the
// current stage.
func metrics(r *configuration.Rollout, old, new *Summary) []metric {
	list := outcomeMetrics("", &old.Cumulative, &new.Cumulative, ratingAlpha, failureAlpha)
	list = append(list, tailMetrics(&old.Cumulative, &new.Cumulative, tailAlpha)...)
	perStage := 1 / float64(max(len(r.Stages), 1))
	if r.Stage > 0 {
		list = append(list, outcomeMetrics("", &old.Counts, &new.Counts, perStage*stagesRatingAlpha, perStage*stagesFailureAlpha)...)
		list = append(list, tailMetrics(&old.Counts, &new.Counts, perStage*stagesTailAlpha)...)
	}
	for i := range new.Recent {
		for _, m := range outcomeMetrics("", &old.Counts, &new.Recent[i], recentAlpha/2, recentAlpha/2) {
			m.name += " lately"
			list = append(list, m)
		}
	}
	alpha := perStage * stagesCustomerAlpha / float64(2*max(len(new.Customers), 1))
	for _, name := range slices.Sorted(maps.Keys(new.Customers)) {
		oldCounts := old.Customers[name]
		if oldCounts == nil {
			oldCounts = &Counts{}
		}
		for _, m := range outcomeMetrics(name, oldCounts, new.Customers[name], alpha, alpha) {
			m.severe = false
			list = append(list, m)
		}
	}
	return list
}

func outcomeMetrics(customer string, old, new *Counts, rating, failure float64) []metric {
	return []metric{
		{
			name: "answers rated bad", customer: customer,
			old: proportion{old.Rated - old.Passed, old.Rated}, new: proportion{new.Rated - new.Passed, new.Rated},
			floor: ratingFloor, alpha: rating, severe: true,
		},
		{
			name: "requests failed", customer: customer,
			old: proportion{old.Failed, old.Requests}, new: proportion{new.Failed, new.Requests},
			floor: failureFloor, alpha: failure, severe: true,
		},
	}
}

// tailMetrics compares how many values lie in the tails of the old version's
// distribution.
func tailMetrics(old, new *Counts, alpha float64) []metric {
	var list []metric
	add := func(name string, old, new proportion) {
		list = append(list, metric{name: name, old: old, new: new, floor: tailFloor, alpha: alpha})
	}
	if old.FirstTokens.Total() >= minTailValues {
		i := old.FirstTokens.upperTail()
		add("slow first tokens", old.FirstTokens.above(i), new.FirstTokens.above(i))
	}
	if old.Lengths.Total() >= minTailValues {
		i := old.Lengths.upperTail()
		add("long answers", old.Lengths.above(i), new.Lengths.above(i))
		i = old.Lengths.lowerTail()
		add("short answers", old.Lengths.below(i), new.Lengths.below(i))
	}
	return list
}

// upperTail returns the first bucket i such that at most tailShare of the
// values are in bucket i and later ones.
func (h *Histogram) upperTail() int {
	for i := range h {
		if h.above(i).rate() <= tailShare {
			return i
		}
	}
	return len(h)
}

// lowerTail returns the last bucket i such that at most tailShare of the values
// are in buckets before i.
func (h *Histogram) lowerTail() int {
	for i := len(h); i > 0; i-- {
		if h.below(i).rate() <= tailShare {
			return i
		}
	}
	return 0
}

// above returns the proportion of values in bucket i and later ones.
func (h *Histogram) above(i int) proportion {
	var n uint64
	for _, c := range h[i:] {
		n += c
	}
	return proportion{n, h.Total()}
}

// below returns the proportion of values in buckets before i.
func (h *Histogram) below(i int) proportion {
	above := h.above(i)
	return proportion{above.n - above.bad, above.n}
}
