package connection

import (
	"io"
	"net"
	"net/http"
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
	fx.clock.Advance(defaultPatience / 5)
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
		fx.clock.Advance(defaultPatience / 5)
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
	fx.clock.Advance(defaultPatience)
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

// The head of a request that was sent ahead is not refused in the middle of the answer before.
func TestHeadSentAhead(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 10, memory.New(1<<10))
	client, c := fx.connect()
	is.NoErr(fx.send(client, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.True(c.BeginWork())
	is.NoErr(fx.send(client, c, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 2000)))
	c.EndWork()
	answer := make(chan string)
	go func() {
		buffer := make([]byte, 1<<10)
		n, _ := client.Read(buffer)
		answer <- string(buffer[:n])
	}()
	c.EndRequest()
	is.Equal(<-answer, refusal)
	is.True(isClosed(c))
}

// BenchmarkRequest measures a small request and its answer over loopback, on a listener of the
// standard library and on one of this package.
func BenchmarkRequest(b *testing.B) {
	const request = "POST /x HTTP/1.1\r\nHost: h.example\r\nModel: daka510000\r\nTokens: 1460,80\r\nDeadline: 10000\r\nContent-Length: 5\r\n\r\nhello"
	for name, wrap := range map[string]func(net.Listener) net.Listener{
		"Plain":   func(l net.Listener) net.Listener { return l },
		"Bounded": func(l net.Listener) net.Listener { return NewListener(l, 100, WithMemory(memory.New(1<<20))) },
	} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := &http.Server{ConnContext: NewContext, ConnState: TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c := FromContext(r.Context())
				c.BeginWork()
				defer c.EndWork()
				_, _ = io.Copy(w, r.Body)
			})}
			defer s.Close()
			go func() { _ = s.Serve(wrap(l)) }()
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer client.Close()
			for buffer := make([]byte, 1<<10); b.Loop(); {
				if _, err := io.WriteString(client, request); err != nil {
					b.Fatal(err)
				}
				if _, err := client.Read(buffer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// A connection whose requests can't be told apart any more is closed after the request: heads
// that follow would not be counted.
func TestLostFramingCloses(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 4, memory.New(1<<20))
	client, server := fx.connect()
	is.NoErr(fx.send(client, server, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0"+strings.Repeat(" ", 70)+"\r\n\r\n"))
	server.EndRequest()
	is.True(isClosed(server))
}

// A connection that gives way after a whole answer keeps what the kernel still has to send.
func TestEvictionKeepsTheEndOfAnAnswer(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	clock := clockwork.NewFakeClock()
	l := NewListener(inner, 1, WithClock(clock), WithMemory(memory.New(1<<20)))
	defer l.Close()
	client, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer client.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	server := accepted.(*Conn)
	_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_, err = server.Read(make([]byte, 4<<10))
	is.NoErr(err)
	is.True(server.BeginWork())
	answer := make([]byte, 48<<10) // fits into the kernel's buffers
	_, err = server.Write(answer)
	is.NoErr(err)
	server.EndWork()
	server.EndRequest()
	clock.Advance(time.Minute)
	is.True(l.evictOne())
	got, err := io.ReadAll(client)
	is.NoErr(err)
	is.Equal(len(got), len(answer))
}
