package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
)

// loadedStore is a store whose state was loaded once and that is out of reach since.
type loadedStore struct {
	follower.Store
	loads int
}

func (s *loadedStore) Load(ctx context.Context) ([]follower.Item, int64, error) {
	if s.loads++; s.loads > 1 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return []follower.Item{{Key: "table", Revision: 1}}, 1, nil
}

func (s *loadedStore) Watch(ctx context.Context, _ int64, _ time.Duration) ([]follower.Item, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (s *loadedStore) Confirm(ctx context.Context) (follower.Item, int64, error) {
	<-ctx.Done()
	return follower.Item{}, 0, ctx.Err()
}

// The answer of a feed may take longer than its timeout while it arrives. On pottyround-
// lhr-grown the answers to 22 followers, with a table in each, took 0.45 s of a reader's
// link; they were given up and asked for again elsewhere.
func TestFeedAnswerMayArriveSlowly(t *testing.T) {
	const parts, pause = 15, 60 * time.Millisecond // 0.9 s; 0.5 s are allowed for a feed that is silent
	is := is.New(t)
	reader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := json.Marshal(follower.Batch{Items: []follower.Item{{Key: "table", Revision: 9}}, Revision: 9, Table: 9})
		is.NoErr(err)
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		for i := range parts {
			if _, err := w.Write(raw[i*len(raw)/parts : (i+1)*len(raw)/parts]); err != nil || http.NewResponseController(w).Flush() != nil {
				return // the follower has given up
			}
			time.Sleep(pause)
		}
	}))
	t.Cleanup(reader.Close)
	g := newTestGateway(clockwork.NewRealClock())
	decode := func(i follower.Item) follower.Change {
		table := &route.Table{Version: i.Revision}
		table.Index()
		return follower.Change{Key: i.Key, Revision: i.Revision, Subject: table}
	}
	f := follower.New(&loadedStore{}, decode, follower.WithUpstream(func() follower.Feed {
		return &remoteFeed{g.feeds, strings.TrimPrefix(reader.URL, "http://")}
	}))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	arrived := false
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end) && !arrived; time.Sleep(10 * time.Millisecond) {
		table := f.View.Table.Get()
		arrived = table != nil && table.Version == 9
	}
	cancel()
	<-done
	is.True(arrived)
}
