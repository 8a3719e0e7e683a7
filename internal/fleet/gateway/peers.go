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
	"github.com/kingcupyard/kingcupyard/internal/fleet/document"
	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/release/verdict"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
	"github.com/kingcupyard/kingcupyard/internal/routing/quarantine"
)

// peers exchanges short-lived state with the other instances in datagrams,
// which may be lost, duplicated, reordered or late. No guarantee depends on
// them.
type peers struct {
	gateway *Gateway
	conn    net.PacketConn

	mu sync.Mutex
	// lastReported is this instance's backlog as last sent to its reader.
	lastReported dispatch.Backlog
	// loggedInvalid holds the senders of invalid messages, with the field, that are logged.
	loggedInvalid map[string]bool
}

// message is one datagram. A field that is missing says nothing.
type message struct {
	From string
	// Sequence increases during one run of an instance; Run tells its runs
	// apart.
	Run      int64
	Sequence int64
	// Pending is the sender's backlog at each backend server.
	Pending dispatch.Backlog `json:",omitzero"`
	// Group is the backlog of the instances that follow the sender, a reader,
	// and of the sender itself. Total is the backlog of the fleet.
	Group dispatch.Backlog `json:",omitzero"`
	Total dispatch.Backlog `json:",omitzero"`
	// Tally is the sender's tally, or a part of its entries.
	Tally *tally.Tally `json:",omitzero"`
	// Evidence is the sender's evidence on one rollout.
	Evidence *evidenceMessage `json:",omitzero"`
	// Crashes is the sender's evidence on prompt parts that crash servers.
	Crashes *quarantine.Report `json:",omitzero"`
	// Notices holds what servers have lately said about themselves, by their IDs.
	Notices map[string]dispatch.NoticeReport `json:",omitzero"`
	// Sessions says on which versions sessions ran at the sender during a
	// rollout's canary phase.
	Sessions []sessionMessage `json:",omitzero"`
	// Question asks the receiver for an answer, which is a message of its own.
	Question bool `json:",omitzero"`
}

// evidenceMessage carries one instance's evidence to the driver. The counts are
// cumulative, so that the next message makes up for a lost one.
type evidenceMessage struct {
	Service  string
	Order    int64
	Evidence verdict.Evidence
}

// sessionMessage says on which version a session's request ran.
type sessionMessage struct {
	Service string
	Session string
	Version string
}

const (
	// maxDatagramBytes bounds the size of a datagram.
	maxDatagramBytes = 32 << 10
	// backlogInterval is the time between reports of an instance's backlog. It
	// is short compared to the second or two that a long prompt takes.
	backlogInterval = 250 * time.Millisecond
	// noticeTicks is the number of reports of the backlog for each one of notices.
	noticeTicks = 2
	// groupPrefix marks the name of a reader's group, whose backlog is a sum,
	// apart from the names of single instances.
	groupPrefix = "group/"
)

// peerCounters counts datagrams by outcome.
var peerCounters = expvar.NewMap("PeerMessages")

// listen opens the socket at the peer address.
func (p *peers) listen() error {
	conn, err := net.ListenPacket("udp", p.gateway.Settings.PeerAddress)
	p.conn = conn
	return err
}

// receive handles datagrams until the socket is closed.
func (p *peers) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, addr, err := p.conn.ReadFrom(buf)
		if err != nil {
			return // the instance has stopped and closed the socket
		}
		var m message
		if err := document.DecodeLoosely(buf[:n], &m); err != nil {
			p.logInvalid(addr.String(), err)
			continue
		}
		peerCounters.Add("Received", 1)
		p.gateway.protect("Receive", func() { p.handle(&m) })
		if m.Question {
			p.sendTo(addr, &message{})
		}
	}
}

// handle applies each part of a message.
func (p *peers) handle(m *message) {
	g := p.gateway
	now := g.Clock.Now()
	g.absences.heard(m.From, now)
	if m.Pending != nil {
		g.dispatcher.UpdatePeer(m.From, m.Run, m.Sequence, m.Pending, now)
	}
	if m.Group != nil {
		g.dispatcher.UpdatePeer(groupPrefix+m.From, m.Run, m.Sequence, m.Group, now)
	}
	if m.Total != nil {
		p.mu.Lock()
		rest := m.Total.Subtract(p.lastReported)
		p.mu.Unlock()
		g.dispatcher.UpdateTotal(m.From, m.Run, m.Sequence, rest, now)
	}
	if m.Notices != nil {
		g.dispatcher.MergeNotices(m.Notices, now)
	}
	if m.Evidence != nil {
		g.rollouts.storePeerEvidence(m.From, *m.Evidence)
	}
	if m.Tally != nil {
		g.billing.copies.Merge(*m.Tally)
	}
	if m.Crashes != nil {
		g.crashes.fleet.Merge(*m.Crashes, now)
	}
	for _, s := range m.Sessions {
		g.rollouts.recordPeerSession(s)
	}
}

// send sends a message to one instance. It does nothing without an address or a socket.
func (p *peers) send(address string, m *message) {
	if address == "" || p.conn == nil {
		return
	}
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		peerCounters.Add("NotSent", 1)
		return
	}
	p.sendTo(addr, m)
}

// sendTo sends a message. It drops one that is too large.
func (p *peers) sendTo(addr net.Addr, m *message) {
	m.From, m.Run = p.gateway.Settings.Instance, p.gateway.runID
	raw, err := json.Marshal(m)
	if err != nil || len(raw) > maxDatagramBytes {
		p.gateway.Log.Warn("PeerMessageTooLarge", zap.Int("Bytes", len(raw)), zap.Error(err))
		return
	}
	if _, err := p.conn.WriteTo(raw, addr); err != nil {
		peerCounters.Add("NotSent", 1)
		return
	}
	peerCounters.Add("Sent", 1)
}

// broadcast sends a message to all other instances.
func (p *peers) broadcast(m *message) {
	for name, i := range p.gateway.fleet().Instances {
		if name != p.gateway.Settings.Instance {
			p.send(i.PeerAddress, m)
		}
	}
}

// run reports the backlog and the servers' notices until the context ends.
func (p *peers) run(ctx context.Context) {
	g := p.gateway
	for sequence := int64(1); ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(jitter(backlogInterval)):
			g.protect("Share", func() {
				p.shareBacklog(sequence)
				if sequence%noticeTicks == 0 {
					p.shareNotices()
				}
			})
		}
	}
}

// shareBacklog sends this instance's backlog to all instances in a small fleet,
// otherwise to its reader. A reader sums up its group, exchanges the sums with
// the other readers and sends the total to its group, so that the traffic of an
// instance does not grow with the fleet.
func (p *peers) shareBacklog(sequence int64) {
	g := p.gateway
	local := g.dispatcher.Backlog()
	instances := g.fleet().Instances
	if len(instances) <= smallFleetSize {
		p.broadcast(&message{Sequence: sequence, Pending: local})
		return
	}
	reader, found := g.feeds.reader()
	if !found {
		return
	}
	if reader.Name != g.Settings.Instance {
		p.mu.Lock()
		p.lastReported = local
		p.mu.Unlock()
		p.send(reader.PeerAddress, &message{Sequence: sequence, Pending: local})
		return
	}
	p.shareGroupSums(sequence, local, instances)
}

// shareNotices passes the recent notices of servers on, along the paths of shareBacklog.
// A notice keeps its age on the way, so that it isn't passed on for ever.
func (p *peers) shareNotices() {
	g := p.gateway
	m := &message{Notices: g.dispatcher.RecentNotices(g.Clock.Now())}
	instances := g.fleet().Instances
	reader, found := g.feeds.reader()
	switch {
	case len(m.Notices) == 0:
	case len(instances) <= smallFleetSize:
		p.broadcast(m)
	case !found:
	case reader.Name != g.Settings.Instance:
		p.send(reader.PeerAddress, m)
	default:
		for _, other := range g.index().readers {
			if other.Name != g.Settings.Instance {
				p.send(other.PeerAddress, m)
			}
		}
		for _, name := range g.dispatcher.ActivePeers(g.Clock.Now()) {
			p.send(instances[name].PeerAddress, m) // the names of groups have no address
		}
	}
}

// shareGroupSums is what a reader does in shareBacklog.
func (p *peers) shareGroupSums(sequence int64, local dispatch.Backlog, instances map[string]follower.Instance) {
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
	group.Add(local)
	for _, other := range g.index().readers {
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
