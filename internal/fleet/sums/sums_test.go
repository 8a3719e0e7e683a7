package sums

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

type counts map[string]int

func (c counts) Add(other counts) {
	for k, n := range other {
		c[k] += n
	}
}

// Each source counts once, with its newest report, for as long as it reports.
func TestSources(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := New[counts](3 * time.Second)
	s.Update("a", 1, 2, counts{"x": 5}, now)
	s.Update("a", 1, 1, counts{"x": 100}, now) // overtaken
	s.Update("a", 1, 2, counts{"x": 100}, now) // repeated
	s.Update("b", 7, 1, counts{"x": 1, "y": 2}, now.Add(time.Second))
	all := func(at time.Time) counts {
		sum := counts{"own": 1}
		s.AddAll(sum, at)
		return sum
	}
	is.Equal(all(now.Add(time.Second)), counts{"own": 1, "x": 6, "y": 2})
	is.Equal(all(now.Add(3*time.Second)), counts{"own": 1, "x": 1, "y": 2}) // a is silent

	s.Update("a", 2, 1, counts{"x": 3}, now.Add(3*time.Second)) // a restarted
	named := counts{}
	s.AddNamed(named, []string{"a", "c"}, now.Add(3*time.Second))
	is.Equal(named, counts{"x": 3})

	s.UpdateTotal("r", 1, 1, counts{"x": 50}, now.Add(3*time.Second))
	is.Equal(all(now.Add(3*time.Second)), counts{"own": 1, "x": 50})
	s.UpdateTotal("q", 1, 1, counts{"x": 60}, now.Add(3*time.Second)) // another reader
	is.Equal(all(now.Add(3*time.Second)), counts{"own": 1, "x": 60})
	is.Equal(all(now.Add(9*time.Second)), counts{"own": 1}) // all silent
	// q has restarted after its clock was set back, so that its run seems to be an old one.
	s.UpdateTotal("q", 0, 1, counts{"x": 70}, now.Add(9*time.Second))
	is.Equal(all(now.Add(9*time.Second)), counts{"own": 1, "x": 70})
}
