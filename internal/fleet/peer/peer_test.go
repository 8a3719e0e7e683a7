package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

type fakeHeartbeatHandler struct{ revision int64 }

func (h fakeHeartbeatHandler) Heartbeat(_ context.Context, req *HeartbeatRequest) (*HeartbeatResponse, error) {
	if req.Revision < 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("negative"))
	}
	return &HeartbeatResponse{Revision: h.revision + req.Revision}, nil
}

// listen serves the handler on a loopback address and counts the connections.
func listen(t *testing.T, handler http.Handler) (address string, conns *countingListener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns = &countingListener{Listener: l}
	server := NewServer().HTTPServer()
	server.Handler = handler
	go func() { _ = server.Serve(conns) }()
	t.Cleanup(func() { server.Close() })
	return l.Addr().String(), conns
}

type countingListener struct {
	net.Listener
	accepted atomic.Int32
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	c.accepted.Add(1)
	return conn, err
}

func TestCalls(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	address, _ := listen(t, NewServer(WithKey("k"), WithHeartbeatHandler(fakeHeartbeatHandler{40})).Handler())
	c := NewClient(WithSharedKey("k"), WithTimeout(10*time.Second))
	defer c.Close()
	resp, err := c.Heartbeat(ctx, address, &HeartbeatRequest{Revision: 2})
	is.NoErr(err)
	is.Equal(resp.Revision, int64(42))

	var call *CallError
	_, err = c.Heartbeat(ctx, address, &HeartbeatRequest{Revision: -1})
	is.True(errors.As(err, &call) && call.Answered())
	_, err = c.Pin(ctx, address, &PinRequest{})
	is.Equal(connect.CodeOf(err), connect.CodeUnimplemented)
	_, err = NewClient(WithSharedKey("wrong")).Heartbeat(ctx, address, &HeartbeatRequest{})
	is.Equal(connect.CodeOf(err), connect.CodeUnauthenticated)
	_, err = c.Heartbeat(ctx, "127.0.0.1:1", &HeartbeatRequest{})
	is.True(errors.As(err, &call) && call.NotSent() && !call.Answered())
}

// TestConnectionIsReplacedAfterTimeout checks that a call after a timeout uses a
// new connection. The server does not answer the first call.
func TestConnectionIsReplacedAfterTimeout(t *testing.T) {
	is := is.New(t)
	inner := NewServer(WithHeartbeatHandler(fakeHeartbeatHandler{})).Handler()
	hang := make(chan struct{})
	var firstReceived atomic.Bool
	address, conns := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !firstReceived.Swap(true) {
			<-hang
			return
		}
		inner.ServeHTTP(w, r)
	}))
	defer close(hang)
	c := NewClient(WithTimeout(10 * time.Second))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Heartbeat(ctx, address, &HeartbeatRequest{})
	is.Equal(connect.CodeOf(err), connect.CodeDeadlineExceeded)
	is.Equal(len(c.pools), 0)
	_, err = c.Heartbeat(context.Background(), address, &HeartbeatRequest{})
	is.NoErr(err)
	is.Equal(conns.accepted.Load(), int32(2))
}

// TestExpiredConnectionIsReplaced checks that the client opens a new connection
// when the current one has reached the maximum age.
func TestExpiredConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	address, conns := listen(t, NewServer(WithHeartbeatHandler(fakeHeartbeatHandler{})).Handler())
	c := NewClient(WithClock(clock), WithMaxAge(time.Minute), WithTimeout(10*time.Second))
	for _, step := range []time.Duration{0, time.Second, time.Minute} {
		clock.Advance(step)
		_, err := c.Heartbeat(context.Background(), address, &HeartbeatRequest{})
		is.NoErr(err)
	}
	is.Equal(conns.accepted.Load(), int32(2))
}

type echoHandler struct{}

func (echoHandler) Configuration(_ context.Context, req *ConfigurationRequest) (*ConfigurationResponse, error) {
	return &ConfigurationResponse{Revision: req.DocumentRevision, Document: req.Document}, nil
}

// TestCompression checks that messages below and above the compression threshold
// arrive unchanged when several clients share the compressor pools.
func TestCompression(t *testing.T) {
	is := is.New(t)
	address, _ := listen(t, NewServer(WithConfigurationHandler(echoHandler{})).Handler())
	var wg sync.WaitGroup
	errs := make(chan error, 64)
	for i := range 8 {
		wg.Go(func() {
			c := NewClient(WithTimeout(30 * time.Second))
			defer c.Close()
			for size := range 8 {
				document := bytes.Repeat([]byte{byte(i), 'x'}, 100<<size)
				resp, err := c.Configuration(context.Background(), address, &ConfigurationRequest{Document: document})
				if err == nil && !bytes.Equal(resp.Document, document) {
					err = errors.New("another document came back")
				}
				errs <- err
			}
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		is.NoErr(err)
	}
}
