//go:build race

package rollout_test

// scheduleSeeds is lower under the race detector, which makes the test ten
// times as slow. All seeds run without it.
const scheduleSeeds = 100
