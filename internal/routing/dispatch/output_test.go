package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
)

// Long answers go to the quicker of two servers that have nothing to do, and a short answer to
// a short prompt doesn't wait for it while it is busy. Of servers that state no pace, the length of
// the answer makes no difference.
func TestLongAnswersPreferQuickServers(t *testing.T) {
	is := is.New(t)
	l := listing(2, func(_ int, s *backend.Server) { s.DataCentre = "gulberg" })
	for _, c := range []struct {
		paces   [2]float64
		backlog int64 // at the quicker server, in ms
		output  int
		want    string // empty if either
	}{
		{paces: [2]float64{1.6, 0.6}, output: 800, want: "s01"},
		{paces: [2]float64{1.6, 0.6}, output: 25, want: "s01"},
		{paces: [2]float64{1.6, 0.6}, backlog: 500, output: 25, want: "s00"},
		{paces: [2]float64{1.6, 0.6}, backlog: 500, output: 800, want: "s01"},
		{backlog: 500, output: 25, want: "s00"},
		{backlog: 500, output: 800, want: "s00"},
		{output: 800},
	} {
		d := New(testSettings("a"))
		for i, pace := range c.paces {
			for range 10 {
				d.Speeds().Observe([]string{"s00", "s01"}[i], pace, epoch.Add(-time.Second))
			}
		}
		d.UpdateTotal("reader", 1, 1, Backlog{"s01": c.backlog}, epoch)
		q := query(PromptPart{ID: "own", Tokens: 500})
		q.OutputTokens = c.output
		a, err := d.Place(l, q, epoch)
		is.NoErr(err)
		is.True(c.want == "" || a.Server.ID == c.want)
	}
}
