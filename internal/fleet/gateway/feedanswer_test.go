package gateway

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/document"
	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// A feed hands on the era of each revision. An instance of an earlier version finds the
// store's numbers where it looks for them.
func TestFeedAnswer(t *testing.T) {
	is := is.New(t)
	at := func(era, number int64) revision.Revision { return revision.Revision{Era: era, Number: number} }
	b := follower.Batch{
		Items:    []follower.Item{{Key: "a", Value: []byte("x"), Revision: at(4, 180)}, {Key: "b", Revision: at(3, 200), Gone: true}},
		Revision: at(4, 190), Whole: true, Table: at(5, 20), Age: time.Second, ViewAge: time.Minute,
		TableDiff: &follower.TableDiff{Key: "t", Revision: at(5, 20), Base: at(3, 199), Data: []byte("diff")},
	}
	raw, err := json.Marshal(newFeedAnswer(b))
	is.NoErr(err)
	var answer feedAnswer
	is.NoErr(document.DecodeLoosely(raw, &answer))
	is.Equal(answer.batch(), b)
	is.Equal(answer.Revision, int64(190))
	is.Equal(answer.Items[1].Revision, int64(200))

	unknown := follower.Batch{Revision: at(4, 190)}
	copied := newFeedAnswer(unknown)
	is.Equal(copied.batch().Table, revision.Revision{})
	for field, invalid := range map[string]feedAnswer{
		"Era": {Era: -1}, "TableEraOffset": {Era: 1, TableEraOffset: -2}, "Items[0].EraOffset": {Items: []feedItem{{Key: "a", Revision: 1, EraOffset: -1}}},
	} {
		is.Equal(invalid.InvalidField(), field)
	}
}

// A position arrives as it was sent; that of an instance of an earlier version has no era.
func TestPositionQuery(t *testing.T) {
	is := is.New(t)
	for _, p := range []follower.Position{
		{Revision: revision.Revision{Era: 2, Number: 190}, Table: revision.Revision{Era: 1, Number: 200}}, {Revision: revision.Revision{Number: 7}},
	} {
		got, err := parsePosition(httptest.NewRequest("GET", feedPath+"?"+positionQuery(p, time.Second).Encode(), nil))
		is.NoErr(err)
		is.Equal(got, p)
	}
	got, err := parsePosition(httptest.NewRequest("GET", feedPath+"?After=200&Table=9&Wait=250ms", nil))
	is.NoErr(err)
	is.Equal(got, follower.Position{Revision: revision.Revision{Number: 200}, Table: revision.Revision{Number: 9}, EraUnknown: true})
}

// loadedStore is a store without changes, at a revision.
type loadedStore struct {
	Store
	at revision.Revision
}

func (s *loadedStore) Load(context.Context, bool) ([]follower.Item, revision.Revision, error) {
	return nil, s.at, nil
}

func (s *loadedStore) Watch(ctx context.Context, _ revision.Revision, _ time.Duration) ([]follower.Item, revision.Revision, error) {
	<-ctx.Done()
	return nil, revision.Revision{}, ctx.Err()
}

func (s *loadedStore) Confirm(context.Context) (follower.Item, revision.Revision, error) {
	return follower.Item{}, s.at, nil
}

// load makes a gateway's follower load the state of a store at a revision.
func load(t *testing.T, g *Gateway, at revision.Revision) {
	g.follower = follower.New(&loadedStore{at: at}, g.Decode)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.follower.Run(ctx)
	}()
	for !g.follower.Revision().IsKnown() {
		time.Sleep(time.Millisecond)
	}
	stop()
	<-done
}

// Where the store states its era, an instance of an earlier version is no source.
func TestReaderOfEarlierVersionIsNotFollowed(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(clockwork.NewFakeClock())
	instances := map[string]follower.Instance{}
	for _, name := range []string{"edge-1", "edge-2", "edge-3", "edge-4", "edge-5", "edge-6"} {
		instances[name] = follower.Instance{Name: name, PeerAddress: name}
	}
	readers := chooseReaders(instances)
	for name := range instances { // an instance that isn't a reader
		if !slices.ContainsFunc(readers, func(r follower.Instance) bool { return r.Name == name }) {
			g.Settings.Instance = name
		}
	}
	current := readers[0]
	current.StatesEra = true
	instances[current.Name] = current
	load(t, g, revision.Revision{Number: 9})
	publish(g, follower.Fleet{Instances: instances})
	g.feeds.markFailed(current.PeerAddress)
	_, found := g.feeds.reader()
	is.True(found)
	load(t, g, revision.Revision{Era: 1, Number: 9})
	publish(g, follower.Fleet{Instances: instances})
	_, found = g.feeds.reader()
	is.True(!found)
	g.feeds.avoidUntil = nil
	reader, found := g.feeds.reader()
	is.True(found)
	is.Equal(reader.Name, current.Name)
}
