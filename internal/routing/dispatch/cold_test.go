package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
)

func coldListing() *backend.Listing {
	return listing(1, func(_ int, s *backend.Server) { s.ColdLeft = time.Minute })
}

// placeAll places requests at one moment until none is placed any more.
func placeAll(d *Dispatcher, l *backend.Listing, q *Query, now time.Time) (placed []*Assignment) {
	for {
		a, err := d.Place(l, q, now)
		if err != nil {
			return placed
		}
		placed = append(placed, a)
	}
}

// A request to a cold server counts until it is sent and in the second after that: opening a
// connection may take long. One that isn't sent doesn't count any more.
func TestRequestsCountWhenTheyAreSent(t *testing.T) {
	is := is.New(t)
	d, l, q := New(testSettings("a")), coldListing(), query()
	placed := placeAll(d, l, q, epoch)
	is.Equal(len(placed), 16)
	connected := epoch.Add(2 * time.Second)
	is.Equal(len(placeAll(d, l, q, connected)), 0) // none of them has been sent
	for _, a := range placed[:10] {
		is.True(a.Send(l, q, connected))
		a.Done(Succeeded, connected)
	}
	for _, a := range placed[10:] {
		a.Done(Inconclusive, connected)
	}
	is.Equal(len(placeAll(d, l, q, connected.Add(time.Second))), 6)
}

// A share that has been lost since the placement isn't used, and neither is that of a server
// that has turned cold since then and has had enough requests.
func TestShareIsCheckedBeforeSending(t *testing.T) {
	is := is.New(t)
	d, cold, q := New(testSettings("a")), coldListing(), query()
	a, err := d.Place(cold, q, epoch)
	is.NoErr(err)
	lost := *q
	lost.KnownFor = coldWindow - 1
	is.True(!a.Send(cold, &lost, epoch))
	a.Done(Inconclusive, epoch)
	is.Equal(len(placeAll(d, cold, &lost, epoch)), 0)

	warm := listing(1, nil)
	sent := 0
	for range 40 {
		a, err := d.Place(warm, q, epoch)
		is.NoErr(err)
		if a.Send(cold, q, epoch) {
			sent++
		}
		a.Done(Inconclusive, epoch)
	}
	is.Equal(sent, 16)
}

// A new process sends nothing to a server with a limit within the limit's window, and doesn't
// ask either whether the limit still holds.
func TestNewProcessWaitsForItsShareOfALimit(t *testing.T) {
	is := is.New(t)
	d, l, q := New(testSettings("a")), listing(1, nil), query()
	q.KnownFor = limitWindow - 1
	d.MergeNotices(map[string]NoticeReport{"s00": {Limited: true, Limit: 5}}, epoch)
	is.Equal(len(placeAll(d, l, q, epoch.Add(time.Hour))), 0)
	q.KnownFor = limitWindow
	is.Equal(len(placeAll(d, l, q, epoch.Add(time.Hour))), 20)
}
