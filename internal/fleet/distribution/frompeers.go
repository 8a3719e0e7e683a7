package distribution

import (
	"context"
	"fmt"
	"math"
	"slices"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// Configuration handles a peer's request. It applies the document that the
// request carries, if any, and returns the applied document if the peer has a
// lower revision.
func (c *Controller) Configuration(_ context.Context, req *peer.ConfigurationRequest) (*peer.ConfigurationResponse, error) {
	if len(req.Document) > 0 {
		c.applyEncoded(req.Document, req.DocumentRevision, configuration.Parse, sourcePush)
	}
	value, revision := c.appliedDocument()
	resp := &peer.ConfigurationResponse{Revision: revision}
	if revision > req.HaveRevision {
		resp.Document = value
	}
	return resp, nil
}

// runPeers handles the peers' heartbeats, and asks peers for their documents
// until this instance has joined.
func (c *Controller) runPeers(ctx context.Context) {
	statuses, unsubscribe := c.board.PeerStatuses.Subscribe()
	defer unsubscribe()
	for {
		c.handlePeerStatuses(ctx)
		if !c.isJoined() {
			c.join(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-statuses:
		case <-c.clock.After(tickInterval):
		}
	}
}

// handlePeerStatuses records the confirmations that heartbeats carry, and pulls
// the document from the peer with the highest revision if that is higher than
// the one applied here.
func (c *Controller) handlePeerStatuses(ctx context.Context) {
	statuses := c.board.PeerStatuses.Get()
	if statuses == nil {
		return
	}
	highest := board.PeerStatus{Revision: c.revision()}
	for _, s := range statuses.List {
		c.recordPeerAnswer(s)
		if s.Revision > highest.Revision {
			highest = s
		}
	}
	if highest.Name != "" && !c.isRefused(highest.Revision) {
		_ = c.pull(ctx, highest.Name, highest.PeerAddress)
	}
}

// isRefused reports whether a document of this revision was refused for a reason
// other than Lower.
func (c *Controller) isRefused(revision int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, outcome := range []Outcome{Forked, NewerFormat, Unreadable} {
		if _, ok := c.refusals[refusal{outcome, revision}]; ok {
			return true
		}
	}
	return false
}

// recordPeerAnswer records a peer's answer. Unless the peer has a higher revision,
// the answer confirms the applied document. A status without a request time is
// ignored: it was received unasked and says nothing about how fresh it is.
func (c *Controller) recordPeerAnswer(s board.PeerStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.RequestedAt.IsZero() {
		return
	}
	c.answeredPeers[s.Name] = struct{}{}
	own := c.revision()
	if s.Revision > own {
		return
	}
	if s.RequestedAt.After(c.peerAnsweredAt) {
		c.peerAnsweredAt = s.RequestedAt
	}
	if s.Revision == own && s.ConfirmedAt.After(c.confirmedAt) {
		c.confirmedAt = s.ConfirmedAt
	}
}

// pull asks one peer for its document and applies it if it is newer.
func (c *Controller) pull(ctx context.Context, name, address string) error {
	requestedAt := c.clock.Now()
	resp, err := c.peers.Configuration(ctx, address, &peer.ConfigurationRequest{HaveRevision: c.revision()})
	if err != nil {
		counts.Add("PullFailed", 1)
		return err
	}
	if len(resp.Document) > 0 {
		c.applyEncoded(resp.Document, resp.Revision, configuration.Parse, sourcePeer)
	}
	c.recordPeerAnswer(board.PeerStatus{Name: name, Revision: resp.Revision, RequestedAt: requestedAt})
	return nil
}

// join pulls the document from some peers, because the store may be unreachable
// or hold an older document than the fleet.
func (c *Controller) join(ctx context.Context) {
	for _, m := range c.joinCandidates() {
		_ = c.pull(ctx, m.Name, m.PeerAddress)
	}
}

// joinCandidates returns up to joinPeers peers that have not answered yet, from
// any data centre. Rendezvous hashing on this instance's name selects them, so
// that joining instances ask different peers.
func (c *Controller) joinCandidates() []board.Member {
	others := c.otherMembers()
	names := board.Names(others)
	var candidates []board.Member
	for _, name := range board.Rank("Join/"+c.self, names, len(names)) {
		c.mu.Lock()
		_, answered := c.answeredPeers[name]
		c.mu.Unlock()
		if answered {
			continue
		}
		for _, m := range others {
			if m.Name == name {
				candidates = append(candidates, m)
			}
		}
		if len(candidates) == joinPeers {
			break
		}
	}
	return candidates
}

// otherMembers returns the members other than this instance. The caller must not
// change the list.
func (c *Controller) otherMembers() []board.Member { return c.role().others }

// runPush distributes each newly applied document until ctx ends.
func (c *Controller) runPush(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
			c.distribute(ctx)
		}
	}
}

// distribute pushes the applied document to the push targets and retries those
// that lack it, up to pushAttempts times in all. Members that still lack it learn
// of it from heartbeats.
func (c *Controller) distribute(ctx context.Context) {
	revision := c.revision()
	missing := c.pushTargets()
	for range pushAttempts {
		missing = c.pushAll(ctx, missing)
		if len(missing) == 0 || !c.sleep(ctx, pushRetryInterval) {
			return
		}
		if c.revision() != revision {
			// A newer document was applied; runPush distributes it next, to all
			// push targets.
			return
		}
	}
	counts.Add("PushGivenUp", int64(len(missing)))
}

// pushTargets returns the members to which this instance pushes a new document.
// A watcher pushes to its whole data centre. Any other instance pushes to
// pushFanOut members of any data centre, so that the document also reaches data
// centres whose watchers have failed without the membership showing it yet.
func (c *Controller) pushTargets() []board.Member {
	members := c.board.Members.Get()
	if c.isWatcher() {
		local := members.InDataCentre(c.dataCentre)
		return slices.DeleteFunc(local, func(m board.Member) bool { return m.Name == c.self })
	}
	others := c.otherMembers()
	key := fmt.Sprintf("Push/%s/%d", c.self, c.revision())
	chosen := board.Rank(key, board.Names(others), pushFanOut)
	return lo.Filter(others, func(m board.Member, _ int) bool { return slices.Contains(chosen, m.Name) })
}

// pushAll pushes the applied document to members and returns those for which that
// failed.
func (c *Controller) pushAll(ctx context.Context, members []board.Member) []board.Member {
	failed := make([]bool, len(members))
	var group errgroup.Group
	group.SetLimit(pushConcurrency)
	for i, m := range members {
		group.Go(func() error {
			failed[i] = c.push(ctx, m) != nil
			return nil
		})
	}
	_ = group.Wait()
	var missing []board.Member
	for i, m := range members {
		if failed[i] {
			missing = append(missing, m)
		}
	}
	return missing
}

// push tells one member the applied revision, and sends the document if the
// member has a lower revision. A member with a higher revision answers with its
// own document, which push applies.
func (c *Controller) push(ctx context.Context, m board.Member) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	value, revision := c.appliedDocument()
	resp, err := c.peers.Configuration(ctx, m.PeerAddress, &peer.ConfigurationRequest{HaveRevision: revision})
	if err == nil && resp.Revision < revision {
		counts.Add("Pushed", 1)
		resp, err = c.peers.Configuration(ctx, m.PeerAddress, &peer.ConfigurationRequest{
			HaveRevision: revision, Document: value, DocumentRevision: revision,
		})
	}
	if err != nil {
		counts.Add("PushFailed", 1)
		return err
	}
	if resp.Revision > revision && len(resp.Document) > 0 {
		c.applyEncoded(resp.Document, resp.Revision, configuration.Parse, sourcePeer)
	}
	return nil
}

// fetchRevision asks a member for its applied revision. The request claims the
// highest possible revision, so that the answer carries no document.
func fetchRevision(ctx context.Context, peers Peers, address string) (int64, error) {
	resp, err := peers.Configuration(ctx, address, &peer.ConfigurationRequest{HaveRevision: math.MaxInt64})
	if err != nil {
		return 0, err
	}
	return resp.Revision, nil
}
