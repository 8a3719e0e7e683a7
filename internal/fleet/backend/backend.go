// Package backend keeps a directory of the backend servers, built from their
// announcements in the platform's store. It ignores announcements that arrive
// out of order, and can keep servers for a grace period after a store outage.
package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// State says whether a backend server accepts new work.
type State string

// The states of a backend server.
const (
	Ready    State = "Ready"
	Draining State = "Draining"
)

// Server is a backend server as described by its latest announcement.
type Server struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is the version of the software that the server runs.
	Version string
	Slots   int
	State   State
	// ColdLeft is how long the server stays cold after the announcement.
	ColdLeft time.Duration
	// Sequence numbers the announcements of one run of the server.
	Sequence int64
	// StartedAt is when this run of the server started, on the server's clock; 0
	// if the announcement doesn't say.
	StartedAt int64
	// Revision is the store revision of the announcement.
	Revision revision.Revision

	// ColdUntil is when the server is warm, on this instance's clock.
	ColdUntil time.Time
	// GraceUntil is set if the server's entry ended in the grace period after a
	// store outage: the server may still be running, and is removed if it
	// doesn't announce itself again before this time.
	GraceUntil time.Time
}

// IsUsable reports whether the server may be given new work.
func (s *Server) IsUsable(now time.Time) bool {
	return s.State == Ready && (s.GraceUntil.IsZero() || now.Before(s.GraceUntil))
}

// IsCold reports whether the server is still cold.
func (s *Server) IsCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// Notice is what a server says about itself in its answers, for as long as it says so.
type Notice struct {
	// Leaving is set if the server is about to stop. It doesn't take that back.
	Leaving bool
	// Limited is set if the server names a limit. Limit is the number of requests a
	// second that it takes from all instances together.
	Limited bool
	Limit   float64
	// RetryAfter is for how long the server wants no further request from the instance
	// that it answers; 0 if it doesn't say.
	RetryAfter time.Duration
}

// Load is the load that a server states in an answer, as of its head.
type Load struct {
	// Running and Waiting are the numbers of requests, of all instances. Slots is how many
	// can run at a time. Each may be UnknownCount.
	Running, Waiting, Slots int
	// Pace is the time that work takes at the server at this moment as a multiple of the
	// usual; 0 if unknown.
	Pace float64
}

// UnknownCount stands for a number in a Load that the server did not state.
const UnknownCount = -1

// Listing is an immutable snapshot of the directory.
type Listing struct {
	// Revision is the newest store revision that the snapshot includes.
	Revision revision.Revision
	ByID     map[string]*Server
	// ByService holds each service's servers, sorted by ID.
	ByService map[string][]*Server
}

// Directory combines announcements and removals into a Listing. It is not safe
// for concurrent use.
type Directory struct {
	servers map[string]*Server
	// removed holds the last state of removed servers by ID, so that delayed
	// announcements don't bring them back.
	removed  map[string]removal
	revision revision.Revision
}

// removal records the end of a server's entry: its store revision, and the run
// and sequence of the server's last announcement.
type removal struct {
	revision  revision.Revision
	startedAt int64
	sequence  int64
	removedAt time.Time
	// missing is set if a complete list lacked the entry. It may have ended, or not be in
	// the copy that the store has come back from.
	missing bool
}

// supersedes reports whether the removal is later than an announcement of the server.
func (r *removal) supersedes(s *Server) bool {
	if !s.Revision.After(r.revision) {
		return true
	}
	if s.StartedAt != r.startedAt || s.Sequence > r.sequence {
		return false
	}
	isWrittenAgain := r.missing && s.Revision.Era > r.revision.Era && s.Sequence == r.sequence
	return !isWrittenAgain
}

// removalMemory is how long a removal is remembered. It is longer than an
// announcement may be delayed.
const removalMemory = time.Minute

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{servers: map[string]*Server{}, removed: map[string]removal{}}
}

// Announce applies a server's announcement. It reports whether the listing
// changed other than in the sequence number. An announcement that is older than
// the latest one, or that belongs to an earlier run of the server, is ignored.
func (d *Directory) Announce(s Server, now time.Time) bool {
	d.revision = revision.Latest(d.revision, s.Revision)
	if last, wasRemoved := d.removed[s.ID]; wasRemoved && last.supersedes(&s) {
		return false
	}
	delete(d.removed, s.ID)
	if s.ColdLeft > 0 {
		s.ColdUntil = now.Add(s.ColdLeft)
	}
	old := d.servers[s.ID]
	if old == nil {
		d.servers[s.ID] = &s
		return true
	}
	if !s.Revision.After(old.Revision) || s.StartedAt < old.StartedAt {
		return false
	}
	if s.StartedAt != old.StartedAt || s.Address != old.Address {
		d.servers[s.ID] = &s
		return true
	}
	if s.Sequence < old.Sequence {
		return false
	}
	d.servers[s.ID] = &s
	return s.differsFrom(old)
}

// differsFrom reports whether the announcement changes anything but the sequence
// number and revision.
func (s *Server) differsFrom(old *Server) bool {
	return s.State != old.State || s.Service != old.Service || s.Version != old.Version || s.DataCentre != old.DataCentre ||
		s.Slots != old.Slots || !old.GraceUntil.IsZero() || s.ColdLeft > 0
}

// Remove removes a server from the directory. If graceUntil is in the future, a
// ready server stays listed until then, unless it announces itself again. An
// unknown revision means that the end of the entry has none. Remove reports whether
// the listing changed.
func (d *Directory) Remove(id string, at revision.Revision, graceUntil, now time.Time) bool {
	d.revision = revision.Latest(d.revision, at)
	old := d.servers[id]
	if old != nil && at.IsKnown() && !at.After(old.Revision) {
		return false
	}
	last := removal{revision: revision.Latest(at, d.removed[id].revision), removedAt: now, missing: !at.IsKnown()}
	if old != nil {
		last.startedAt, last.sequence, last.revision = old.StartedAt, old.Sequence, revision.Latest(last.revision, old.Revision)
	} else {
		last.startedAt, last.sequence = d.removed[id].startedAt, d.removed[id].sequence
	}
	d.removed[id] = last
	if old == nil {
		return false
	}
	if now.Before(graceUntil) && old.State == Ready {
		if !old.GraceUntil.IsZero() {
			return false
		}
		kept := *old
		kept.GraceUntil = graceUntil
		d.servers[id] = &kept
		return true
	}
	delete(d.servers, id)
	return true
}

// Replace applies the complete list of servers at a store revision: it announces
// all of them and removes the servers that are missing, in the way of Remove. It
// reports whether the listing changed.
func (d *Directory) Replace(list []Server, at revision.Revision, graceUntil, now time.Time) bool {
	changed := false
	present := make(map[string]bool, len(list))
	for _, s := range list {
		present[s.ID] = true
		if d.Announce(s, now) {
			changed = true
		}
	}
	for id, s := range d.servers {
		if !present[id] && !s.Revision.After(at) && d.Remove(id, revision.Revision{}, graceUntil, now) {
			changed = true
		}
	}
	d.revision = revision.Latest(d.revision, at)
	return changed
}

// Expire removes servers whose grace period is over, and forgets old removals. It
// reports whether the listing changed.
func (d *Directory) Expire(now time.Time) bool {
	changed := false
	for id, last := range d.removed {
		if now.Sub(last.removedAt) >= removalMemory {
			delete(d.removed, id)
		}
	}
	for id, s := range d.servers {
		if !s.GraceUntil.IsZero() && !now.Before(s.GraceUntil) {
			delete(d.servers, id)
			changed = true
		}
	}
	return changed
}

// Listing returns a snapshot of the directory.
func (d *Directory) Listing() *Listing {
	l := &Listing{Revision: d.revision, ByID: make(map[string]*Server, len(d.servers)), ByService: map[string][]*Server{}}
	for id, s := range d.servers {
		l.ByID[id] = s
		l.ByService[s.Service] = append(l.ByService[s.Service], s)
	}
	for _, list := range l.ByService {
		slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return l
}
