package attempt

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// lossMode is how a connection loses data without an error.
type lossMode int

const (
	loseBoth lossMode = iota
	loseRequests
	loseAnswers
	// loseBothWithKeepalive loses both directions. The kernel's keep-alive
	// reports it after firstByteLimit.
	loseBothWithKeepalive
)

const firstByteLimit = 5 * time.Second

// pipeNetwork connects to piped servers by name. It can make all open connections
// lose data.
type pipeNetwork struct {
	mu      sync.Mutex
	servers map[string]*fakeServer
	conns   []*pipeConn
}

// pipeConn is a connection that can lose data without an error.
type pipeConn struct {
	net.Conn
	mu     sync.Mutex
	losses map[lossMode]bool
	closed chan struct{}
	once   sync.Once
}

func (c *pipeConn) loses(mode lossMode) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.losses[loseBoth] || c.losses[mode]
}

func (c *pipeConn) Read(p []byte) (int, error) {
	for {
		if c.loses(loseBothWithKeepalive) {
			time.Sleep(firstByteLimit)
			return 0, syscall.ETIMEDOUT
		}
		if c.loses(loseAnswers) {
			<-c.closed
			return 0, net.ErrClosed
		}
		n, err := c.Conn.Read(p)
		if c.loses(loseAnswers) {
			continue
		}
		return n, err
	}
}

func (c *pipeConn) Write(p []byte) (int, error) {
	if c.loses(loseRequests) || c.loses(loseBothWithKeepalive) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *pipeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (n *pipeNetwork) dial(_ context.Context, address string) (net.Conn, error) {
	client, server := net.Pipe()
	c := &pipeConn{Conn: client, losses: map[lossMode]bool{}, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	n.servers[address].handle(server)
	return c, nil
}

// blackhole makes every connection that is open now lose data.
func (n *pipeNetwork) blackhole(mode lossMode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.mu.Lock()
		c.losses[mode] = true
		c.mu.Unlock()
	}
}

func target(address string) Target {
	return Target{Server: address, Address: address, DataCentre: "gulberg"}
}

func sendChat(c *Client, address string) error {
	_, err := c.Chat(context.Background(), target(address), ChatRequest{AttemptID: "a1", Body: []byte(chatBody)}, nil)
	return err
}

// sendChats makes count attempts concurrently and returns how many failed.
func sendChats(c *Client, address string, count int) (failed int) {
	var wg sync.WaitGroup
	errs := make(chan error, count)
	for range count {
		wg.Go(func() { errs <- sendChat(c, address) })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			failed++
		}
	}
	return failed
}

func newPipeNetwork(t *testing.T, script []string, addresses ...string) *pipeNetwork {
	n := &pipeNetwork{servers: map[string]*fakeServer{}}
	for _, a := range addresses {
		n.servers[a] = newPipedServer(t, script...)
	}
	return n
}

func (n *pipeNetwork) stop() {
	for _, f := range n.servers {
		f.stop()
	}
}

var slowAnswer = []string{"read", "sleep 1s", "whole"}

// TestBlackHoleOnPooledConnections guards against attempts that time out one after
// another on pooled connections that lose data. The first attempt misses one timeout
// and evicts the other connections to its address; after a second server stalls,
// all those of the data centre are evicted.
func TestBlackHoleOnPooledConnections(t *testing.T) {
	for _, mode := range []lossMode{loseBoth, loseRequests, loseAnswers, loseBothWithKeepalive} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newPipeNetwork(t, slowAnswer, "one", "two", "three")
			defer n.stop()
			limit := firstByteLimit
			if mode == loseBothWithKeepalive {
				limit = time.Hour
			}
			c := New(WithDial(n.dial), WithLimits(Limits{FirstByte: limit}))
			defer c.Close()
			for _, a := range []string{"one", "two", "three"} {
				is.Equal(sendChats(c, a, 8), 0)
			}
			n.blackhole(mode)
			began := time.Now()
			err := sendChat(c, "one")
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, FirstByteTimeout)
			is.Equal(e.State, call.MayHaveRun)
			is.Equal(time.Since(began), firstByteLimit) // a single timeout
			is.NoErr(sendChat(c, "one"))                // a new connection
			is.Equal(sendChats(c, "one", 8), 0)         // the address's idle connections are evicted
			is.True(sendChat(c, "two") != nil)          // the second server to stall
			is.Equal(sendChats(c, "three", 8), 0)       // evicts those of the data centre
			is.Equal(sendChats(c, "two", 8), 0)
		})
	}
}

// TestActiveConnectionsStayPooled guards against evicting a connection on which
// bytes have arrived since another connection to the same address stalled.
func TestActiveConnectionsStayPooled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newPipeNetwork(t, slowAnswer, "one")
		defer n.stop()
		c := New(WithDial(n.dial), WithLimits(Limits{FirstByte: 5 * time.Second}))
		defer c.Close()
		is.NoErr(sendChat(c, "one"))
		n.blackhole(loseBoth)
		done := make(chan error)
		go func() { done <- sendChat(c, "one") }()
		time.Sleep(time.Second)
		is.NoErr(sendChat(c, "one"))
		is.True(<-done != nil)
		is.NoErr(sendChat(c, "one"))
		accepted, _ := n.servers["one"].seen()
		is.Equal(accepted, 2)
	})
}

func TestLimits(t *testing.T) {
	cases := []struct {
		name   string
		script []string
		kind   Kind
		after  time.Duration
		tokens int
	}{
		{"no first token", []string{"read", "stream", "silent"}, FirstByteTimeout, 5 * time.Second, 0},
		{"comments are no progress", []string{"read", "stream", "token 1", "sleep 1s", "comment", "sleep 1s", "comment", "silent"}, ProgressTimeout, 2 * time.Second, 1},
		{"silence between tokens", []string{"read", "stream", "token 1", "sleep 1s", "token 2", "silent"}, ProgressTimeout, 3 * time.Second, 2},
		{"nothing is read", []string{"silent"}, WriteTimeout, 3 * time.Second, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newPipeNetwork(t, tc.script, "one")
				defer n.stop()
				c := New(WithDial(n.dial), WithLimits(Limits{Write: 3 * time.Second, FirstByte: 5 * time.Second, Progress: 2 * time.Second}))
				began := time.Now()
				chat := ChatRequest{AttemptID: "a1", Body: []byte(chatBody), Stream: true}
				_, err := c.Chat(context.Background(), target("one"), chat, func(Chunk) error { return nil })
				var e *Error
				is.True(errors.As(err, &e))
				is.Equal(e.Kind, tc.kind)
				is.Equal(e.LastDelivered, tc.tokens)
				is.Equal(time.Since(began), tc.after)
			})
		})
	}
}

func TestDialTimeoutIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := New(WithLimits(Limits{Connect: time.Second}), WithDial(func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}))
		p := new(call.Progress)
		_, err := c.Plain(context.Background(), target("one"), PlainRequest{AttemptID: "a1", Method: "POST", Path: "/", Progress: p})
		var e *Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, DialTimeout)
		is.Equal(e.State, call.NotRun)
		is.Equal(p.State(), call.NotRun)
	})
}

// TestSlowCaller streams to a caller that takes an hour for each token. The attempt
// must not time out, and the client must not read ahead more than its buffers hold.
func TestSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newPipeNetwork(t, []string{"read", "stream", "flood"}, "one")
		defer n.stop()
		c := New(WithDial(n.dial))
		ahead, taken := 0, 0
		gone := errors.New("gone")
		_, err := c.Chat(context.Background(), target("one"), ChatRequest{AttemptID: "a1", Body: []byte(chatBody), Stream: true}, func(ch Chunk) error {
			taken++
			if taken < 50 {
				time.Sleep(time.Hour)
				f := n.servers["one"]
				f.mu.Lock()
				ahead = max(ahead, f.lastFlooded-ch.Token)
				f.mu.Unlock()
				return nil
			}
			return gone
		})
		is.True(errors.Is(err, gone))
		is.Equal(taken, 50)
		const smallestEvent = 80 // bytes
		is.True(ahead <= 2*readBufferSize/smallestEvent)
	})
}

// TestLateAnswer guards against returning another attempt's answer. The server sends
// a second answer, with another attempt's ID, after each answer. The second one is
// either dropped with its connection or fails the next attempt as CrossedAnswer.
func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t, "read", "whole", "late")
	c := New()
	defer c.Close()
	chat := ChatRequest{AttemptID: "a1", Body: []byte(chatBody)}
	for range 50 {
		answer, err := c.Chat(context.Background(), f.target(), chat, nil)
		var e *Error
		if errors.As(err, &e) {
			is.Equal(e.Kind, CrossedAnswer)
			continue
		}
		is.NoErr(err)
		is.True(strings.Contains(string(answer.Body), `"id":"a1"`))
	}
}
