//go:build race

package rollout

// Under the race detector, which makes the tests ten times as slow, a fifth of
// the seeds run. All seeds run without it.
const (
	exposureSeeds = 20
	otherSeeds    = 2
)
