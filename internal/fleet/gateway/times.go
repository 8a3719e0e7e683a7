package gateway

import (
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
)

// Times as fractions of the time within which a change must be applied. If the
// reader of a feed becomes unable to reach the store, the instance must leave the
// feed and ask the store before that time is over, so that maxFeedAgeShare and
// feedWaitShare add up to well below 1. In normal operation a confirmation from a
// feed gets as old as confirmIntervalShare and feedWaitShare together.
const (
	minWatchIntervalShare = 0.3
	confirmIntervalShare  = 0.4
	feedWaitShare         = 0.125
	maxFeedAgeShare       = 0.65
	feedStallShare        = 0.125
	// maxViewAgeShare is the age of the view from which on an instance uses no share of the
	// limits of servers. It is longer than a confirmation gets in normal operation, and all
	// instances wait for it before they use a share.
	maxViewAgeShare = 0.8
	// confirmationsPerRevokeDelay is the least number of confirmations within
	// MaxRevokeDelay.
	confirmationsPerRevokeDelay = 4
)

// minFeedStallTimeout is the shortest time in which nothing of a feed's answer may arrive,
// beyond the time that the reader waits for a change.
const minFeedStallTimeout = 250 * time.Millisecond

// feedStallTimeout returns how long nothing of a feed's answer may arrive. A reader sends
// the same change to all its followers at the same time, over one link, and more of them
// where more time is allowed for a change.
func feedStallTimeout(s Settings) time.Duration {
	return max(minFeedStallTimeout, time.Duration(feedStallShare*float64(min(s.DrainDuration, s.MaxApplyDelay))))
}

// maxViewAge returns the age of the view from which on an instance uses no share of a limit.
func maxViewAge(s Settings) time.Duration {
	return time.Duration(maxViewAgeShare * float64(min(s.DrainDuration, s.MaxApplyDelay)))
}

// followerSettings derives the follower's intervals from the platform's bounds.
func followerSettings(s Settings) follower.Settings {
	f := follower.DefaultSettings
	if within := min(s.DrainDuration, s.MaxApplyDelay); within > 0 {
		share := func(fraction float64) time.Duration { return time.Duration(fraction * float64(within)) }
		f.MinWatchInterval, f.ConfirmInterval, f.FeedWait, f.MaxFeedAge = share(minWatchIntervalShare), share(confirmIntervalShare), share(feedWaitShare), share(maxFeedAgeShare)
	}
	if s.StrictRevocation {
		f.ConfirmInterval = min(f.ConfirmInterval, s.MaxRevokeDelay/confirmationsPerRevokeDelay)
	}
	return f
}
