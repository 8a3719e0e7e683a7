package rollout

import (
	"math"
	"time"
)

// BucketCount is the number of buckets of a Histogram.
const BucketCount = 24

// Histogram counts values in buckets that are half an octave wide.
type Histogram [BucketCount]uint64

const (
	bucketsPerOctave = 2
	// firstTokenUnit is the time to first token that has the value 1. Shorter
	// times are in the first bucket as well.
	firstTokenUnit = 10 * time.Millisecond
)

// bucketIndex returns the bucket of a value. Values of up to 1 are in the first
// bucket.
func bucketIndex(value float64) int {
	if value <= 1 {
		return 0
	}
	return min(int(bucketsPerOctave*math.Log2(value)), BucketCount-1)
}

func (h *Histogram) add(other *Histogram) {
	for i := range h {
		h[i] += other[i]
	}
}

// Total returns the number of values in all buckets.
func (h *Histogram) Total() uint64 {
	var n uint64
	for _, c := range h {
		n += c
	}
	return n
}

// Counts holds the outcome counts of one version. All its numbers only grow.
type Counts struct {
	Requests uint64
	Rated    uint64
	Passed   uint64
	Failed   uint64
	// FirstTokens is the histogram of the time to first token, Lengths that of
	// the number of tokens in complete answers.
	FirstTokens Histogram
	Lengths     Histogram
}

func (c *Counts) add(other *Counts) {
	c.Requests += other.Requests
	c.Rated += other.Rated
	c.Passed += other.Passed
	c.Failed += other.Failed
	c.FirstTokens.add(&other.FirstTokens)
	c.Lengths.add(&other.Lengths)
}

func (c *Counts) record(o Observation) {
	if o.Rated {
		c.Rated++
		if o.Pass {
			c.Passed++
		}
		return
	}
	c.Requests++
	if o.Failed {
		c.Failed++
		return
	}
	if o.FirstToken > 0 {
		c.FirstTokens[bucketIndex(float64(o.FirstToken)/float64(firstTokenUnit))]++
	}
	if o.Tokens > 0 {
		c.Lengths[bucketIndex(float64(o.Tokens))]++
	}
}

// Observation is one outcome: either the end of a request or its later rating.
type Observation struct {
	Customer string
	Model    string
	Version  string
	// Rated marks a rating, and Pass is its result. A rating is an observation
	// of its own and does not count as a request.
	Rated bool
	Pass  bool
	// Failed marks a request that the backend server did not answer completely.
	Failed     bool
	FirstToken time.Duration
	Tokens     int
}

// Counter holds one instance's counts for one version and customer in one
// trial.
type Counter struct {
	Member     string
	Generation uint64
	// Trial is the ID of the trial, as TrialID returns it.
	Trial    string
	Customer string
	Model    string
	Version  string
	Counts
}
