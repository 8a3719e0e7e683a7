// Package revision orders the changes of the platform's store.
//
// The store numbers its changes. When it comes back from a copy, it has lost the latest
// changes and gives their numbers out again, to other ones, in a new era. The number alone
// orders changes only within an era.
package revision

import (
	"cmp"
	"strconv"
)

// Revision identifies a state of the store, and the change that led to it.
// Revisions are comparable. The zero value stands for none.
type Revision struct {
	// Era is the era in which the store answered; 0 if it doesn't state one.
	Era int64
	// Number counts the changes. It is above 0 for a revision of the store.
	Number int64
}

// Compare returns -1 if r comes before other, 1 if it comes after it, and 0 if they are
// the same.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r comes before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// After reports whether r comes after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsKnown reports whether r is a revision of the store rather than none.
func (r Revision) IsKnown() bool { return r.Number > 0 }

// String returns the number, after the era and a slash if there is an era.
func (r Revision) String() string {
	number := strconv.FormatInt(r.Number, 10)
	if r.Era == 0 {
		return number
	}
	return strconv.FormatInt(r.Era, 10) + "/" + number
}

// Latest returns the later of two revisions.
func Latest(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}
