package store

import "fmt"

// UnavailableError reports a call that got no usable answer.
type UnavailableError struct {
	Purpose Purpose
	// MayHaveTakenEffect is set for a write that may have reached the
	// service: read it back before deciding.
	MayHaveTakenEffect bool
	Err                error
}

func (e *UnavailableError) Error() string {
	effect := "no effect"
	if e.MayHaveTakenEffect {
		effect = "may have taken effect"
	}
	return fmt.Sprintf("store unavailable for %s (%s): %v", e.Purpose, effect, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// BudgetError reports a call that was not sent, because this instance's share
// of the service's rate is used up.
type BudgetError struct {
	Write bool
}

func (e *BudgetError) Error() string {
	if e.Write {
		return "write budget used up"
	}
	return "read budget used up"
}

// HoldError reports a call that was not sent, because the service failed a
// moment ago and the client is holding back.
type HoldError struct{}

func (e *HoldError) Error() string { return "holding back after a failure" }

// StatusError reports an answer other than 200.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// CompactedError reports a watch whose start revision is no longer kept.
type CompactedError struct {
	Revision int64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("history before revision %d is compacted", e.Revision)
}
