//go:build !race

package ledger

const defaultSchedules = 1000
