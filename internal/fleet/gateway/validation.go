package gateway

import (
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/billing/tally"
	"github.com/kingcupyard/kingcupyard/internal/fleet/document"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

// InvalidField implements document.Validator. A field that is missing says nothing, but the
// sender has to be named.
func (m *message) InvalidField() string {
	for _, field := range []struct {
		name    string
		invalid bool
	}{
		{"From", m.From == ""},
		{"Run", m.Run <= 0},
		{"Sequence", m.Sequence < 0},
		{"Pending", hasNegative(m.Pending)},
		{"Group", hasNegative(m.Group)},
		{"Total", hasNegative(m.Total)},
		{"Tally", m.Tally != nil && !isSoundTally(m.Tally)},
		{"Notices", !areSoundNotices(m.Notices)},
		{"Evidence", m.Evidence != nil && !m.Evidence.isSound()},
		{"Crashes", m.Crashes != nil && slices.ContainsFunc(slices.Collect(maps.Values(m.Crashes.Answered)), isNegative)},
		{"Sessions", slices.ContainsFunc(m.Sessions, func(s sessionMessage) bool { return s.Service == "" || s.Session == "" || s.Version == "" })},
	} {
		if field.invalid {
			return field.name
		}
	}
	return ""
}

func isNegative(d time.Duration) bool { return d < 0 }

func isSoundTally(t *tally.Tally) bool {
	return t.Instance != "" && t.Sequence >= 0 && !slices.ContainsFunc(t.Entries, func(e tally.Entry) bool {
		return min(e.Requests, e.Read, e.Parts) < 0
	})
}

func areSoundNotices(notices map[string]dispatch.NoticeReport) bool {
	for id, n := range notices {
		if id == "" || n.Age < 0 || n.Limit < 0 {
			return false
		}
	}
	return true
}

// hasNegative reports whether a backlog has a negative amount of work.
func hasNegative(b dispatch.Backlog) bool {
	for work := range maps.Values(b) {
		if work < 0 {
			return true
		}
	}
	return false
}

// isSound reports whether the evidence is on a rollout and has possible numbers of answers.
func (e *evidenceMessage) isSound() bool {
	for _, pair := range e.Evidence {
		if !pair.Old.IsSound() || !pair.New.IsSound() {
			return false
		}
	}
	for _, counts := range e.Servers {
		if !counts.IsSound() {
			return false
		}
	}
	return e.Service != "" && e.Order > 0 && min(e.Sent.Old, e.Sent.New) >= 0 && max(e.Sent.Old, e.Sent.New) <= math.MaxInt32 && e.Elapsed >= 0
}

// maxLoggedSenders bounds the senders of invalid messages that are told apart in the log.
const maxLoggedSenders = 1000

// logInvalid logs a message with an invalid field, once for each sender and field.
func (p *peers) logInvalid(from string, err error) {
	field := document.Field(err)
	peerCounters.Add("Unreadable", 1)
	if field != "" {
		peerCounters.Add("Invalid "+field, 1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sender := from + " " + field
	if p.loggedInvalid[sender] || len(p.loggedInvalid) >= maxLoggedSenders {
		return
	}
	if p.loggedInvalid == nil {
		p.loggedInvalid = map[string]bool{}
	}
	p.loggedInvalid[sender] = true
	p.gateway.Log.Warn("PeerMessageInvalid", zap.String("From", from), zap.String("Field", field), zap.Error(err))
}

// maxFeedRequestWait bounds how long an instance waits for a change when it is asked for one.
const maxFeedRequestWait = time.Minute
