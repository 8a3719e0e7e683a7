package dispatch

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

var epoch = time.Unix(1000, 0)

func testSettings(instance string) Settings {
	return Settings{
		Instance: instance, DataCentre: "gulberg", LocalRoundTrip: time.Millisecond, RemoteRoundTrip: 9 * time.Millisecond, CrossDataCentreCost: 20 * time.Millisecond,
		FailureCost: time.Second, ColdOverrun: 1.5, ColdSlack: 5,
	}
}

// listing returns n ready servers of the service assistant, alternating between two
// data centres. change, if not nil, can modify each server.
func listing(n int, change func(i int, s *backend.Server)) *backend.Listing {
	d := backend.NewDirectory()
	for i := range n {
		s := backend.Server{
			ID: fmt.Sprintf("s%02d", i), Service: "assistant", Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: []string{"gulberg", "johar"}[i%2],
			Version: "v1", Slots: 64, State: backend.Ready, Revision: revision.Revision{Number: int64(i + 1)},
		}
		if change != nil {
			change(i, &s)
		}
		d.Announce(s, epoch)
	}
	return d.Listing()
}

func query(parts ...PromptPart) *Query {
	return &Query{Service: "assistant", Model: "large", SizeRank: 2, PromptParts: parts, Members: []string{"a"}, KnownFor: time.Minute, MaxConnections: 370, ColdRate: 11}
}

// The quotas of all instances at a cold server add up to exactly its limit, for any
// number of instances.
func TestQuotaSum(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 8, 9, 30, 73, 90, 360} {
		members := make([]string, n)
		for i := range members {
			members[i] = fmt.Sprintf("edge-%d", i)
		}
		for _, limit := range []int{0, 3, 16, 21} {
			sum := 0
			for _, m := range members {
				sum += Quota("server", m, members, limit)
			}
			is.Equal(sum, limit)
		}
	}
	is.Equal(Quota("server", "stranger", []string{"a", "b"}, 16), 0)
}

// All instances together stay within a cold server's limit in any second, even if it
// is the only server and every request is placed there.
func TestColdServerUnderLoad(t *testing.T) {
	is := is.New(t)
	const instances = 9
	members := make([]string, instances)
	for i := range members {
		members[i] = fmt.Sprintf("edge-%d", i)
	}
	l := listing(1, func(_ int, s *backend.Server) { s.ColdLeft = 5 * time.Second })
	dispatchers := make([]*Dispatcher, instances)
	for i := range dispatchers {
		dispatchers[i] = New(testSettings(members[i]))
	}
	var sent []time.Time
	for ms := range 5000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		q := query()
		q.Members = members
		if w, err := dispatchers[ms%instances].Place(l, q, now); err == nil {
			is.True(w.Send(l, q, now))
			sent = append(sent, now)
			w.Done(Succeeded, now)
		}
	}
	bound := 21 // ColdRate 11 * ColdOverrun 1.5 + ColdSlack 5, rounded down
	for i, at := range sent {
		n := 0
		for _, other := range sent[i:] {
			if other.Sub(at) < time.Second {
				n++
			}
		}
		is.True(n <= bound)
	}
	is.True(len(sent) > 5*bound/2) // and use more than half of it
}

// A burst of long prompts is spread by pending work: no server gets more than twice
// the mean.
func TestBurstSpreadsByWork(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("testdata/bursts.txt")
	is.NoErr(err)
	d, l := New(testSettings("a")), listing(6, nil)
	work, total := map[string]time.Duration{}, time.Duration(0)
	for i, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		at, size, ok := strings.Cut(line, "|")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		ms, err := strconv.Atoi(strings.TrimSpace(at))
		is.NoErr(err)
		tokens, err := strconv.Atoi(strings.TrimSpace(size))
		is.NoErr(err)
		w, err := d.Place(l, query(PromptPart{ID: fmt.Sprint(i), Tokens: tokens}), epoch.Add(time.Duration(ms)*time.Millisecond))
		is.NoErr(err)
		work[w.Server.ID] += w.work
		total += w.work
	}
	for _, sum := range work {
		is.True(sum <= 2*total/6)
	}
}

// The backlog that other instances report counts like the instance's own.
func TestPeerBacklogCounts(t *testing.T) {
	is := is.New(t)
	d, l := New(testSettings("a")), listing(2, nil)
	prompt := PromptPart{ID: "p", Tokens: 9000}
	d.UpdatePeer("b", 1, 1, Backlog{"s00": 3000}, epoch)
	w, err := d.Place(l, query(prompt), epoch)
	is.NoErr(err)
	is.Equal(w.Server.ID, "s01")
	w.Done(Inconclusive, epoch)
	d.UpdatePeer("b", 1, 3, Backlog{"s01": 3000}, epoch)
	d.UpdatePeer("b", 1, 2, Backlog{"s00": 3000}, epoch) // older than the report before
	w, err = d.Place(l, query(PromptPart{ID: "q", Tokens: 9000}), epoch)
	is.NoErr(err)
	is.Equal(w.Server.ID, "s00")
	w.Done(Inconclusive, epoch)
	later := epoch.Add(peerReportTTL)
	prediction, err := d.Predict(l, query(), later)
	is.NoErr(err)
	is.True(prediction.Wait < 100*time.Millisecond) // expired reports no longer count
}

// All instances send requests with the same shared parts to the same server, until
// it is too busy.
func TestSharedPartsStayTogether(t *testing.T) {
	is := is.New(t)
	l := listing(12, func(_ int, s *backend.Server) { s.DataCentre = "gulberg" })
	shared := []PromptPart{{ID: "base", Tokens: 2500}, {ID: "subject", Tokens: 3800}}
	var preferred string
	for i := range 9 {
		d := New(testSettings(fmt.Sprintf("edge-%d", i)))
		w, err := d.Place(l, query(append(shared, PromptPart{ID: fmt.Sprint(i), Tokens: 900})...), epoch)
		is.NoErr(err)
		if preferred == "" {
			preferred = w.Server.ID
		}
		is.Equal(w.Server.ID, preferred)
	}
	d := New(testSettings("a"))
	servers := map[string]bool{}
	for i := range 6 {
		w, err := d.Place(l, query(append(shared, PromptPart{ID: fmt.Sprint(i), Tokens: 9000})...), epoch)
		is.NoErr(err)
		servers[w.Server.ID] = true
	}
	is.True(len(servers) > 1) // they do not all queue at the preferred server
}

// A server that reports ready but fails requests is avoided, and tried again after a
// while.
func TestFailingServerIsAvoided(t *testing.T) {
	is := is.New(t)
	d, l := New(testSettings("a")), listing(2, func(_ int, s *backend.Server) { s.DataCentre = "gulberg" })
	w, err := d.Place(l, query(), epoch)
	is.NoErr(err)
	bad := w.Server.ID
	w.Done(NoAnswer, epoch)
	for range 10 {
		w, err := d.Place(l, query(), epoch.Add(time.Second))
		is.NoErr(err)
		is.True(w.Server.ID != bad)
		w.Done(Succeeded, epoch.Add(time.Second))
	}
	back := false
	for i := range 20 {
		w, err := d.Place(l, query(PromptPart{ID: fmt.Sprint(i), Tokens: 5000}), epoch.Add(time.Minute))
		is.NoErr(err)
		back = back || w.Server.ID == bad
	}
	is.True(back)
}

func TestNoServerSaysWhy(t *testing.T) {
	is := is.New(t)
	d := New(testSettings("a"))
	l := listing(5, func(i int, s *backend.Server) {
		switch i {
		case 0:
			s.State = backend.Draining
		case 1:
			s.DataCentre = "dha"
		case 2:
			s.Version = "v2"
		}
	})
	q := query()
	q.ClosedDataCentres, q.Versions, q.ExcludeServers = map[string]bool{"dha": true}, VersionConstraint{Except: "v2"}, []string{"s03", "s04"}
	_, err := d.Place(l, q, epoch)
	var none *NoServerError
	is.True(errors.As(err, &none))
	is.Equal(*none, NoServerError{Service: "assistant", Listed: 5, Draining: 1, Closed: 1, OtherVersion: 1, Excluded: 2})
}

// A query that names servers uses only these, also where few of many are considered.
func TestOnlyServers(t *testing.T) {
	for _, n := range []int{5, 3 * maxScannedServers} {
		is := is.New(t)
		d, l := New(testSettings("a")), listing(n, nil)
		var q *Query
		used := map[string]bool{}
		for i := range 20 {
			q = query(PromptPart{ID: fmt.Sprint(i), Tokens: 5000})
			q.OnlyServers = []string{"s01", "s03", "gone"}
			w, err := d.Place(l, q, epoch)
			is.NoErr(err)
			used[w.Server.ID] = true
		}
		is.Equal(used, map[string]bool{"s01": true, "s03": true})
		q.ExcludeServers = []string{"s01", "s03"}
		_, err := d.Place(l, q, epoch)
		var none *NoServerError
		is.True(errors.As(err, &none))
	}
}

// StillEligible detects changes that happen between placing and sending.
func TestCheckAfterChoice(t *testing.T) {
	is := is.New(t)
	d, l := New(testSettings("a")), listing(1, nil)
	w, err := d.Place(l, query(), epoch)
	is.NoErr(err)
	is.True(w.StillEligible(l, VersionConstraint{}, nil, epoch))
	is.True(!w.StillEligible(l, VersionConstraint{Except: "v1"}, nil, epoch))
	is.True(!w.StillEligible(l, VersionConstraint{}, map[string]bool{"gulberg": true}, epoch))
	is.True(!w.StillEligible(listing(0, nil), VersionConstraint{}, nil, epoch))
	is.True(!w.StillEligible(listing(1, func(_ int, s *backend.Server) { s.State = backend.Draining }), VersionConstraint{}, nil, epoch))
	is.True(!w.StillEligible(listing(1, func(_ int, s *backend.Server) { s.StartedAt = 9 }), VersionConstraint{}, nil, epoch))
}

// 80% (connectionQuotaShare) of a server's 100 connections are divided among 4
// instances.
func TestConnectionsAreShared(t *testing.T) {
	is := is.New(t)
	d, l := New(testSettings("a")), listing(1, nil)
	q := query()
	q.MaxConnections, q.Members = 100, []string{"a", "b", "c", "d"}
	placed := 0
	for range 100 {
		if _, err := d.Place(l, q, epoch); err == nil {
			placed++
		}
	}
	is.Equal(placed, 20)
}

// The predicted wait at a server is at least as long as its oldest request without a
// first event has waited already.
func TestOldestRequestBoundsTheWait(t *testing.T) {
	is := is.New(t)
	d, l := New(testSettings("a")), listing(1, nil)
	_, err := d.Place(l, query(), epoch)
	is.NoErr(err)
	prediction, err := d.Predict(l, query(), epoch.Add(1500*time.Millisecond))
	is.NoErr(err)
	is.True(prediction.Wait >= 1500*time.Millisecond)
}

// Requests stay in their data centre while its queues are short, and leave it when
// waiting there costs more than sending the request to another one. Traffic between
// data centres is paid for, but a burst of long reports is worth the price.
func TestLeavesItsDataCentreForAShorterQueue(t *testing.T) {
	is := is.New(t)
	settings := testSettings("a")
	settings.CrossDataCentreCost = 150 * time.Millisecond
	d, l := New(settings), listing(6, nil)
	counts := map[string]int{}
	for i := range 18 {
		w, err := d.Place(l, query(PromptPart{ID: fmt.Sprint("own-", i), Tokens: 3000}), epoch)
		is.NoErr(err)
		counts[w.Server.DataCentre]++
		if i == 2 {
			is.Equal(counts["johar"], 0) // one request for each server of its own data centre
		}
	}
	is.True(counts["johar"] >= 6)
	is.True(counts["gulberg"] >= counts["johar"])
}

// An instance can get the backlog of all other instances as one total from another
// instance, its reader. That backlog counts once when the instance changes its reader
// or becomes one. Previously it was counted two or three times while the store refused
// the calls of readers: servers looked overloaded, and small models answered requests
// that large ones had time for.
func TestOtherBacklogCountsOnce(t *testing.T) {
	is := is.New(t)
	d, l := New(testSettings("a")), listing(1, nil)
	at := epoch
	meanBacklog := func() time.Duration {
		f, err := d.Predict(l, query(), at)
		is.NoErr(err)
		return f.MeanBacklog
	}
	work := Backlog{"s00": 300}
	d.UpdateTotal("reader-1", 1, 1, work, at)
	is.Equal(meanBacklog(), 300*time.Millisecond)
	at = at.Add(100 * time.Millisecond)
	d.UpdateTotal("reader-2", 1, 1, work, at) // another reader reports the same sum
	is.Equal(meanBacklog(), 300*time.Millisecond)
	at = at.Add(100 * time.Millisecond)
	d.UpdatePeer("member", 1, 1, Backlog{"s00": 100}, at) // the instance has become a reader itself
	d.UpdatePeer("group/reader-2", 1, 1, Backlog{"s00": 200}, at)
	is.Equal(meanBacklog(), 300*time.Millisecond)
	at = at.Add(100 * time.Millisecond)
	d.UpdateTotal("reader-1", 1, 1, work, at) // it is a member again, of a reader that it had before
	is.Equal(meanBacklog(), 300*time.Millisecond)
	d.UpdateTotal("reader-1", 1, 1, Backlog{}, at) // not newer than the stored report
	is.Equal(meanBacklog(), 300*time.Millisecond)
	at = at.Add(peerReportTTL)
	is.Equal(meanBacklog(), time.Duration(0))
}

// A report of the backlog at all servers of a large fleet fits a datagram and keeps the servers
// with most work.
func TestLargestBacklog(t *testing.T) {
	is := is.New(t)
	const limit = 30 << 10
	b := Backlog{}
	for i := range 2900 {
		b[fmt.Sprintf("i-%010x", i)] = int64(i) * 5000
	}
	largest := b.Largest(limit)
	raw, err := json.Marshal(largest)
	is.NoErr(err)
	is.True(len(raw) <= limit)
	is.True(len(raw) > limit/2)
	least := b[fmt.Sprintf("i-%010x", 2900-len(largest))]
	for _, work := range largest {
		is.True(work >= least)
	}
	is.Equal(len(b), 2900) // it is left as it was
	small := Backlog{"a": 1}
	is.Equal(small.Largest(limit), small)
}
