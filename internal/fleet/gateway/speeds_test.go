package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/routing/speed"
)

// speedFleet starts the sockets of some of n instances in two data centres. The others are
// only announced.
func speedFleet(t *testing.T, n int, clock clockwork.Clock, chosen func(readers []follower.Instance, all map[string]follower.Instance) []string) []*Gateway {
	is := is.New(t)
	instances := map[string]follower.Instance{}
	for i := range n {
		name := fmt.Sprintf("edge-%d", i)
		instances[name] = follower.Instance{Name: name, DataCentre: []string{"gulberg", "johar"}[i%2]}
	}
	var started []*Gateway
	for _, name := range chosen(chooseReaders(instances), instances) {
		g := newTestGateway(clock)
		i := instances[name]
		g.Settings.Instance, g.Settings.DataCentre, g.Settings.PeerAddress = name, i.DataCentre, "127.0.0.1:0"
		is.NoErr(g.peers.listen())
		t.Cleanup(func() { g.peers.conn.Close() })
		i.PeerAddress = g.peers.conn.LocalAddr().String()
		instances[name] = i
		started = append(started, g)
		go g.peers.receive()
	}
	for _, g := range started {
		publish(g, follower.Fleet{Instances: instances})
	}
	return started
}

// shareUntil lets the instances report until the last of them knows that the server is slow.
func shareUntil(t *testing.T, started []*Gateway, clock *clockwork.FakeClock) {
	last := started[len(started)-1]
	for sequence := int64(1); last.dispatcher.Speeds().Lasting("s", clock.Now()) < 1.5; sequence++ {
		is.New(t).True(sequence < 1000) // it is never told
		for _, g := range started {
			g.peers.shareBacklog(sequence)
			g.peers.shareSpeeds(sequence)
		}
		time.Sleep(2 * time.Millisecond)
		clock.Advance(time.Millisecond)
	}
}

// What a server states to one instance reaches the others, in a small fleet and from a
// member to a member of another reader's group.
func TestSpeedsReachAllInstances(t *testing.T) {
	clock := clockwork.NewFakeClock()
	small := func(_ []follower.Instance, all map[string]follower.Instance) []string {
		return []string{"edge-0", "edge-1"}
	}
	large := func(readers []follower.Instance, all map[string]follower.Instance) []string {
		isReader, names := map[string]bool{}, []string{}
		for _, r := range readers {
			isReader[r.Name] = true
			names = append(names, r.Name)
		}
		for _, dataCentre := range []string{"gulberg", "johar"} {
			for name, i := range all {
				if i.DataCentre == dataCentre && !isReader[name] {
					names = append(names, name)
					break
				}
			}
		}
		return append(names[2:3:3], append(names[:2], names[3])...) // a member, the readers, a member
	}
	for n, chosen := range map[int]func([]follower.Instance, map[string]follower.Instance) []string{2: small, 40: large} {
		started := speedFleet(t, n, clock, chosen)
		for range 20 {
			started[0].dispatcher.Speeds().Observe("s", 2, clock.Now())
		}
		shareUntil(t, started, clock)
	}
}

// A message of an instance of another version says what can be read of it: one that knows
// nothing of speeds, and one that says more than this one knows.
func TestSpeedsOfOtherVersions(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newTestGateway(clock)
	for _, raw := range []string{
		`{"From":"a","Run":1,"Sequence":1,"Pending":{"s":5}}`,
		`{"From":"a","Run":1,"Sequence":2,"Speeds":{}}`,
		`{"From":"a","Run":1,"Sequence":3,"Speeds":{"Own":{"s":[9e99,1]},"Later":{"x":1}}}`,
		`{"From":"a","Run":1,"Sequence":4,"Speeds":{"Own":{"s":{"Log":5},"other":[13863,2000]}}}`,
	} {
		var m message
		is.NoErr(json.Unmarshal([]byte(raw), &m))
		g.peers.handle(&m)
	}
	is.Equal(g.dispatcher.Speeds().Lasting("s", clock.Now()), 1.0)
	is.True(g.dispatcher.Speeds().Lasting("other", clock.Now()) > 1.8)
	known, slowest := g.dispatcher.Speeds().Slowest(1, clock.Now())
	is.Equal(known, 1)
	is.Equal(slowest[0].Server, "other")
	is.Equal(slowest[0].Stated, 0.0) // not to this instance
	is.True(g.dispatcher.Speeds().Report(speed.Group, clock.Now()) != nil)
}
