package sizing

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// expectedGood returns the share of good answers that a profile implies.
func expectedGood(p ConfidenceProfile) float64 {
	good := 0.0
	for i, share := range p.Distribution {
		good += share * p.GoodProbability[i]
	}
	return good
}

// Sixty instances, each of which sees ten answers of a model that is seldom good, find that
// out together within a few reports. None does so alone.
func TestInstancesLearnTogether(t *testing.T) {
	is := is.New(t)
	const instances, answers, actual = 60, 10, 0.2
	rnd := rand.New(rand.NewPCG(4, 2))
	fleet := make([]*Calibration, instances)
	for i := range fleet {
		fleet[i] = NewCalibration()
		for range answers {
			small, _ := drawAnswer(rnd, actual)
			fleet[i].Observe("reports", "small", small, epoch)
			large, _ := drawAnswer(rnd, 1)
			fleet[i].Observe("reports", "large", large, epoch)
		}
	}
	alone := expectedGood(fleet[0].Profile("reports", threeModels, 0, epoch))
	is.True(alone > 2*actual)

	// Instance 0 is the reader of all; each report is lost twice, repeated or overtaken.
	now := epoch
	var members []string
	for i, c := range fleet[1:] {
		name := fmt.Sprint(i)
		members = append(members, name)
		own := c.Own(now)
		c.SetReported(own)
		for _, sequence := range []int64{3, 3, 1} {
			fleet[0].UpdateSource(name, 1, sequence, overWire(t, own), now)
		}
	}
	total := fleet[0].Sum(members, fleet[0].Own(now), now)
	for _, c := range fleet[1:] {
		c.UpdateTotal("0", 1, 1, overWire(t, total), now)
	}
	now = now.Add(fleetRefresh)
	for _, c := range fleet {
		together := expectedGood(c.Profile("reports", threeModels, 0, now))
		is.True(together > actual-0.08 && together < actual+0.08)
	}
	// Each answer counts once.
	key := key("reports", "small")
	for _, c := range fleet {
		is.Equal(totalOf(c, key, now), int64(instances*answers*countUnit))
	}
	// What others have reported counts for a while only.
	later := now.Add(reportTTL)
	is.True(totalOf(fleet[5], key, later) <= answers*countUnit)
}

func totalOf(c *Calibration, key string, now time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return total(c.fleetCounts(now)[key])
}

func overWire(t *testing.T, c Counts) Counts {
	raw, err := json.Marshal(c)
	is.New(t).NoErr(err)
	var got Counts
	is.New(t).NoErr(json.Unmarshal(raw, &got))
	return got
}

// Answers lose weight, so that a model that is replaced under its name is learnt anew.
func TestAnswersFade(t *testing.T) {
	is := is.New(t)
	c := NewCalibration()
	for range 400 {
		c.Observe("reports", "small", 95, epoch)
		c.Observe("reports", "large", 95, epoch)
	}
	now := epoch.Add(fleetRefresh)
	is.True(expectedGood(c.Profile("reports", threeModels, 0, now)) > 0.85)
	now = now.Add(4 * countHalfLife)
	for range 200 {
		c.Observe("reports", "small", 5, now)
		c.Observe("reports", "large", 95, now)
	}
	now = now.Add(fleetRefresh)
	is.True(expectedGood(c.Profile("reports", threeModels, 0, now)) < 0.4)
	is.Equal(len(c.Own(now.Add(100*countHalfLife))), 0)
}

// Reports stay small however many routes there are, and odd ones are dropped.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	c := NewCalibration()
	for i := range 2 * maxObserved {
		c.Observe(fmt.Sprint("route-", i), "small", 50, epoch)
	}
	is.True(len(c.own) <= maxObserved)
	raw, err := json.Marshal(c.Own(epoch))
	is.NoErr(err)
	is.True(len(raw) < 4<<10)

	odd := Counts{"short": {1}, key("a", "b"): {-1}, key("a", "c"): {1 << 62}, key("a", "d"): {7}}
	c.UpdateSource("x", 1, 1, odd, epoch)
	is.Equal(c.Sum([]string{"x"}, Counts{}, epoch), Counts{key("a", "d"): {7}})
}

// Samples are taken while there is room only.
func TestSamplesNeedRoom(t *testing.T) {
	is := is.New(t)
	r := newReportRequest([3]time.Duration{60 * ms, 200 * ms, 600 * ms}, 3*time.Second)
	is.True(MaySample(r))
	r.MeanBacklog = maxSampleBacklog
	is.True(!MaySample(r))
	is.True(!MaySample(newReportRequest([3]time.Duration{60 * ms, 200 * ms, 2900 * ms}, 3*time.Second)))
	r = newReportRequest([3]time.Duration{60 * ms, 200 * ms, 600 * ms}, 3*time.Second)
	r.Models[2].Blocked = true
	is.True(!MaySample(r))
}
