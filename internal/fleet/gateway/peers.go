package gateway

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/billing/tally"
	"github.com/kingcupyard/kingcupyard/internal/fleet/document"
	"github.com/kingcupyard/kingcupyard/internal/release/verdict"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
	"github.com/kingcupyard/kingcupyard/internal/routing/quarantine"
	"github.com/kingcupyard/kingcupyard/internal/routing/share"
	"github.com/kingcupyard/kingcupyard/internal/routing/sizing"
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
	// lastUses holds the customers' uses as last sent to it.
	lastUses share.Uses
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
	// Uses, GroupUses and TotalUses are the same for the customers' uses of services, of
	// which each holds the heaviest.
	Uses      share.Uses `json:",omitzero"`
	GroupUses share.Uses `json:",omitzero"`
	TotalUses share.Uses `json:",omitzero"`
	// Confidence, GroupConfidence and TotalConfidence are the same for the confidence that
	// models report.
	Confidence      sizing.Counts `json:",omitzero"`
	GroupConfidence sizing.Counts `json:",omitzero"`
	TotalConfidence sizing.Counts `json:",omitzero"`
	// Tally is the sender's tally, or a part of its entries.
	Tally *tally.Tally `json:",omitzero"`
	// Evidence is the sender's evidence on one rollout.
	Evidence *evidenceMessage `json:",omitzero"`
	// Crashes is the sender's evidence on prompt parts that crash servers.
	Crashes *quarantine.Report `json:",omitzero"`
	// Notices holds what servers have lately said about themselves, by their IDs.
	Notices map[string]dispatch.NoticeReport `json:",omitzero"`
	// Speeds holds what servers have stated of their speed.
	Speeds *speedsMessage `json:",omitzero"`
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
	// Servers holds the new version's counts by server. Instances of earlier versions leave
	// it out.
	Servers map[string]verdict.Counts `json:",omitzero"`
	// Sent counts the requests that the sender sent. Instances of earlier versions leave it
	// out.
	Sent verdict.Traffic
	// Elapsed is how long the sender has known the order.
	Elapsed time.Duration `json:",omitzero"`
}

// sent returns the number of requests that the sender sent: at least those that were
// answered.
func (m *evidenceMessage) sent() verdict.Traffic {
	answered := m.Evidence.Traffic()
	return verdict.Traffic{Old: max(m.Sent.Old, answered.Old), New: max(m.Sent.New, answered.New)}
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
	// maxBacklogBytes bounds the backlog in one datagram. Servers with less work than
	// others are left out.
	maxBacklogBytes = maxDatagramBytes - 2<<10
	// minBacklogInterval is the time between reports of an instance's backlog in a small
	// deployment. It is short compared to the time that a prompt takes: instances that
	// know of each other's work late send theirs to the same servers.
	// intervalPerServer is added for each server, since reports grow with them.
	minBacklogInterval = 100 * time.Millisecond
	intervalPerServer  = 50 * time.Microsecond
	// noticeInterval and speedInterval are the times between reports of notices and of
	// speeds.
	noticeInterval = 500 * time.Millisecond
	speedInterval  = time.Second
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
	p.handleUses(m, now)
	p.handleConfidence(m, now)
	if m.Notices != nil {
		g.dispatcher.MergeNotices(m.Notices, now)
	}
	if m.Speeds != nil {
		p.mergeSpeeds(m, now)
	}
	if m.Evidence != nil {
		g.rollouts.storePeerEvidence(senderRun{m.From, m.Run}, *m.Evidence)
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

// run reports the backlog and, less often, what else instances tell each other, until the
// context ends.
func (p *peers) run(ctx context.Context) {
	g := p.gateway
	others := []struct {
		interval time.Duration
		share    func(sequence int64)
		at       time.Time
	}{
		{interval: noticeInterval, share: func(int64) { p.shareNotices() }},
		{interval: speedInterval, share: p.shareSpeeds},
		{interval: confidenceInterval, share: p.shareConfidence},
		{interval: useInterval, share: p.shareUses},
	}
	for sequence := int64(1); ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(jitter(p.backlogInterval())):
			g.protect("Share", func() {
				now := g.Clock.Now()
				p.shareBacklog(sequence)
				for i := range others {
					if o := &others[i]; now.Sub(o.at) >= o.interval {
						o.at = now
						o.share(sequence)
					}
				}
			})
		}
	}
}

// backlogInterval returns the time between reports of the backlog.
func (p *peers) backlogInterval() time.Duration {
	servers := 0
	if l := p.gateway.follower.View.Servers.Get(); l != nil {
		servers = len(l.ByID)
	}
	return minBacklogInterval + time.Duration(servers)*intervalPerServer
}

// shareBacklog passes the backlogs on, so that the traffic of an instance does not grow with
// the fleet.
func (p *peers) shareBacklog(sequence int64) {
	d := p.gateway.dispatcher
	sumPath[dispatch.Backlog]{
		own: func(time.Time) dispatch.Backlog { return d.Backlog().Largest(maxBacklogBytes) },
		sum: func(sources []string, value dispatch.Backlog, _ time.Time) dispatch.Backlog {
			sum := d.PeerBacklog(sources)
			sum.Add(value)
			return sum
		},
		reported: func(own dispatch.Backlog) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.lastReported = own
		},
		message: func(stage sumStage, b dispatch.Backlog) *message {
			b = b.Largest(maxBacklogBytes)
			switch stage {
			case groupSum:
				return &message{Group: b}
			case fleetSum:
				return &message{Total: b}
			}
			return &message{Pending: b}
		},
	}.share(p, sequence)
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
