package distribution

import (
	"context"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// The reasons for which an instance takes no new work.
const (
	reasonNoConfiguration = "NoConfiguration"
	reasonJoining         = "Joining"
	reasonCutOff          = "CutOff"
	reasonNewerFormat     = "ConfigurationNewerFormat"
)

// runConfirmation publishes the confirmation every tickInterval until ctx ends.
func (c *Controller) runConfirmation(ctx context.Context) {
	for {
		c.publishConfirmation()
		if !c.sleep(ctx, tickInterval) {
			return
		}
	}
}

// publishConfirmation publishes when the store or a peer last answered, and
// whether this instance may take new work.
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

// unreadyReason returns the reason for which this instance takes no new work,
// or "" if it takes new work. at is when the store or a peer last answered. The
// caller must hold c.mu.
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

// isJoined reports whether this instance has had enough answers since its start
// to rely on its revision being the highest. That is the case when joinPeers
// peers have answered (all of them if there are fewer; the store if there are
// none), or when MaxApplyDelay has passed since the start and the store or at
// least one peer has answered.
func (c *Controller) isJoined() bool {
	others := len(c.otherMembers())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision() == 0 {
		return false
	}
	answered := len(c.answeredPeers)
	if answered >= min(joinPeers, others) && (answered > 0 || !c.storeAnsweredAt.IsZero()) {
		return true
	}
	return c.clock.Since(c.started) >= MaxApplyDelay && (answered > 0 || !c.storeAnsweredAt.IsZero())
}
