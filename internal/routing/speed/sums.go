package speed

import (
	"encoding/json"
	"math"
	"time"
)

// Sum is a sum of statements, each weighted by its age: of the logarithms of the paces, and
// of the weights.
type Sum struct {
	Log   float64
	Count float64
}

// Report holds sums by the server's ID. They are as of the time of sending.
type Report map[string]Sum

// The units of a Sum on the wire, which are whole numbers.
const (
	logUnit   = 1000
	countUnit = 100
	// maxCount is the largest weight that is believed, in statements.
	maxCount = 1e6
)

// MarshalJSON encodes a sum as two whole numbers.
func (s Sum) MarshalJSON() ([]byte, error) {
	return json.Marshal([2]int64{int64(math.Round(s.Log * logUnit)), int64(math.Round(s.Count * countUnit))})
}

// UnmarshalJSON decodes what MarshalJSON encodes. A sum of another form is out of range and
// doesn't spoil the rest of a report.
func (s *Sum) UnmarshalJSON(raw []byte) error {
	var units []float64
	if json.Unmarshal(raw, &units) != nil || len(units) != 2 {
		*s = Sum{Count: -1}
		return nil
	}
	*s = Sum{Log: units[0] / logUnit, Count: units[1] / countUnit}
	return nil
}

// isPlausible reports whether the sum may be one of statements between 1/maxPace and
// maxPace.
func (s Sum) isPlausible() bool {
	return s.Count >= 0 && s.Count <= maxCount && math.Abs(s.Log) <= s.Count*math.Log(maxPace)+1
}

func (s Sum) less(other Sum) Sum { return Sum{s.Log - other.Log, s.Count - other.Count} }

// fadingSum is a Sum as of a time.
type fadingSum struct {
	Sum
	at time.Time
	// changedAt is when a statement last came in.
	changedAt time.Time
}

// sums holds fading sums by the server's ID.
type sums map[string]fadingSum

// at returns the sum for a server at a time.
func (s sums) at(server string, now time.Time) Sum {
	f, ok := s[server]
	if !ok {
		return Sum{}
	}
	weight := fade(now.Sub(f.at), halfLife)
	return Sum{f.Log * weight, f.Count * weight}
}

// add adds to the sum for a server. A rounding error doesn't make its weight negative.
func (s sums) add(server string, change Sum, now time.Time) {
	sum := s.at(server, now)
	s.set(server, Sum{sum.Log + change.Log, max(0, sum.Count+change.Count)}, now)
}

func (s sums) set(server string, sum Sum, now time.Time) {
	s[server] = fadingSum{sum, now, now}
}

// drop drops the sums that have faded.
func (s sums) drop(now time.Time) {
	for server := range s {
		if s.at(server, now).Count < negligible {
			delete(s, server)
		}
	}
}
