//go:build race

package rollout

// Under the race detector, which is ten times as slow, a fifth of the seeds run;
// the whole runs without it.
const (
	exposureSeeds = 20
	otherSeeds    = 2
)
