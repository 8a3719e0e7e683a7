package gateway

import (
	"math"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
)

const (
	// usualTimeWeight is the weight of a sample. A usual pace is not known until there are
	// minPaceSamples, the usual time of whole answers until there are minAnswerSamples.
	usualTimeWeight  = 0.05
	minPaceSamples   = 10
	minAnswerSamples = 4
	// minAnswerTime is the shortest time that is told apart from none.
	minAnswerTime = time.Millisecond
	// maxUsualTimes bounds the number of usual times that are kept.
	maxUsualTimes = 20000
)

// usualTime is the exponential of a moving average of a time's logarithm, which single long
// times hardly change.
type usualTime struct {
	logSeconds float64
	samples    int
}

func (u *usualTime) observe(d time.Duration) {
	u.samples++
	u.logSeconds += max(usualTimeWeight, 1/float64(u.samples)) * (math.Log(max(minAnswerTime, d).Seconds()) - u.logSeconds)
}

// get returns the usual time, and whether it is known from so many samples.
func (u *usualTime) get(minSamples int) (usual time.Duration, known bool) {
	return time.Duration(math.Exp(u.logSeconds) * float64(time.Second)), u.samples >= minSamples
}

// usualTimeKey identifies what is usual: the pace of a model's streams, or the time of a
// route's answers without events.
type usualTimeKey struct{ service, model, route string }

// usualTimes holds how long answers usually take. It is not safe for concurrent use.
type usualTimes map[usualTimeKey]*usualTime

// of returns the usual time of answers of the same kind as o. It first drops all if there
// are maxUsualTimes.
func (t usualTimes) of(o pipeline.AnswerObservation) *usualTime {
	key := usualTimeKey{service: o.Server.Service, model: o.Model}
	if !o.Stream {
		key.route = o.Route
	}
	if t[key] == nil {
		if len(t) >= maxUsualTimes {
			clear(t)
		}
		t[key] = &usualTime{}
	}
	return t[key]
}
