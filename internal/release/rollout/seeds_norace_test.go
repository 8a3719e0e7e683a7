//go:build !race

package rollout

// The seeds of the faults that have a bound of their own, and of the others.
const (
	exposureSeeds = 100
	otherSeeds    = 10
)
