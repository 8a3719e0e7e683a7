package distribution

import (
	"context"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// The reasons why an instance takes no new work.
const (
	reasonNoConfiguration = "NoConfiguration"
	reasonJoining         = "Joining"
	reasonCutOff          = "CutOff"
	reasonNewerFormat     = "ConfigurationNewerFormat"
)

// runConfirmation publishes the confirmation at each tick.
func (c *Controller) runConfirmation(ctx context.Context) {
	for {
		c.publishConfirmation()
		if !c.sleep(ctx, tickInterval) {
			return
		}
	}
}

// publishConfirmation publishes how fresh the configuration is.
func (c *Controller) publishConfirmation() {
	joined := c.isJoined()
	watching := c.isWatcher()
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.storeAnsweredAt
	if c.peerAnsweredAt.After(at) {
		at = c.peerAnsweredAt
	}
	next := &board.Confirmation{
		ConfirmedAt:      at,
		Revision:         c.revision(),
		ValidUntil:       at.Add(MaxApplyDelay),
		StoreConfirmedAt: c.confirmedAt,
		Watching:         watching,
	}
	next.Reason = c.unreadyReason(joined, at)
	next.Ready = next.Reason == ""
	c.board.Confirmation.Publish(next)
}

// unreadyReason returns why no new work may be taken, empty if it may. The
// caller holds the lock.
func (c *Controller) unreadyReason(joined bool, at time.Time) string {
	own := c.revision()
	switch {
	case own == 0:
		return reasonNoConfiguration
	case !joined:
		return reasonJoining
	case c.newerFormatRevision > own:
		return reasonNewerFormat
	case c.clock.Since(at) >= MaxApplyDelay:
		return reasonCutOff
	}
	return ""
}

// isJoined reports whether enough has been heard since the start to know the
// highest revision: some peers have answered, or there are none, or none of
// them answered in time while the store did.
func (c *Controller) isJoined() bool {
	others := len(c.otherMembers())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision() == 0 {
		return false
	}
	heard := len(c.answeredPeers)
	if heard >= min(joinPeers, others) && (heard > 0 || !c.storeAnsweredAt.IsZero()) {
		return true
	}
	return c.clock.Since(c.started) >= MaxApplyDelay && (heard > 0 || !c.storeAnsweredAt.IsZero())
}
