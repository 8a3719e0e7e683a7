//go:build !race

package rollout_test

const scheduleSeeds = 1000
