// Package backend keeps the directory of backend servers: which there are, as
// far as the platform's listing and this instance's own contact with it say.
package backend

import (
	"cmp"
	"slices"
	"time"
)

// State says whether a backend server takes new work.
type State string

// The states of a backend server.
const (
	Ready    State = "Ready"
	Draining State = "Draining"
)

// Server is one backend server as it announced itself.
type Server struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is the version of the software that it runs.
	Version string
	Slots   int
	State   State
	// ColdLeft is how long the server stays cold from the announcement on.
	ColdLeft time.Duration
	// Sequence counts the announcements of one run of the server.
	Sequence int64
	// StartedAt is when this run of the server began, by its own clock; 0 if it
	// did not say.
	StartedAt int64
	// Revision is the store's revision of the announcement.
	Revision int64

	// ColdUntil is when the server is warm again by this instance's clock.
	ColdUntil time.Time
	// GraceUntil is set if the announcement ended around a store outage: the
	// server may still be there, and has until then to announce itself again.
	GraceUntil time.Time
}

// IsUsable reports whether the server may take new work.
func (s *Server) IsUsable(now time.Time) bool {
	return s.State == Ready && (s.GraceUntil.IsZero() || now.Before(s.GraceUntil))
}

// IsCold reports whether the server is still cold.
func (s *Server) IsCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// Listing is an immutable view of the directory.
type Listing struct {
	// Revision is the newest store revision that the view includes.
	Revision int64
	ByID     map[string]*Server
	// ByService holds each service's servers, sorted by ID.
	ByService map[string][]*Server
}

// Directory joins announcements to a listing. It is not safe for concurrent
// use: one controller owns it.
type Directory struct {
	servers map[string]*Server
	// removed remembers how announcements ended.
	removed  map[string]removal
	revision int64
}

// removal is the end of a server's announcement, and its last one.
type removal struct {
	revision int64
	born     int64
	sequence int64
	at       time.Time
}

// removalMemory is how long a departure is remembered: longer than an
// announcement may be under way.
const removalMemory = time.Minute

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{servers: map[string]*Server{}, removed: map[string]removal{}}
}

// Announce takes in a server's announcement. It reports whether the listing
// changed in more than the sequence. An announcement of an earlier run, or one
// that is older than what is known, is ignored.
func (d *Directory) Announce(s Server, now time.Time) bool {
	d.revision = max(d.revision, s.Revision)
	left, departed := d.removed[s.ID]
	if departed && (s.Revision <= left.revision || s.StartedAt == left.born && s.Sequence <= left.sequence) {
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
	if s.Revision <= old.Revision || s.StartedAt < old.StartedAt {
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

// differsFrom reports whether the announcement says more than that the server still
// runs as before.
func (s *Server) differsFrom(old *Server) bool {
	return s.State != old.State || s.Service != old.Service || s.Version != old.Version || s.DataCentre != old.DataCentre ||
		s.Slots != old.Slots || !old.GraceUntil.IsZero() || s.ColdLeft > 0
}

// Remove takes a server off the directory, or marks it lapsed until a time
// that is still to come. It reports whether the listing changed.
func (d *Directory) Remove(id string, revision int64, lapseUntil, now time.Time) bool {
	d.revision = max(d.revision, revision)
	old := d.servers[id]
	if old != nil && revision != 0 && revision <= old.Revision {
		return false
	}
	left := removal{revision: max(revision, d.removed[id].revision), at: now}
	if old != nil {
		left.born, left.sequence, left.revision = old.StartedAt, old.Sequence, max(left.revision, old.Revision)
	} else {
		left.born, left.sequence = d.removed[id].born, d.removed[id].sequence
	}
	d.removed[id] = left
	if old == nil {
		return false
	}
	if now.Before(lapseUntil) && old.State == Ready {
		if !old.GraceUntil.IsZero() {
			return false
		}
		lapsed := *old
		lapsed.GraceUntil = lapseUntil
		d.servers[id] = &lapsed
		return true
	}
	delete(d.servers, id)
	return true
}

// Replace takes in a whole reading of the listing at a store revision: servers
// that are missing from it are withdrawn.
func (d *Directory) Replace(list []Server, revision int64, lapseUntil, now time.Time) bool {
	changed := false
	present := make(map[string]bool, len(list))
	for _, s := range list {
		present[s.ID] = true
		if d.Announce(s, now) {
			changed = true
		}
	}
	for id, s := range d.servers {
		if !present[id] && s.Revision <= revision && d.Remove(id, 0, lapseUntil, now) {
			changed = true
		}
	}
	d.revision = max(d.revision, revision)
	return changed
}

// Expire drops servers whose grace after a store outage is over. It reports
// whether the listing changed.
func (d *Directory) Expire(now time.Time) bool {
	changed := false
	for id, left := range d.removed {
		if now.Sub(left.at) >= removalMemory {
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

// Listing returns the present view.
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
