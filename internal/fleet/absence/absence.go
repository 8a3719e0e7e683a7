// Package absence finds instances that may be gone although their announcements
// haven't ended yet, as after a crash or a loss of power.
//
// Each instance asks its successors on a ring of the instances of its data centre
// whether they are there, so that its traffic doesn't grow with the fleet. The ring
// doesn't cross data centres: when these lose each other, both sides go on sending to
// the servers that they reach, and both still count. Questions and answers may be lost,
// so that the caller confirms a suspicion over a connection.
//
// It is built for the loss of many instances at once, for paused and overloaded
// instances, for lost datagrams, and for an instance that is itself cut off from the
// others and must not take them for gone.
package absence

import (
	"slices"
	"time"
)

// Settings configures a Detector.
type Settings struct {
	// Interval is the time between two rounds of questions.
	Interval time.Duration
	// Timeout is how long a suspect instance has been silent. Each
	// successor before it on the ring adds one Interval, so that of several
	// predecessors one acts first.
	Timeout time.Duration
	// Successors is the number of instances that a Detector asks.
	Successors int
}

// DefaultSettings are the settings that instances use.
var DefaultSettings = Settings{Interval: time.Second, Timeout: 8 * time.Second, Successors: 3}

// Announcement is one announcement of an instance.
type Announcement struct {
	Name string
	// Revision distinguishes the announcement from others of the same instance.
	Revision int64
}

// Detector asks the successors of one instance. It isn't safe for concurrent use.
type Detector struct {
	self     string
	settings Settings
	// watched holds what is known of the current successors, by name.
	watched map[string]*watch
	// lastRoundAt is when the last round began, heardAt when any instance was last
	// heard.
	lastRoundAt time.Time
	heardAt     time.Time
}

// watch is what a Detector knows of one successor.
type watch struct {
	revision int64
	// heardAt is when the successor was last heard, or else when it was first asked.
	heardAt time.Time
}

// New returns a Detector of the named instance.
func New(self string, settings Settings) *Detector {
	return &Detector{self: self, settings: settings, watched: map[string]*watch{}}
}

// Heard records that something arrived from an instance.
func (d *Detector) Heard(name string, now time.Time) {
	if name == d.self {
		return
	}
	if d.isCutOff(now) {
		d.forgive(now)
	}
	d.heardAt = now
	if w := d.watched[name]; w != nil {
		w.heardAt = now
	}
}

// forgive lets the silence of all successors begin now.
func (d *Detector) forgive(now time.Time) {
	for _, w := range d.watched {
		w.heardAt = now
	}
}

// Round returns the instances to ask now and those that may be gone. The ring lists the
// announcements of all instances of the data centre, in an order that all of them share.
// Round is called every Interval.
func (d *Detector) Round(ring []Announcement, now time.Time) (ask, suspects []Announcement) {
	if now.Sub(d.lastRoundAt) > 2*d.settings.Interval {
		d.forgive(now) // this process was paused, and has yet to read the answers
	}
	d.lastRoundAt = now
	ask = successors(ring, d.self, d.settings.Successors)
	watched := make(map[string]*watch, len(ask))
	for rank, a := range ask {
		w := d.watched[a.Name]
		if w == nil || w.revision != a.Revision {
			w = &watch{revision: a.Revision, heardAt: now}
		}
		watched[a.Name] = w
		if now.Sub(w.heardAt) >= d.settings.Timeout+time.Duration(rank)*d.settings.Interval && !d.isCutOff(now) {
			suspects = append(suspects, a)
		}
	}
	d.watched = watched
	return ask, suspects
}

// isCutOff reports whether nothing has lately arrived from any instance.
func (d *Detector) isCutOff(now time.Time) bool {
	return now.Sub(d.heardAt) > 2*d.settings.Interval
}

// successors returns the n announcements that follow self on the ring. It returns none if
// self isn't on the ring: others then don't count on this instance either.
func successors(ring []Announcement, self string, n int) []Announcement {
	at := slices.IndexFunc(ring, func(a Announcement) bool { return a.Name == self })
	if at < 0 {
		return nil
	}
	n = min(n, len(ring)-1)
	next := make([]Announcement, 0, n)
	for i := range n {
		next = append(next, ring[(at+1+i)%len(ring)])
	}
	return next
}
