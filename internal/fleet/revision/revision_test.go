package revision_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

func TestOrder(t *testing.T) {
	is := is.New(t)
	ordered := []revision.Revision{{}, {Number: 1}, {Number: 200}, {Era: 1, Number: 200}, {Era: 2, Number: 190}, {Era: 2, Number: 191}}
	for i, a := range ordered {
		for j, b := range ordered {
			is.Equal(a.Before(b), i < j)
			is.Equal(a.After(b), i > j)
			is.Equal(revision.Latest(a, b), ordered[max(i, j)])
		}
		is.Equal(a.IsKnown(), i > 0)
	}
	is.Equal(ordered[2].String(), "200")
	is.Equal(ordered[4].String(), "2/190")
}
