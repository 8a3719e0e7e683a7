package shedding

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// In a queue that grows beyond the deadline, requests are turned away from the
// moment on at which they could not begin in time, and none before.
func TestGrowingQueue(t *testing.T) {
	is := is.New(t)
	const deadline = 5 * time.Second
	rnd := rand.New(rand.NewPCG(1, 1))
	returns := map[time.Duration]int{}
	for queue := time.Duration(0); queue < 9*time.Second; queue += 10 * time.Millisecond {
		refuse, after := Decide(Request{PredictedWait: queue, TimeLeft: deadline, Jitter: rnd.Float64()})
		is.Equal(refuse, queue > deadline)
		if !refuse {
			continue
		}
		is.True(after >= leastRetry/2)
		is.True(after <= deadline/3) // callers wait no longer
		returns[after.Truncate(50*time.Millisecond)]++
	}
	is.True(len(returns) > 10) // they do not come back together
}
