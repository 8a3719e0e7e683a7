package gateway

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/release/verdict"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

// peers is how instances tell each other what is of use for a moment: datagrams
// that may be lost, come twice or late. Nothing that must hold depends on them.
type peers struct {
	gateway *Gateway
	conn    net.PacketConn
}

// message is one datagram. A part that is missing says nothing.
type message struct {
	From string
	// Sequence grows with each message of one run of an instance; Run tells
	// runs apart.
	Run      int64
	Sequence int64
	// Pending is the sender's work that waits at each server.
	Pending map[string]dispatch.Pending `json:",omitempty"`
	// Evidence is the sender's on one roll-out.
	Evidence *evidenceMessage `json:",omitempty"`
	// Sessions are those of a roll-out's trial that ran at the sender.
	Sessions []sessionMessage `json:",omitempty"`
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
	// shareEvery is how often an instance tells its pending work, for each
	// instance that hears it: the messages that one instance gets in a second
	// do not grow with the fleet.
	shareEvery      = 30 * time.Millisecond
	shareEveryLeast = 200 * time.Millisecond
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
	if m.Pending != nil {
		g.dispatcher.Peer(m.From, m.Run, m.Sequence, m.Pending, g.Clock.Now())
	}
	if m.Evidence != nil {
		g.releases.merge(m.From, *m.Evidence)
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
	sequence, quiet := int64(0), false
	for {
		pause := max(shareEveryLeast, time.Duration(len(g.members()))*shareEvery)
		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(jitter(pause)):
		}
		pending := g.dispatcher.Pending()
		if len(pending) == 0 && quiet {
			continue
		}
		quiet = len(pending) == 0
		sequence++
		p.broadcast(&message{Sequence: sequence, Pending: pending})
	}
}
