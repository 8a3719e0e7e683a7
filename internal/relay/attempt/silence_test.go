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

// direction is a way in which a connection can go silent for good.
type direction int

const (
	both direction = iota
	requestsLost
	answersLost
	// probed is both, found by the kernel after limit.
	probed
)

const firstByteLimit = 5 * time.Second

// network connects to piped servers by name, and can lose track of all the
// connections that are open at a moment.
type network struct {
	mu      sync.Mutex
	servers map[string]*fakeServer
	conns   []*pipeConn
}

// pipeConn is a connection that can go silent.
type pipeConn struct {
	net.Conn
	mu     sync.Mutex
	silent map[direction]bool
	closed chan struct{}
	once   sync.Once
}

func (c *pipeConn) lost(d direction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent[both] || c.silent[d]
}

func (c *pipeConn) Read(p []byte) (int, error) {
	for {
		if c.lost(probed) {
			time.Sleep(firstByteLimit)
			return 0, syscall.ETIMEDOUT
		}
		if c.lost(answersLost) {
			<-c.closed
			return 0, net.ErrClosed
		}
		n, err := c.Conn.Read(p)
		if c.lost(answersLost) {
			continue
		}
		return n, err
	}
}

func (c *pipeConn) Write(p []byte) (int, error) {
	if c.lost(requestsLost) || c.lost(probed) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *pipeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (n *network) dial(_ context.Context, address string) (net.Conn, error) {
	client, server := net.Pipe()
	c := &pipeConn{Conn: client, silent: map[direction]bool{}, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	n.servers[address].take(server)
	return c, nil
}

// loseTrack silences every connection that is open now.
func (n *network) loseTrack(d direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.mu.Lock()
		c.silent[d] = true
		c.mu.Unlock()
	}
}

func target(address string) Target {
	return Target{Server: address, Address: address, DataCentre: "gulberg"}
}

func ask(c *Client, address string) error {
	_, err := c.Chat(context.Background(), target(address), ChatRequest{AttemptID: "a1", Body: []byte(chatBody)}, nil)
	return err
}

// askMany makes so many attempts at once.
func askMany(c *Client, address string, count int) (failed int) {
	var wg sync.WaitGroup
	errs := make(chan error, count)
	for range count {
		wg.Go(func() { errs <- ask(c, address) })
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

func newNetwork(t *testing.T, script []string, addresses ...string) *network {
	n := &network{servers: map[string]*fakeServer{}}
	for _, a := range addresses {
		n.servers[a] = newPipedServer(t, script...)
	}
	return n
}

func (n *network) stop() {
	for _, f := range n.servers {
		f.stop()
	}
}

var slowWhole = []string{"read", "sleep 1s", "whole"}

// TestBlackHoleOnPooledConnections loses track of every pooled connection. The
// first attempts miss one limit; everything after dials anew.
func TestBlackHoleOnPooledConnections(t *testing.T) {
	for _, way := range []direction{both, requestsLost, answersLost, probed} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(t, slowWhole, "one", "two", "three")
			defer n.stop()
			limit := firstByteLimit
			if way == probed {
				limit = time.Hour
			}
			c := New(WithDial(n.dial), WithLimits(Limits{FirstByte: limit}))
			defer c.Close()
			for _, a := range []string{"one", "two", "three"} {
				is.Equal(askMany(c, a, 8), 0)
			}
			n.loseTrack(way)
			began := time.Now()
			err := ask(c, "one")
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, FirstByteTimeout)
			is.Equal(e.State, call.MayHaveRun)
			is.Equal(time.Since(began), firstByteLimit) // one limit
			is.NoErr(ask(c, "one"))                     // a new connection
			is.Equal(askMany(c, "one", 8), 0)           // the cohort is gone with it
			is.True(ask(c, "two") != nil)               // the second server to fall silent
			is.Equal(askMany(c, "three", 8), 0)         // condemns the data centre's
			is.Equal(askMany(c, "two", 8), 0)
		})
	}
}

// TestProvenConnectionsStay keeps connections that worked after the silence of
// another one began.
func TestProvenConnectionsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, slowWhole, "one")
		defer n.stop()
		c := New(WithDial(n.dial), WithLimits(Limits{FirstByte: 5 * time.Second}))
		defer c.Close()
		is.NoErr(ask(c, "one"))
		n.loseTrack(both)
		done := make(chan error)
		go func() { done <- ask(c, "one") }()
		time.Sleep(time.Second)
		is.NoErr(ask(c, "one"))
		is.True(<-done != nil)
		is.NoErr(ask(c, "one"))
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
				n := newNetwork(t, tc.script, "one")
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

// TestSlowCaller has a caller that takes an hour for a token. The engine is
// held up, not blamed, and what is read ahead stays within the buffers.
func TestSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, []string{"read", "stream", "flood"}, "one")
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
				ahead = max(ahead, f.flooded-ch.Token)
				f.mu.Unlock()
				return nil
			}
			return gone
		})
		is.True(errors.Is(err, gone))
		is.Equal(taken, 50)
		const smallestEvent = 80 // bytes
		is.True(ahead <= 2*readBuffer/smallestEvent)
	})
}

// TestLateAnswer has a server send a second answer, of another attempt, after
// each. It is dropped with its connection or refused as crossed.
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
