//go:build !race

package cascade

const costSeeds = 6
