//go:build race

package rollout_test

// scheduleSeeds is less under the race detector, which is ten times as slow; the
// whole runs without it.
const scheduleSeeds = 100
