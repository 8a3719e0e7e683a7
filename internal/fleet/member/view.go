package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// record is the view's entry for one member, which may have failed.
type record struct {
	statement
	// stateSince is the time when the member entered its state.
	stateSince time.Time
	// misses is the number of consecutive unanswered heartbeats.
	misses int
	// sendsLeft is the number of times that the statement remains to be gossiped.
	sendsLeft int
	// listed is whether the platform's latest list contains the member.
	listed bool
}

// view is one instance's view of the membership. Its methods read no clock and send
// nothing; the caller passes the time and the source of randomness.
type view struct {
	self       statement
	superseded bool
	members    map[string]*record
	// lastAnswer is the time when a heartbeat was last answered.
	lastAnswer time.Time
	epoch      uint64
	published  []board.Member
}

func newView(self board.Member, now time.Time) *view {
	self.State = board.MemberAlive
	return &view{
		self:       statement{Member: self},
		members:    map[string]*record{},
		lastAnswer: now,
	}
}

// retransmitFactor multiplies the logarithm of the fleet's size to give the number
// of times that a changed statement is gossiped.
const retransmitFactor = 2

// initialSends returns the number of times that a changed statement is gossiped.
func (v *view) initialSends() int {
	return retransmitFactor * bits.Len(uint(len(v.members)+1))
}

// set replaces the statement about a member and schedules it to be gossiped.
func (v *view) set(s statement, now time.Time) *record {
	r := v.members[s.Name]
	if r == nil {
		r = &record{}
		v.members[s.Name] = r
	}
	if r.State != s.State {
		r.stateSince = now
		counts.Add(string(s.State), 1)
	}
	if r.Generation != s.Generation {
		r.misses = 0
	}
	s.LastSeen = r.LastSeen
	r.statement = s
	r.sendsLeft = v.initialSends()
	return r
}

// applyList applies the platform's list. A listed member that is unknown is added
// as alive. A failed member stays failed until it is heard from. No member is
// removed because it is not listed; only heartbeats decide that.
func (v *view) applyList(list []board.Member, now time.Time) {
	for _, r := range v.members {
		r.listed = false
	}
	for _, m := range list {
		if m.Name == v.self.Name || m.PeerAddress == "" {
			continue
		}
		r := v.members[m.Name]
		if r == nil {
			// The platform numbers generations differently. The member's own
			// generation comes with its first heartbeat.
			m.Generation = 0
			r = v.set(statement{Member: m}, now)
		}
		if r.State != board.MemberAlive {
			// The member may have restarted with another address.
			r.PeerAddress = m.PeerAddress
		}
		r.listed = true
	}
}

// applyDirect applies a member's statement about itself from a direct exchange, which
// also clears a suspicion held here.
func (v *view) applyDirect(s statement, now time.Time) {
	if s.Name == v.self.Name {
		v.handleSelfStatement(s)
		return
	}
	old := v.members[s.Name]
	if old != nil && s.Generation < old.Generation {
		counts.Add("OldGenerationHeard", 1)
		return
	}
	if s.State != board.MemberLeaving {
		s.State = board.MemberAlive
	}
	if old == nil || old.Generation != s.Generation || old.incarnation < s.incarnation || old.State != s.State {
		listed := old != nil && old.listed
		v.set(s, now).listed = listed
	}
	r := v.members[s.Name]
	r.misses = 0
	r.LastSeen = now
}

// applyGossip applies a gossiped statement about another member or about this
// instance.
func (v *view) applyGossip(s statement, now time.Time) {
	if s.Name == v.self.Name {
		v.handleSelfStatement(s)
		return
	}
	old := v.members[s.Name]
	if old == nil && s.State == memberFailed {
		return
	}
	if old != nil && s.compare(old.statement) <= 0 {
		return
	}
	listed := old != nil && old.listed
	v.set(s, now).listed = listed
}

// handleSelfStatement handles a statement about this instance. It refutes a wrong
// state by increasing the incarnation, and detects a later run with the same name.
func (v *view) handleSelfStatement(s statement) {
	if s.Generation > v.self.Generation {
		if !v.superseded {
			counts.Add("Superseded", 1)
		}
		v.superseded = true
		return
	}
	if s.Generation == v.self.Generation && s.State != v.self.State && s.incarnation >= v.self.incarnation {
		v.self.incarnation = s.incarnation + 1
		counts.Add("Contradicted", 1)
	}
}

// recordMiss records that a member did not answer a heartbeat. After
// suspicionThreshold consecutive misses, an alive member is suspected and a leaving
// one is marked failed.
// While this instance is isolated, listed members keep their state.
func (v *view) recordMiss(name string, now time.Time) {
	r := v.members[name]
	if r == nil {
		return
	}
	r.misses++
	if r.misses < suspicionThreshold || v.isIsolated(now) && r.listed {
		return
	}
	s := r.statement
	switch r.State {
	case board.MemberAlive:
		s.State = board.MemberSuspect
	case board.MemberLeaving:
		s.State = memberFailed
	default:
		return
	}
	v.set(s, now)
}

// isIsolated reports whether no member has answered for isolatedAfter, so that this
// instance is assumed to be isolated.
func (v *view) isIsolated(now time.Time) bool {
	return now.Sub(v.lastAnswer) >= isolatedAfter
}

// handlePause resets the misses and restarts the suspicion timeouts after this
// process was paused, because the pause explains the missing answers.
func (v *view) handlePause(now time.Time) {
	counts.Add("Resumed", 1)
	v.lastAnswer = now
	v.self.incarnation++
	for _, r := range v.members {
		r.misses = 0
		if r.State == board.MemberSuspect {
			r.stateSince = now
		}
	}
}

// expire marks members failed whose suspicion has timed out, and removes members
// that failed long ago. An instance that is isolated marks only members failed
// that the platform does not list either.
func (v *view) expire(now time.Time) {
	isolated := v.isIsolated(now)
	if isolated {
		counts.Add("CutOffRounds", 1)
	}
	for name, r := range v.members {
		age := now.Sub(r.stateSince)
		switch {
		case isolated && r.listed:
		case r.State == board.MemberSuspect && age >= suspicionTimeout:
			s := r.statement
			s.State = memberFailed
			v.set(s, now)
		case r.State == memberFailed && age >= failedRetention && !r.listed:
			delete(v.members, name)
		}
	}
}

// list returns the members to publish, including this instance, sorted by name. It
// also reports whether anything but LastSeen has changed.
func (v *view) list() (*board.Members, bool) {
	current := []board.Member{v.self.Member}
	for _, r := range v.members {
		if r.State != memberFailed {
			current = append(current, r.Member)
		}
	}
	slices.SortFunc(current, func(a, b board.Member) int { return cmp.Compare(a.Name, b.Name) })
	changed := !slices.EqualFunc(current, v.published, func(a, b board.Member) bool {
		a.LastSeen, b.LastSeen = time.Time{}, time.Time{}
		return a == b
	})
	if changed {
		v.epoch++
		v.published = current
	}
	return &board.Members{Self: v.self.Name, List: current, Epoch: v.epoch}, changed
}
