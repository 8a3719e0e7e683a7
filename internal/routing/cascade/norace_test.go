//go:build !race

package cascade

// costSeeds is the number of seeds that each cost test runs.
const costSeeds = 6
