//go:build !race

package rollout

// exposureSeeds is the number of seeds for the faults whose exposure TestBadExposure
// limits, and for the tests of sessions and of false halts. otherSeeds is the number
// for the faults that only have to be detected.
const (
	exposureSeeds = 100
	otherSeeds    = 10
)
