package invariant

import (
	"fmt"
	"time"
)

// The bounds that the checks allow.
const (
	// inForceBound is how soon an accepted configuration is in force.
	inForceBound = 4 * time.Second
	// leavingBound is how soon a leaving backend server gets no new work.
	leavingBound = 4 * time.Second
	// coldNoticeBound is how soon a server that turned cold without warning
	// is treated as cold.
	coldNoticeBound = 2 * time.Second
	// balancerLag is how long a stopping instance still gets connections.
	balancerLag = time.Second
)

// maxDetails bounds the violations that a result describes.
const maxDetails = 5

// Result is the verdict of one checker.
type Result struct {
	Name       string
	Checked    int
	Violations int
	// Details describe the first violations.
	Details []string
}

// String returns the result as one line of key=value pairs.
func (r Result) String() string {
	return fmt.Sprintf("Event=Invariant Name=%s Checked=%d Violations=%d", r.Name, r.Checked, r.Violations)
}

// violate counts a violation.
func (r *Result) violate(format string, args ...any) {
	r.Violations++
	if len(r.Details) < maxDetails {
		r.Details = append(r.Details, fmt.Sprintf(format, args...))
	}
}

// Checker judges one thing that must always hold.
type Checker struct {
	Name  string
	check func(Trace, *Result)
}

// Check judges a trace that is in order of time.
func (c Checker) Check(t Trace) Result {
	r := Result{Name: c.Name}
	c.check(t, &r)
	return r
}

// Checkers are all checkers, in the order of the brief.
var Checkers = []Checker{
	{"AllowedVersion", checkAllowedVersion},
	{"WithdrawnVersion", checkWithdrawnVersion},
	{"SessionVersion", checkSessionVersion},
	{"BilledOnce", checkBilledOnce},
	{"ColdStart", checkColdStart},
	{"DataCentreOut", checkDataCentreOut},
	{"WholeAnswer", checkWholeAnswer},
	{"NotRunTrue", checkNotRunTrue},
	{"NonIdempotentOnce", checkNonIdempotentOnce},
	{"LeavingBackend", checkLeavingBackend},
	{"GracefulStop", checkGracefulStop},
	{"ConfigurationInForce", checkConfigurationInForce},
}

// Judge runs all checkers.
func Judge(t Trace) []Result {
	results := make([]Result, 0, len(Checkers))
	for _, c := range Checkers {
		results = append(results, c.Check(t))
	}
	return results
}
