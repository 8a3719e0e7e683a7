package roster

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// report reads a report written as Generation/Sequence/Running/aheadSeconds.
func report(t *testing.T, text string, now time.Time) board.LoadReport {
	var r board.LoadReport
	var ahead int
	if text == "none" {
		return r
	}
	if _, err := fmt.Sscanf(text, "%d/%d/%d/%d", &r.Generation, &r.Sequence, &r.Running, &ahead); err != nil {
		t.Fatal(text, err)
	}
	r.ReportedAt, r.ReceivedAt = now.Add(time.Duration(ahead)*time.Second), now
	return r
}

// TestJudge reads testdata/reports.txt: last report, next report, verdict.
func TestJudge(t *testing.T) {
	now := time.Unix(1e9, 0)
	f, err := os.Open("testdata/reports.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		w := strings.Fields(lines.Text())
		if len(w) < 3 || w[0] == "#" {
			continue
		}
		got := judge(report(t, w[0], now), report(t, w[1], now), now)
		if got != dropReason(strings.TrimSuffix(w[2], "Taken")) {
			t.Errorf("%s: got %q", lines.Text(), got)
		}
	}
}

// TestListJudge feeds list sizes, one a second, and marks those taken.
func TestListJudge(t *testing.T) {
	is := is.New(t)
	var j listJudge
	now := time.Unix(1e9, 0)
	taken, size := "", 0
	for _, n := range []int{20, 0, 0, 19, 5, 21, 11, 4} {
		now = now.Add(time.Second)
		ok := j.accept(1, 1, n, size, now)
		if ok {
			size = n
		}
		taken += map[bool]string{true: "y", false: "n"}[ok]
	}
	is.Equal(taken, "ynnynyyn")
	is.True(j.accept(1, 1, 4, size, now.Add(implausibleFor)))
	is.True(!j.accept(1, 1, 0, 4, now.Add(time.Hour)))
	j = listJudge{}
	is.True(!j.accept(3, 9, 4, 4, now))
	is.True(j.accept(3, 9, 4, 4, now.Add(implausibleFor)))
}

// TestHeld lets two instances read lists of the platform in turn and pass the
// changes on: both end with the same list, whatever was missed between.
func TestHeld(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var a, b held
		truth := map[string]listed{}
		for sequence := uint64(1); sequence < 100; sequence++ {
			name := fmt.Sprint("s", rng.IntN(6))
			if rng.IntN(3) == 0 {
				delete(truth, name)
			} else {
				truth[name] = listed{Name: name, Generation: sequence}
			}
			reader, other := &a, &b
			if rng.IntN(2) == 0 {
				reader, other = other, reader
			}
			if c := reader.read(sequence, time.UnixMilli(int64(sequence)), lo.Values(truth)); c != nil && rng.IntN(2) == 0 {
				other.apply(changeFromMessage(changeToMessage(*c)))
			}
			if rng.IntN(4) == 0 && reader.stamp > other.stamp {
				is.True(other.apply(reader.since(other.stamp)))
				is.True(maps.Equal(other.entries, reader.entries))
			}
			is.True(maps.Equal(reader.entries, truth))
		}
	}
}

// TestListPassedOn lets one instance read a change and the others hear of it.
func TestListPassedOn(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	w := wire{}
	members := &board.Members{}
	for i := range 3 {
		name := fmt.Sprint("i", i)
		members.List = append(members.List, board.Member{Name: name, PeerAddress: name})
		b := &board.Board{}
		b.Members.Publish(members)
		w[name] = New(name, "list", b, web{}, WithPeers(w))
	}
	first := []listed{{Name: "s0", State: "Live"}, {Name: "s1", State: "Live"}}
	for _, c := range w {
		c.takeList(listResponse{Sequence: 1, At: time.UnixMilli(5), Instances: first}, time.UnixMilli(1000))
	}
	second := []listed{{Name: "s0", State: "Leaving"}, {Name: "s1", State: "Live"}}
	w["i0"].takeList(listResponse{Sequence: 2, At: time.UnixMilli(9), Instances: second}, time.UnixMilli(2000))
	for _, name := range []string{"i1", "i2"} {
		// The push was lost; a heartbeat shows the later stamp.
		w[name].board.PeerStatuses.Publish(&board.PeerStatuses{List: []board.PeerStatus{{Name: "i0", PeerAddress: "i0", InstanceListRevision: 9, ListedAt: time.UnixMilli(2000)}}})
		w[name].followSightings(ctx)
		is.Equal(w[name].servers["s0"].State, board.ServerLeaving)
		w[name].followSightings(ctx)
		is.Equal(w[name].board.InstanceList.Get().ListedAt, time.UnixMilli(2000))
	}
}

// web answers GET requests from a table of values by URL.
type web map[string]any

func (w web) Get(_ context.Context, url string, out any) error {
	v, ok := w[url]
	if !ok {
		return errors.New("unreachable")
	}
	text, _ := json.Marshal(v)
	return json.Unmarshal(text, out)
}

// wire passes reports between controllers by address.
type wire map[string]*Controller

func (w wire) Reports(ctx context.Context, address string, req *peer.ReportsRequest) (*peer.ReportsResponse, error) {
	return w[address].Reports(ctx, req)
}

func (w wire) Listing(ctx context.Context, address string, req *peer.ListingRequest) (*peer.ListingResponse, error) {
	return w[address].Listing(ctx, req)
}

// TestSpread lets three instances poll six servers once, and checks that each
// server is polled once and that everybody has every report.
func TestSpread(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	pages, list := web{}, listResponse{Sequence: 1}
	for i := range 6 {
		name, address := fmt.Sprint("s", i), fmt.Sprint("10.0.0.", i)
		list.Instances = append(list.Instances, listed{Name: name, Address: address, Service: "llm", DataCentre: fmt.Sprint("dc", i%3), State: "Live"})
		pages["http://"+address+"/load"] = loadResponse{Server: name, Sequence: 1, At: clock.Now(), Running: i}
	}
	members := &board.Members{}
	for i := range 3 {
		m := board.Member{Name: fmt.Sprint("i", i), PeerAddress: fmt.Sprint("i", i), DataCentre: fmt.Sprint("dc", i)}
		members.List = append(members.List, m)
		list.Instances = append(list.Instances, listed{Name: m.Name, PeerAddress: m.Name, Service: OwnService, DataCentre: m.DataCentre, State: "Live"})
	}
	pages["http://list/instances"] = list
	w := wire{}
	polls := 0
	for _, m := range members.List {
		b := &board.Board{}
		b.Members.Publish(members)
		w[m.Name] = New(m.Name, "list", b, pages, WithClock(clock), WithPeers(w), WithRand(rand.New(rand.NewPCG(1, 2))))
	}
	for _, m := range members.List {
		w[m.Name].readList(ctx)
		polls += len(w[m.Name].targets())
		w[m.Name].pollAll(ctx)
	}
	is.Equal(polls, 6)
	for _, c := range w {
		c.spread(ctx)
	}
	for _, c := range w {
		c.publish()
		is.Equal(len(c.board.InstanceList.Get().List), 3)
		for i, s := range c.board.Servers.Get().List {
			is.Equal(s.Report.Running, i)
		}
		is.Equal(len(c.targets()), 2)
	}
	// When reports stay away, the next instance polls as well.
	clock.Advance(time.Minute)
	members.List[1].DataCentre = "dc0"
	w["i1"].board.Members.Publish(members)
	is.Equal(len(w["i1"].targets()), 6-2)
}

// TestServerAtNewAddress drops the report of a server that moved.
func TestServerAtNewAddress(t *testing.T) {
	is := is.New(t)
	c := New("i", "list", &board.Board{}, web{}, WithClock(clockwork.NewFakeClock()))
	entry := listed{Name: "s", Address: "a", Service: "llm", State: "Live"}
	c.takeList(listResponse{Sequence: 1, Instances: []listed{entry}}, c.clock.Now())
	is.Equal(c.take("s", board.LoadReport{Sequence: 5, ReceivedAt: time.Unix(1, 0)}), taken)
	is.Equal(c.take("t", board.LoadReport{}), dropUnknown)
	entry.Address = "b"
	c.takeList(listResponse{Sequence: 2, Instances: []listed{entry}}, c.clock.Now())
	is.Equal(c.servers["s"].Report.Sequence, uint64(0))
	c.takeList(listResponse{Sequence: 1, Instances: []listed{{Name: "x"}}}, c.clock.Now())
	is.Equal(len(c.servers), 1)
}

// TestReceiversAreBounded counts whom one instance sends reports to.
func TestReceiversAreBounded(t *testing.T) {
	is := is.New(t)
	members := &board.Members{}
	for i := range 360 {
		members.List = append(members.List, board.Member{Name: fmt.Sprint("i", i), DataCentre: fmt.Sprint("dc", i%16), Region: fmt.Sprint("r", i%4)})
	}
	is.Equal(len(receivers("i0", members)), 22+3+3)
}
