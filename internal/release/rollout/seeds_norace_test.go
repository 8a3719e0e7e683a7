//go:build !race

package rollout

// Number of seeds for the faults that have their own bound, and for the others.
const (
	exposureSeeds = 100
	otherSeeds    = 10
)
