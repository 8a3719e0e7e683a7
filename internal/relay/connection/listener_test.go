package connection

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/relay/memory"
)

// fixture is a listener with a fake clock, and the connections that it accepts.
type fixture struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	listener *Listener
	inner    *oneListener
}

func newFixture(t *testing.T, limit int, b *memory.Budget) *fixture {
	fx := &fixture{t: t, clock: clockwork.NewFakeClock(), inner: &oneListener{conns: make(chan net.Conn, 1)}}
	fx.listener = NewListener(fx.inner, limit, WithClock(fx.clock), WithMemory(b))
	t.Cleanup(func() { fx.listener.Close() })
	return fx
}

// connect returns both ends of a new connection.
func (fx *fixture) connect() (client net.Conn, server *Conn) {
	fx.t.Helper()
	client, inner := net.Pipe()
	fx.inner.conns <- inner
	accepted, err := fx.listener.Accept()
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.t.Cleanup(func() { client.Close() })
	return client, accepted.(*Conn)
}

// send writes from the client and reads at the server. It returns the error of the server.
func (fx *fixture) send(client net.Conn, server *Conn, text string) error {
	fx.t.Helper()
	go func() { _, _ = io.WriteString(client, text) }() // the error is the server's close
	for left := len(text); left > 0; {
		n, err := server.Read(make([]byte, 4<<10))
		if err != nil {
			return err
		}
		left -= n
	}
	return nil
}

func isClosed(c *Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// At the limit, the connection that has waited longest for its client makes room. One that is
// at work doesn't, nor one whose client has just sent something.
func TestEviction(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 3, memory.New(1<<20))
	_, working := fx.connect()
	is.True(working.BeginWork())
	fx.clock.Advance(time.Second)
	_, silent := fx.connect()
	client, sending := fx.connect()
	fx.clock.Advance(time.Second)
	is.NoErr(fx.send(client, sending, "GET"))
	fx.clock.Advance(minStall / 5)
	_, fourth := fx.connect()
	is.True(isClosed(silent))
	is.True(!isClosed(working) && !isClosed(sending) && !isClosed(fourth))
	is.True(!silent.BeginWork()) // its request must not run
	is.Equal(fx.listener.Open(), 3)

	working.EndWork()
	fx.clock.Advance(time.Second)
	_, _ = fx.connect()
	is.True(isClosed(sending)) // it has sent no more
	is.True(!isClosed(working))
}

// Single bytes now and then are no progress.
func TestDribbleIsNoProgress(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 1, memory.New(1<<20))
	client, slow := fx.connect()
	for range 10 {
		is.NoErr(fx.send(client, slow, "a"))
		fx.clock.Advance(minStall / 5)
	}
	_, _ = fx.connect()
	is.True(isClosed(slow))
}

// While all connections are at work, a new one waits until one is done.
func TestNewConnectionWaits(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 1, memory.New(1<<20))
	_, first := fx.connect()
	is.True(first.BeginWork())
	accepted := make(chan *Conn)
	go func() {
		_, c := fx.connect()
		accepted <- c
	}()
	is.NoErr(fx.clock.BlockUntilContext(t.Context(), 1))
	fx.clock.Advance(time.Minute)
	is.True(!isClosed(first))
	first.Close()
	is.True(!isClosed(<-accepted))
}

// A request that lacks memory gets that of a client that makes no progress, and nothing of a
// request at work.
func TestReclaim(t *testing.T) {
	is := is.New(t)
	b := memory.New(100)
	fx := newFixture(t, 10, b)
	_, working := fx.connect()
	_, stalled := fx.connect()
	_, asking := fx.connect()
	is.True(working.Reserve(50) && working.BeginWork())
	is.True(stalled.Reserve(40))
	is.True(!asking.Reserve(30)) // the other may still make progress
	fx.clock.Advance(minStall)
	is.True(asking.Reserve(30))
	is.True(isClosed(stalled) && !isClosed(working))
	is.Equal(b.Used(), int64(80))
	is.True(!asking.Reserve(30))
	working.Close()
	asking.Close()
	is.Equal(b.Used(), int64(0))
}

// The memory of a head is reserved while it arrives, and given back when its request has
// ended. A head that finds no memory is refused as not run.
func TestHeadsAreReserved(t *testing.T) {
	is := is.New(t)
	b := memory.New(1 << 20)
	fx := newFixture(t, 10, b)
	fields := strings.Repeat("a:\r\n", 2000)
	client, c := fx.connect()
	is.NoErr(fx.send(client, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.Equal(b.Used(), int64(0)) // an ordinary head is small
	c.EndRequest()
	is.NoErr(fx.send(client, c, "GET / HTTP/1.1\r\n"+fields))
	is.True(b.Used() >= int64(2000*fieldBytes))
	is.NoErr(fx.send(client, c, "\r\n"))
	is.True(b.Used() >= int64(2000*fieldBytes))
	c.EndRequest()
	is.Equal(b.Used(), int64(0))

	is.NoErr(fx.send(client, c, "GET / HTTP/1.1\r\n"+fields))
	other, refused := fx.connect()
	answer := make(chan string)
	go func() {
		buffer := make([]byte, 1<<10)
		n, _ := other.Read(buffer)
		answer <- string(buffer[:n])
	}()
	is.True(fx.send(other, refused, "GET / HTTP/1.1\r\n"+fields+fields) != nil)
	is.Equal(<-answer, refusal)
	c.Close()
	is.Equal(b.Used(), int64(0))
}

// A connection on which requests were sent ahead is closed between two of them if a new one
// waits for room.
func TestRequestsSentAhead(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 1, memory.New(1<<20))
	client, ahead := fx.connect()
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	is.NoErr(fx.send(client, ahead, request+request+request))
	is.True(ahead.BeginWork())
	ahead.EndWork()
	ahead.EndRequest()
	is.True(!isClosed(ahead)) // nobody waits
	is.True(ahead.BeginWork())
	accepted := make(chan *Conn)
	go func() {
		_, c := fx.connect()
		accepted <- c
	}()
	is.NoErr(fx.clock.BlockUntilContext(t.Context(), 1))
	is.True(!isClosed(ahead)) // its request is at work
	ahead.EndWork()
	ahead.EndRequest()
	is.True(isClosed(ahead))
	is.True(!isClosed(<-accepted))
}
