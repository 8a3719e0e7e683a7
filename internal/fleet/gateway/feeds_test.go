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
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
	"github.com/kingcupyard/kingcupyard/internal/standin/site"
	"github.com/kingcupyard/kingcupyard/internal/standin/verbatim"
)

// The answer of a feed may take longer than its timeout while it arrives. On pottyround-
// lhr-grown the answers to 22 followers, with a table in each, took 0.45 s of a reader's
// link; they were given up and asked for again elsewhere.
func TestFeedAnswerMayArriveSlowly(t *testing.T) {
	const parts, pause = 11, 60 * time.Millisecond // 0.66 s; 0.5 s are allowed for a feed that is silent
	is := is.New(t)
	reader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := json.Marshal(feedAnswer{Items: []feedItem{{Key: "table", Revision: 9}}, Revision: 9, Table: 9})
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
	batch, err := feed.Next(ctx, follower.Position{Revision: revision.Revision{Number: 1}}, s.FeedWait)
	is.NoErr(err)
	is.Equal(batch.Revision, revision.Revision{Number: 9})
}

// An open connection to a reader that goes silent for good costs one call to its feed, not
// longer than a silent feed is waited for, and then a new connection is used.
func TestSilentFeedConnection(t *testing.T) {
	is := is.New(t)
	answer, err := json.Marshal(feedAnswer{Revision: 9})
	is.NoErr(err)
	reader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(answer) }))
	t.Cleanup(reader.Close)
	proxy, err := site.NewProxy(strings.TrimPrefix(reader.URL, "http://"))
	is.NoErr(err)
	t.Cleanup(proxy.Close)
	feed := &remoteFeed{newTestGateway(clockwork.NewRealClock()).feeds, proxy.Address}
	next := func() error {
		_, err := feed.Next(t.Context(), follower.Position{Revision: revision.Revision{Number: 1}}, follower.DefaultSettings.FeedWait)
		return err
	}
	is.NoErr(next())
	is.Equal(proxy.Silence(), 1)
	startedAt := time.Now()
	is.True(next() != nil)
	is.True(time.Since(startedAt) < follower.DefaultSettings.MaxFeedAge) // in time to leave the reader
	is.NoErr(next())
}

// What is at an instance's address and answers with a head that breaks the rules of HTTP is no
// instance: it is not present and has no feed.
func TestMalformedHeadOfInstance(t *testing.T) {
	const body = "\r\nContent-Length: 16\r\n\r\n{\"Revision\": 9}\n"
	for _, c := range []struct {
		name, head      string
		present, hasFed bool
	}{
		{"sound", "HTTP/1.1 200 OK", true, true},
		{"a status of 000", "HTTP/1.1 000 Unknown", false, false},
		{"a name with a blank", "HTTP/1.1 200 OK\r\nSome Note: 1", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := verbatim.Serve(t, c.head+body)
			g := newTestGateway(clockwork.NewRealClock())
			is.Equal(g.absences.isPresent(t.Context(), address), c.present)
			_, err := (&remoteFeed{g.feeds, address}).Next(t.Context(), follower.Position{Revision: revision.Revision{Number: 1}}, follower.DefaultSettings.FeedWait)
			is.Equal(err == nil, c.hasFed)
		})
	}
}
