//go:build race

package cascade

// costSeeds is lower under the race detector, which is ten times slower. The
// full number runs without it.
const costSeeds = 2
