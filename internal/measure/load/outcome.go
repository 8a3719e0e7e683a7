package load

import (
	"time"
)

// Result is how a request ended for its caller.
type Result string

// The results.
const (
	// ResultAnswered is an answer that ended as whole.
	ResultAnswered Result = "Answered"
	// ResultRefused is an error answer in place of an answer.
	ResultRefused Result = "Refused"
	// ResultFailed is an answer that began and ended with an explicit error.
	ResultFailed Result = "Failed"
	// ResultCut is a connection that broke before the answer ended.
	ResultCut Result = "Cut"
	// ResultUnreachable is a connection that could not be opened.
	ResultUnreachable Result = "Unreachable"
	// ResultTruncated is an answer that ended in good order without its finish
	// marker.
	ResultTruncated Result = "Truncated"
)

// Outcome is what was sent and what came back.
type Outcome struct {
	SentAt  time.Time
	EndedAt time.Time
	Kind    Kind
	Target  string
	// RequestID is the caller's own; RouterID is the one the answer carried.
	RequestID string `json:"RequestId"`
	RouterID  string `json:"RouterId"`
	Customer  string
	// Tag is the hash of what was asked, which the backend server echoes.
	Tag   string
	Model string
	// Session is the caller's name for its session; Turn counts from 1.
	Session string
	Turn    int
	// Token is the Session-Id that came back.
	Token  string
	Result Result
	Status int
	// Reason and RunState are those of a refusal or failure.
	Reason   string
	RunState string
	Detail   string
	// Asked is the number of tokens asked for; Tokens is how many came, in
	// order and without gaps.
	Asked  int
	Tokens int
	// Own says that all that came belongs to what was asked.
	Own bool
	// Version is the MODEL@VERSION that the answer reports.
	Version    string
	FirstToken time.Duration
}

// IsWhole reports whether the caller got all of its own answer.
func (o Outcome) IsWhole() bool {
	return o.Result == ResultAnswered && o.Own && o.Tokens == o.Asked
}
