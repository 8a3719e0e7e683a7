package explanation

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestRingKeepsLatest(t *testing.T) {
	is := is.New(t)
	r := New(3)
	for i := range 5 {
		r.Add(&Record{RequestID: fmt.Sprint(i), Trace: fmt.Sprintf("t%d", i)})
	}
	is.True(r.Find("1") == nil)
	is.True(r.Find("t1") == nil)
	is.Equal(r.Find("t4").RequestID, "4")
	// Evicting a record does not remove a later record with the same ID.
	r.Add(&Record{RequestID: "3", Customer: "again"})
	r.Add(&Record{RequestID: "5"})
	is.Equal(r.Find("3").Customer, "again")
	is.Equal(len(r.byID), 4) // 4, t4, 3 and 5
}
