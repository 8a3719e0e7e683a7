//go:build race

package ledger

// defaultSchedules is smaller under the race detector, which is ten times as
// slow; the whole number runs without it.
const defaultSchedules = 60
