package sizing

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupyard/kingcupyard/internal/fleet/sums"
)

// confidenceBins is the number of equal bins for a confidence of 0 to 100.
const confidenceBins = 10

// Histogram has one value per confidence bin, from low to high.
type Histogram [confidenceBins]float64

// priorWeight is the number of answers that a prior counts for.
const priorWeight = 60

// priorLarge is the usual distribution of confidence in good answers. priorSmall
// is that of a small model, some of whose answers are too simple. They apply
// until enough answers of the route have been observed.
var (
	priorLarge = Histogram{0, 0, 0, 0.005, 0.035, 0.085, 0.105, 0.115, 0.095, 0.56}
	priorSmall = Histogram{0.177, 0.064, 0.065, 0.055, 0.064, 0.061, 0.066, 0.061, 0.054, 0.333}
)

// highConfidenceBin is the first bin of high confidence. From it on, answers are
// hardly ever too simple.
const highConfidenceBin = 7

// Counts maps keys of a route and a model to the model's answers there by confidence, in
// tenths of an answer.
type Counts map[string][confidenceBins]int64

// countUnit is the number of units in Counts for one answer.
const countUnit = 10

// Add adds other to the counts in place.
func (c Counts) Add(other Counts) {
	for key, bins := range other {
		sum := c[key]
		for i := range bins {
			sum[i] += bins[i]
		}
		c[key] = sum
	}
}

// Subtract returns the counts less other, without those of which nothing is left.
func (c Counts) Subtract(other Counts) Counts {
	rest := maps.Clone(c)
	for key, bins := range other {
		left, ok := rest[key]
		if !ok {
			continue
		}
		for i := range bins {
			left[i] = max(0, left[i]-bins[i])
		}
		if rest[key] = left; total(left) == 0 {
			delete(rest, key)
		}
	}
	return rest
}

func total(bins [confidenceBins]int64) int64 {
	n := int64(0)
	for _, k := range bins {
		n += k
	}
	return n
}

const (
	// maxReported is the number of keys in a report, some 2 KB.
	maxReported = 32
	// maxObserved bounds the keys that an instance keeps.
	maxObserved = 4096
	// maxBinCount is the largest count that is believed, in answers.
	maxBinCount = 1 << 30
)

// Heaviest returns the counts of the maxReported keys with the most answers.
func (c Counts) Heaviest() Counts {
	if len(c) <= maxReported {
		return c
	}
	keys := slices.SortedFunc(maps.Keys(c), func(a, b string) int { return cmp.Or(cmp.Compare(total(c[b]), total(c[a])), cmp.Compare(a, b)) })
	heaviest := make(Counts, maxReported)
	for _, key := range keys[:maxReported] {
		heaviest[key] = c[key]
	}
	return heaviest
}

// plausible returns the counts without those that no instance reports.
func (c Counts) plausible() Counts {
	maps.DeleteFunc(c, func(key string, bins [confidenceBins]int64) bool {
		return len(key) != keyLength || slices.ContainsFunc(bins[:], func(n int64) bool { return n < 0 || n > maxBinCount*countUnit })
	})
	return c.Heaviest()
}

// keyLength is the length of a key, which is a hash in hexadecimal.
const keyLength = 16

func key(route, model string) string {
	return fmt.Sprintf("%0*x", keyLength, xxhash.Sum64String(route+"\x00"+model))
}

const (
	// countHalfLife is the time in which an answer loses half of its weight: a model may be
	// replaced under its name.
	countHalfLife = 5 * time.Minute
	// reportTTL is how long another instance's report counts, which are some intervals.
	reportTTL = 6 * time.Second
	// fleetRefresh is how long the sums over the fleet are used before they are added up
	// again.
	fleetRefresh = 500 * time.Millisecond
)

// Calibration estimates, for each route, how likely an answer is to be good given
// the confidence that the model reports. Nothing tells whether an answer was
// good. Calibration therefore assumes that all answers of the largest model are
// good and takes the distribution of its confidence as that of good answers. The
// excess of a smaller model over this distribution, mostly at low confidence, is
// attributed to answers that are too simple. The answers of all instances count: one of
// them sees few of each route and model. It is safe for concurrent use.
type Calibration struct {
	others *sums.Sources[Counts]

	mu sync.Mutex
	// own holds this instance's answers, weighted by their age, as of ownAt.
	own   map[string]Histogram
	ownAt time.Time
	// all holds the answers of the fleet, as of allAt.
	all   Counts
	allAt time.Time
	// reported holds the own counts as last sent to a reader.
	reported Counts
}

// NewCalibration returns a Calibration that contains only the priors.
func NewCalibration() *Calibration {
	return &Calibration{others: sums.New[Counts](reportTTL), own: map[string]Histogram{}, all: Counts{}}
}

// Observe records the confidence, 0 to 100, that a model reported for an answer on the
// route. A negative confidence means that the model reported none; it is ignored.
func (c *Calibration) Observe(route, model string, confidence int, now time.Time) {
	if confidence < 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fade(now)
	k := key(route, model)
	bins, known := c.own[k]
	if !known && len(c.own) >= maxObserved {
		return
	}
	bins[binOf(confidence)]++
	c.own[k] = bins
}

func binOf(confidence int) int { return max(0, min(confidence*confidenceBins/100, confidenceBins-1)) }

// fade brings the own counts up to date and drops those of which less than a unit is left.
// The caller holds mu.
func (c *Calibration) fade(now time.Time) {
	elapsed := now.Sub(c.ownAt)
	if elapsed < time.Second {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / countHalfLife.Seconds())
	c.ownAt = now
	for k, bins := range c.own {
		sum := 0.0
		for i := range bins {
			bins[i] *= factor
			sum += bins[i]
		}
		if c.own[k] = bins; sum*countUnit < 1 {
			delete(c.own, k)
		}
	}
}

// Own returns this instance's counts, those with the most answers.
func (c *Calibration) Own(now time.Time) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownCounts(now).Heaviest()
}

// ownCounts returns all own counts. The caller holds mu.
func (c *Calibration) ownCounts(now time.Time) Counts {
	c.fade(now)
	counts := make(Counts, len(c.own))
	for k, bins := range c.own {
		var units [confidenceBins]int64
		for i, n := range bins {
			units[i] = int64(math.Round(n * countUnit))
		}
		counts[k] = units
	}
	return counts
}

// SetReported records what was sent to a reader: its total contains that.
func (c *Calibration) SetReported(own Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported = own
}

// Sum returns own with the reports of the named sources.
func (c *Calibration) Sum(names []string, own Counts, now time.Time) Counts {
	sum := maps.Clone(own)
	c.others.AddNamed(sum, names, now)
	return sum.Heaviest()
}

// UpdateSource stores another instance's report, or that of its group.
func (c *Calibration) UpdateSource(name string, run, sequence int64, counts Counts, now time.Time) {
	c.others.Update(name, run, sequence, counts.plausible(), now)
}

// UpdateTotal stores the report of a reader that has added up the counts of all instances.
func (c *Calibration) UpdateTotal(name string, run, sequence int64, counts Counts, now time.Time) {
	c.mu.Lock()
	reported := c.reported
	c.mu.Unlock()
	c.others.UpdateTotal(name, run, sequence, counts.plausible().Subtract(reported), now)
}

// fleetCounts returns the counts of all instances. The caller holds mu.
func (c *Calibration) fleetCounts(now time.Time) Counts {
	if age := now.Sub(c.allAt); age < 0 || age >= fleetRefresh {
		c.all, c.allAt = c.ownCounts(now), now
		c.others.AddAll(c.all, now)
	}
	return c.all
}

// ConfidenceProfile describes the confidence that a model reports on a route.
type ConfidenceProfile struct {
	// Distribution is the fraction of answers in each confidence bin.
	Distribution Histogram
	// GoodProbability is the probability for each bin that an answer is good.
	GoodProbability Histogram
}

// Profile returns the profile of the model at position sizeRank of the route's models, which
// are listed smallest first. The answers of the largest model are taken as good.
func (c *Calibration) Profile(route string, models []string, sizeRank int, now time.Time) ConfidenceProfile {
	if sizeRank >= len(models)-1 {
		p := ConfidenceProfile{Distribution: priorLarge}
		for i := range p.GoodProbability {
			p.GoodProbability[i] = 1
		}
		return p
	}
	c.mu.Lock()
	all := c.fleetCounts(now)
	own, largest := all[key(route, models[sizeRank])], all[key(route, models[len(models)-1])]
	c.mu.Unlock()
	distribution, good := withPrior(own, priorSmall), withPrior(largest, priorLarge)
	// In the high bins nearly all answers are good, so the ratio of the two
	// distributions there is the share of good answers.
	highOwn, highGood := 0.0, 0.0
	for i := highConfidenceBin; i < confidenceBins; i++ {
		highOwn += distribution[i]
		highGood += good[i]
	}
	goodShare := min(1, highOwn/highGood)
	p := ConfidenceProfile{Distribution: distribution}
	for i := range distribution {
		if distribution[i] > 0 {
			p.GoodProbability[i] = min(1, goodShare*good[i]/distribution[i])
		}
	}
	return p
}

// withPrior adds a prior to counts and returns the fraction of each bin.
func withPrior(counts [confidenceBins]int64, prior Histogram) Histogram {
	answers := priorWeight + float64(total(counts))/countUnit
	var s Histogram
	for i := range s {
		s[i] = (float64(counts[i])/countUnit + priorWeight*prior[i]) / answers
	}
	return s
}
