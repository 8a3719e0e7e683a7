package shedding

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// While a queue grows beyond the deadline, requests are refused as soon as they could
// not start in time, and not before.
func TestGrowingQueue(t *testing.T) {
	is := is.New(t)
	const deadline = 5 * time.Second
	rnd := rand.New(rand.NewPCG(1, 1))
	retryTimes := map[time.Duration]int{}
	for queue := time.Duration(0); queue < 9*time.Second; queue += 10 * time.Millisecond {
		refuse, after := Decide(Request{PredictedWait: queue, TimeLeft: deadline, Jitter: rnd.Float64()})
		is.Equal(refuse, queue > deadline)
		if !refuse {
			continue
		}
		is.True(after >= minRetryAfter/2)
		is.True(after <= deadline/3) // callers give up on longer waits
		retryTimes[after.Truncate(50*time.Millisecond)]++
	}
	is.True(len(retryTimes) > 10) // the retries are spread
}
