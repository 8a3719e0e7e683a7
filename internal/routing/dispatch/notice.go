package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
)

const (
	// limitWindow is the time over which requests to a server with a limit are counted:
	// the 4 s over which servers count them, plus the amount by which the delays of two
	// requests can differ on the way.
	limitWindow = 4150 * time.Millisecond
	// ShareWindow is the longest window over which a server's limit counts requests.
	ShareWindow = limitWindow
	// limitPeriod is the time for which the requests that a limit allows are divided
	// among the instances. It is long enough for a limit below one request a second.
	limitPeriod = 4 * time.Second
	// limitProbeDelay is how long an instance without a share of a limit hears nothing of
	// it before it sends one request, whose answer shows whether the limit holds.
	// limitProbeGap is added for each instance before it in rank, so that they don't
	// do so together.
	limitProbeDelay = 30 * time.Second
	limitProbeGap   = 8 * time.Second
	// noticeReportTime is how long a notice that has changed is passed on to other
	// instances, in messages that may be lost.
	noticeReportTime = 3 * time.Second
	// noticeMemory is how long a server that isn't listed any more is remembered for its
	// notice. Its entry may lapse while the store is out of reach.
	noticeMemory = 10 * time.Minute
	// maxNoticeReports bounds the notices in one message, to about 5 KB.
	maxNoticeReports = 60
	// maxPause bounds for how long a server can keep this instance away.
	maxPause = 10 * time.Minute
)

// serverNotice is the latest notice of a server that has reached this instance, in an
// answer or from another instance. Servers repeat their notices in all answers.
type serverNotice struct {
	notice backend.Notice
	// heardAt is when an answer last gave the notice, changedAt when it last changed;
	// zero if no answer has given any.
	heardAt   time.Time
	changedAt time.Time
	// pausedUntil is when the server takes requests of this instance again. It says so to
	// each instance that it refuses, so that this isn't passed on.
	pausedUntil time.Time
}

// record takes in the notice of an answer to a request sent at sentAt. conclusive is set
// if the answer would have held any notice. It reports whether the notice changed.
func (s *serverNotice) record(n backend.Notice, conclusive bool, sentAt, now time.Time) bool {
	old := *s
	if until := now.Add(min(n.RetryAfter, maxPause)); n.RetryAfter > 0 && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	if n.Leaving {
		s.notice.Leaving, s.heardAt = true, now
	}
	switch {
	case n.Limited:
		s.notice.Limited, s.notice.Limit, s.heardAt = true, n.Limit, now
	case s.notice.Limited && conclusive && sentAt.After(s.heardAt):
		// An answer to an earlier request may have been overtaken by the notice.
		s.notice.Limited, s.notice.Limit, s.heardAt = false, 0, now
	}
	if s.notice != old.notice {
		s.changedAt = now
		return true
	}
	return s.isPaused(now) && !old.isPaused(now)
}

// isForgotten reports whether the notice is too old to matter for a server that isn't
// listed.
func (s *serverNotice) isForgotten(now time.Time) bool {
	return now.Sub(s.heardAt) >= noticeMemory && now.Sub(s.pausedUntil) >= 0
}

// isPaused reports whether the server wants no request from this instance now.
func (s *serverNotice) isPaused(now time.Time) bool { return now.Before(s.pausedUntil) }

// NoticeReport is a server's notice as one instance tells it to others.
type NoticeReport struct {
	// StartedAt identifies the server's run, as in backend.Server.
	StartedAt int64
	// Age is the time since the notice last changed.
	Age     time.Duration
	Leaving bool    `json:",omitzero"`
	Limited bool    `json:",omitzero"`
	Limit   float64 `json:",omitzero"`
}

// RecentNotices returns the notices that have changed within noticeReportTime, by the
// server's ID. If there are more than maxNoticeReports, it returns the newest ones. It
// drops what is known of servers that have been gone for long.
func (d *Dispatcher) RecentNotices(now time.Time) map[string]NoticeReport {
	reports := map[string]NoticeReport{}
	d.eachState(func(id string, st *serverState) bool {
		if st.unlisted && st.inFlight == 0 && st.notice.isForgotten(now) {
			return false
		}
		if age := now.Sub(st.notice.changedAt); age < noticeReportTime {
			n := st.notice.notice
			reports[id] = NoticeReport{StartedAt: st.born, Age: age, Leaving: n.Leaving, Limited: n.Limited, Limit: n.Limit}
		}
		return true
	})
	if len(reports) > maxNoticeReports {
		byAge := slices.SortedFunc(maps.Keys(reports), func(a, b string) int {
			return cmp.Or(cmp.Compare(reports[a].Age, reports[b].Age), cmp.Compare(a, b))
		})
		for _, id := range byAge[maxNoticeReports:] {
			delete(reports, id)
		}
	}
	return reports
}

// MergeNotices takes in the notices that another instance knows. The latest change of a
// notice holds. Notices of another run of a server are ignored.
func (d *Dispatcher) MergeNotices(reports map[string]NoticeReport, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range reports {
		st := d.states[id]
		if st == nil {
			st = newServerState(r.StartedAt)
			d.states[id] = st
		}
		st.mergeNotice(r, now)
	}
}

// mergeNotice takes in the notice that another instance knows.
func (st *serverState) mergeNotice(r NoticeReport, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	changedAt := now.Add(-r.Age)
	if st.born != r.StartedAt || !changedAt.After(st.notice.changedAt) {
		return
	}
	n := &st.notice.notice
	n.Leaving, n.Limited, n.Limit = n.Leaving || r.Leaving, r.Limited, r.Limit
	st.notice.changedAt = changedAt
	if changedAt.After(st.notice.heardAt) {
		st.notice.heardAt = changedAt
	}
}

// RecordNotice records what the server said about itself in its answer to a request sent
// at sentAt. conclusive is set if the answer is the server's own and would have held any
// notice. It reports whether that is new.
func (a *Assignment) RecordNotice(n backend.Notice, conclusive bool, sentAt, now time.Time) bool {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return a.state.notice.record(n, conclusive, sentAt, now)
}

// withinLimit reports whether this instance's share of the limit that a server has named
// allows another request now. At least one instance may send one in limitPeriod, whose
// answer shows when the limit ends. An instance that may have missed that sends one after
// a longer time.
func (c *choice) withinLimit(s *backend.Server, st *serverState) bool {
	q, now := c.query, c.now
	notice := st.notice.notice
	if !notice.Limited {
		return true
	}
	if q.KnownFor < limitWindow {
		return false
	}
	allowed := max(1, int(min(notice.Limit*limitPeriod.Seconds(), math.MaxInt32)))
	if quota := Quota(s.ID, c.settings.Instance, q.Members, allowed); quota > 0 {
		return st.sends.recent(now, limitWindow) < quota
	}
	if st.sends.planned > 0 {
		return false
	}
	probeAfter := limitProbeDelay + time.Duration(rank(s.ID, c.settings.Instance, q.Members))*limitProbeGap
	return now.Sub(st.notice.heardAt) >= probeAfter && now.Sub(st.sends.last) >= probeAfter
}
