package gateway

import (
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
)

// Parts of the time within which a change must be in force. A feed whose reader
// has lost the store must be left, and the store asked, before it is over:
// feedAgePart and feedWaitPart add up to well below 1. In calm a confirmation
// from a feed grows as old as confirmPart and feedWaitPart together.
const (
	watchPausePart = 0.3
	confirmPart    = 0.4
	feedWaitPart   = 0.125
	feedAgePart    = 0.65
	// revokeConfirmations is how many confirmations there are at least in the
	// time that a key may outlive its end.
	revokeConfirmations = 4
)

// followerSettings fits the times at which the store is followed to the
// platform's bounds.
func followerSettings(s Settings) follower.Settings {
	f := follower.DefaultSettings
	if within := min(s.DrainDuration, s.MaxApplyDelay); within > 0 {
		part := func(p float64) time.Duration { return time.Duration(p * float64(within)) }
		f.MinWatchInterval, f.ConfirmInterval, f.FeedWait, f.MaxFeedAge = part(watchPausePart), part(confirmPart), part(feedWaitPart), part(feedAgePart)
	}
	if s.StrictRevocation {
		f.ConfirmInterval = min(f.ConfirmInterval, s.MaxRevokeDelay/revokeConfirmations)
	}
	return f
}
