package rollout

import (
	"math"
	"time"
)

// BucketCount is the number of buckets of a Histogram.
const BucketCount = 24

// Histogram counts values in buckets of half an octave.
type Histogram [BucketCount]uint64

const (
	bucketsPerOctave = 2
	// firstTokenUnit is the lower end of the first bucket of times to first token.
	firstTokenUnit = 10 * time.Millisecond
)

// bucketIndex returns the bucketIndex of a value in multiples of the first bucketIndex's end.
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

// Total returns the number of values.
func (h *Histogram) Total() uint64 {
	var n uint64
	for _, c := range h {
		n += c
	}
	return n
}

// Counts is a set of outcomes of one version. All its numbers only grow.
type Counts struct {
	Requests uint64
	Rated    uint64
	Passed   uint64
	Failed   uint64
	// FirstTokens and Lengths are histograms of the time to first token and
	// of the tokens of whole answers.
	FirstTokens Histogram
	Lengths     Histogram
}

func (t *Counts) add(other *Counts) {
	t.Requests += other.Requests
	t.Rated += other.Rated
	t.Passed += other.Passed
	t.Failed += other.Failed
	t.FirstTokens.add(&other.FirstTokens)
	t.Lengths.add(&other.Lengths)
}

func (t *Counts) record(o Observation) {
	if o.Rated {
		t.Rated++
		if o.Pass {
			t.Passed++
		}
		return
	}
	t.Requests++
	if o.Failed {
		t.Failed++
		return
	}
	if o.FirstToken > 0 {
		t.FirstTokens[bucketIndex(float64(o.FirstToken)/float64(firstTokenUnit))]++
	}
	if o.Tokens > 0 {
		t.Lengths[bucketIndex(float64(o.Tokens))]++
	}
}

// Observation is one outcome: either the end of a request or, later, its rating.
type Observation struct {
	Customer string
	Model    string
	Version  string
	// Rated marks a rating; Pass is its verdict. A rating is an observation of
	// its own and does not count as a request.
	Rated bool
	Pass  bool
	// Failed marks a request that the backend server did not answer whole.
	Failed     bool
	FirstToken time.Duration
	Tokens     int
}

// Counter is one instance's tally for one version and customer during one
// trial.
type Counter struct {
	Member     string
	Generation uint64
	// Trial names the stretch of a roll-out that the tally belongs to.
	Trial    string
	Customer string
	Model    string
	Version  string
	Counts
}
