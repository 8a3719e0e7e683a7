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

	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
)

// The answer of a feed may take longer than its timeout while it arrives. On pottyround-
// lhr-grown the answers to 22 followers, with a table in each, took 0.45 s of a reader's
// link; they were given up and asked for again elsewhere.
func TestFeedAnswerMayArriveSlowly(t *testing.T) {
	const parts, pause = 11, 60 * time.Millisecond // 0.66 s; 0.5 s are allowed for a feed that is silent
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
	s := follower.DefaultSettings
	ctx, cancel := context.WithTimeout(t.Context(), s.FeedWait+s.FeedTimeout)
	defer cancel()
	feed := &remoteFeed{newTestGateway(clockwork.NewRealClock()).feeds, strings.TrimPrefix(reader.URL, "http://")}
	batch, err := feed.Next(ctx, follower.Position{Revision: 1}, s.FeedWait)
	is.NoErr(err)
	is.Equal(batch.Revision, int64(9))
}
