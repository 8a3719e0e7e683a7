package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// record is one member in the view, the failed ones included.
type record struct {
	statement
	// since is when the state was entered.
	since  time.Time
	misses int
	// sends is how often the present statement is still to be sent.
	sends  int
	listed bool
}

// view is one instance's picture of the membership. Its methods are plain
// functions of their arguments: they read no clock and send nothing.
type view struct {
	self       statement
	superseded bool
	members    map[string]*record
	// lastAnswer is when a heartbeat was last answered.
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

// spreadFactor scales with the logarithm of the fleet how often news is sent.
const spreadFactor = 2

func (v *view) sendsPerStatement() int {
	return spreadFactor * bits.Len(uint(len(v.members)+1))
}

// set replaces the statement about a member.
func (v *view) set(s statement, now time.Time) *record {
	r := v.members[s.Name]
	if r == nil {
		r = &record{}
		v.members[s.Name] = r
	}
	if r.State != s.State {
		r.since = now
		counts.Add(string(s.State), 1)
	}
	if r.Generation != s.Generation {
		r.misses = 0
	}
	s.LastSeen = r.LastSeen
	r.statement = s
	r.sends = v.sendsPerStatement()
	return r
}

// listed takes in the platform's list. Who is listed and unknown is taken for
// alive; who failed stays so until it is heard. Nobody is removed for not being
// listed: heartbeats decide.
func (v *view) listed(list []board.Member, now time.Time) {
	for _, r := range v.members {
		r.listed = false
	}
	for _, m := range list {
		if m.Name == v.self.Name || m.PeerAddress == "" {
			continue
		}
		r := v.members[m.Name]
		if r == nil {
			// The platform numbers generations by itself; the member's own
			// number comes with its first heartbeat.
			m.Generation = 0
			r = v.set(statement{Member: m}, now)
		}
		if r.State != board.MemberAlive {
			// It may have come back under another address.
			r.PeerAddress = m.PeerAddress
		}
		r.listed = true
	}
}

// heard takes in what a member says about itself in a direct exchange, which
// also contradicts a suspicion held here.
func (v *view) heard(s statement, now time.Time) {
	if s.Name == v.self.Name {
		v.heardOfSelf(s)
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

// told takes in what another member says about a third one, or about this one.
func (v *view) told(s statement, now time.Time) {
	if s.Name == v.self.Name {
		v.heardOfSelf(s)
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

// heardOfSelf contradicts bad news about this run, and notices when a later
// run has the same name.
func (v *view) heardOfSelf(s statement) {
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

// missed records a heartbeat that a member did not answer.
func (v *view) missed(name string, now time.Time) {
	r := v.members[name]
	if r == nil {
		return
	}
	r.misses++
	if r.misses < suspectAfter || v.isCutOff(now) && r.listed {
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

// isCutOff reports whether this instance has had no answer from anybody.
func (v *view) isCutOff(now time.Time) bool {
	return now.Sub(v.lastAnswer) >= cutOffAfter
}

// resumed forgives everybody's silence after this process was paused.
func (v *view) resumed(now time.Time) {
	counts.Add("Resumed", 1)
	v.lastAnswer = now
	v.self.incarnation++
	for _, r := range v.members {
		r.misses = 0
		if r.State == board.MemberSuspect {
			r.since = now
		}
	}
}

// expire fails members that stayed suspected and forgets old failures. An
// instance that is cut off blames itself: it fails only members that the
// platform does not list either.
func (v *view) expire(now time.Time) {
	cutOff := v.isCutOff(now)
	if cutOff {
		counts.Add("CutOffRounds", 1)
	}
	for name, r := range v.members {
		age := now.Sub(r.since)
		switch {
		case cutOff && r.listed:
		case r.State == board.MemberSuspect && age >= failAfter:
			s := r.statement
			s.State = memberFailed
			v.set(s, now)
		case r.State == memberFailed && age >= forgetAfter && !r.listed:
			delete(v.members, name)
		}
	}
}

// list returns the members to publish, itself included, sorted by name, and
// whether anything but the times has changed.
func (v *view) list() (*board.Members, bool) {
	all := []board.Member{v.self.Member}
	for _, r := range v.members {
		if r.State != memberFailed {
			all = append(all, r.Member)
		}
	}
	slices.SortFunc(all, func(a, b board.Member) int { return cmp.Compare(a.Name, b.Name) })
	changed := !slices.EqualFunc(all, v.published, func(a, b board.Member) bool {
		a.LastSeen, b.LastSeen = time.Time{}, time.Time{}
		return a == b
	})
	if changed {
		v.epoch++
		v.published = all
	}
	return &board.Members{Self: v.self.Name, List: all, Epoch: v.epoch}, changed
}
