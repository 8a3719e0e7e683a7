//go:build race

package cascade

// costSeeds is less under the race detector, which is ten times as slow; the
// whole runs without it.
const costSeeds = 2
