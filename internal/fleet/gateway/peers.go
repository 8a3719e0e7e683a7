package gateway

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/billing/tally"
	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/release/verdict"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

// peers is how instances tell each other what is of use for a moment: datagrams
// that may be lost, come twice or late. Nothing that must hold depends on them.
type peers struct {
	gateway *Gateway
	conn    net.PacketConn

	mu sync.Mutex
	// told is the own work that the reader was last told.
	told dispatch.Backlog
}

// message is one datagram. A part that is missing says nothing.
type message struct {
	From string
	// Sequence grows with each message of one run of an instance; Run tells
	// runs apart.
	Run      int64
	Sequence int64
	// Pending is the sender's work that waits at each server.
	Pending dispatch.Backlog `json:",omitzero"`
	// Group is that of all instances that belong to the sender, a reader;
	// Total that of the whole fleet.
	Group dispatch.Backlog `json:",omitzero"`
	Total dispatch.Backlog `json:",omitzero"`
	// Tally is the sender's running count of what it bills.
	Tally *tally.Tally `json:",omitzero"`
	// Evidence is the sender's on one roll-out.
	Evidence *evidenceMessage `json:",omitzero"`
	// Sessions are those of a roll-out's trial that ran at the sender.
	Sessions []sessionMessage `json:",omitzero"`
}

// evidenceMessage is one instance's evidence on its way to the driver. Counts
// grow only, so that a lost message does no harm.
type evidenceMessage struct {
	Service  string
	Order    int64
	Evidence verdict.Evidence
}

// sessionMessage says that a session's request ran on a version.
type sessionMessage struct {
	Service string
	Session string
	Version string
}

const (
	// datagramBytes bounds one datagram.
	datagramBytes = 32 << 10
	// shareEvery is how often an instance tells its pending work: often
	// against the second or two that a long prompt takes.
	shareEvery = 250 * time.Millisecond
	// groupPrefix tells sums from a single instance's word.
	groupPrefix = "group/"
)

var peerMessages = expvar.NewMap("PeerMessages")

// open listens at the peer address.
func (p *peers) open() error {
	conn, err := net.ListenPacket("udp", p.gateway.Settings.PeerAddress)
	p.conn = conn
	return err
}

// receive takes in datagrams until the connection is closed.
func (p *peers) receive() {
	buf := make([]byte, datagramBytes)
	for {
		n, _, err := p.conn.ReadFrom(buf)
		if err != nil {
			return // closed at the stop
		}
		var m message
		if err := json.Unmarshal(buf[:n], &m); err != nil {
			peerMessages.Add("Unreadable", 1)
			continue
		}
		peerMessages.Add("Received", 1)
		p.take(&m)
	}
}

func (p *peers) take(m *message) {
	g := p.gateway
	now := g.Clock.Now()
	if m.Pending != nil {
		g.dispatcher.UpdatePeer(m.From, m.Run, m.Sequence, m.Pending, now)
	}
	if m.Group != nil {
		g.dispatcher.UpdatePeer(groupPrefix+m.From, m.Run, m.Sequence, m.Group, now)
	}
	if m.Total != nil {
		p.mu.Lock()
		others := m.Total.Subtract(p.told)
		p.mu.Unlock()
		g.dispatcher.UpdateTotal(m.From, m.Run, m.Sequence, others, now)
	}
	if m.Evidence != nil {
		g.releases.merge(m.From, *m.Evidence)
	}
	if m.Tally != nil {
		g.bills.copies.Merge(*m.Tally)
	}
	for _, s := range m.Sessions {
		g.releases.seen(s)
	}
}

// send sends a message to one instance.
func (p *peers) send(address string, m *message) {
	if address == "" || p.conn == nil {
		return
	}
	m.From, m.Run = p.gateway.Settings.Instance, p.gateway.run
	raw, err := json.Marshal(m)
	if err != nil || len(raw) > datagramBytes {
		p.gateway.Log.Warn("PeerMessageTooLarge", zap.Int("Bytes", len(raw)), zap.Error(err))
		return
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err == nil {
		_, err = p.conn.WriteTo(raw, to)
	}
	if err != nil {
		peerMessages.Add("NotSent", 1)
		return
	}
	peerMessages.Add("Sent", 1)
}

// broadcast sends a message to all other instances.
func (p *peers) broadcast(m *message) {
	for name, i := range p.gateway.fleet().Instances {
		if name != p.gateway.Settings.Instance {
			p.send(i.PeerAddress, m)
		}
	}
}

// run shares the pending work until the context ends.
func (p *peers) run(ctx context.Context) {
	g := p.gateway
	for sequence := int64(1); ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(jitter(shareEvery)):
			p.share(sequence)
		}
	}
}

// share tells this instance's pending work: to all in a small fleet, else to
// its reader. A reader adds up its group, exchanges the sums with the other
// readers, and tells its group the total, so that what one instance sends and
// gets does not grow with the fleet.
func (p *peers) share(sequence int64) {
	g := p.gateway
	own := g.dispatcher.Backlog()
	instances := g.fleet().Instances
	if len(instances) <= smallFleet {
		p.broadcast(&message{Sequence: sequence, Pending: own})
		return
	}
	reader, found := g.feeds.reader()
	if !found {
		return
	}
	if reader.Name != g.Settings.Instance {
		p.mu.Lock()
		p.told = own
		p.mu.Unlock()
		p.send(reader.PeerAddress, &message{Sequence: sequence, Pending: own})
		return
	}
	p.shareSums(sequence, own, instances)
}

// shareSums is a reader's part of share.
func (p *peers) shareSums(sequence int64, own dispatch.Backlog, instances map[string]follower.Instance) {
	g := p.gateway
	var members, groups []string
	for _, name := range g.dispatcher.ActivePeers(g.Clock.Now()) {
		if strings.HasPrefix(name, groupPrefix) {
			groups = append(groups, name)
		} else {
			members = append(members, name)
		}
	}
	group := g.dispatcher.PeerBacklog(members)
	group.Add(own)
	for _, other := range chooseReaders(instances) {
		if other.Name != g.Settings.Instance {
			p.send(other.PeerAddress, &message{Sequence: sequence, Group: group})
		}
	}
	total := g.dispatcher.PeerBacklog(groups)
	total.Add(group)
	for _, name := range members {
		p.send(instances[name].PeerAddress, &message{Sequence: sequence, Total: total})
	}
}
