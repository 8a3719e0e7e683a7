package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/relay/connection"
)

// Limits on callers' connections. Of the header limits here and in the routing
// table the smaller one applies; a timeout in the routing table replaces the
// default.
const (
	// maxHeaderBytes is several times the 16 KB that routing tables usually
	// allow.
	maxHeaderBytes = 64 << 10
	// defaultHeaderTimeout and defaultIdleTimeout apply where the routing table
	// sets no timeout.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxConnectionTimeout bounds the wait for a header or a new request,
	// whatever the routing table says.
	maxConnectionTimeout = 10 * time.Minute
)

// newCallerServer returns the HTTP server for callers.
func (g *Gateway) newCallerServer() *http.Server {
	timeouts := newCallerTimeouts(g)
	return &http.Server{
		Handler: timeouts.stopHeaderTimer(g.NewHandler(g, g.forwarder)), ConnState: timeouts.trackState, ConnContext: timeouts.connContext,
		BaseContext:    func(net.Listener) context.Context { return g.callContext },
		MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: maxConnectionTimeout, IdleTimeout: maxConnectionTimeout,
		ErrorLog: zap.NewStdLog(g.Log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// callerTimeouts applies the header and idle timeouts of the current routing
// table to callers' connections. The table may change while a connection is open.
type callerTimeouts struct {
	gateway *Gateway

	mu     sync.Mutex
	timers map[net.Conn]*callerTimer
}

// callerTimer closes a connection unless it is stopped before. A timer that has fired but
// has yet to run counts as stopped.
type callerTimer struct {
	clockwork.Timer
	// expired is set once the connection is being closed.
	expired bool
}

func newCallerTimeouts(g *Gateway) *callerTimeouts {
	return &callerTimeouts{gateway: g, timers: map[net.Conn]*callerTimer{}}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// connContext adds the connection to the context of its requests.
func (c *callerTimeouts) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(connection.NewContext(ctx, conn), connKey{}, conn)
}

// trackState is called when a connection changes its state. A connection is
// idle until the first byte of a request, which starts the header timeout.
func (c *callerTimeouts) trackState(conn net.Conn, state http.ConnState) {
	header, idle := c.timeouts()
	connection.TrackState(conn, state)
	switch state {
	case http.StateNew, http.StateIdle:
		c.startTimer(conn, idle)
	case http.StateActive:
		c.startTimer(conn, header)
	default:
		c.forgetTimer(conn)
	}
}

// timeouts returns the header and idle timeouts that currently apply.
func (c *callerTimeouts) timeouts() (header, idle time.Duration) {
	header, idle = defaultHeaderTimeout, defaultIdleTimeout
	if t := c.gateway.Table(); t != nil {
		if t.Limits.HeaderTimeout > 0 {
			header = t.Limits.HeaderTimeout
		}
		if t.Limits.IdleTimeout > 0 {
			idle = t.Limits.IdleTimeout
		}
	}
	return header, idle
}

// startTimer closes the connection after the timeout. It replaces an earlier
// timer of the connection.
func (c *callerTimeouts) startTimer(conn net.Conn, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.timers[conn]; old != nil {
		if old.expired {
			return
		}
		old.Stop()
	}
	t := &callerTimer{}
	c.timers[conn] = t
	t.Timer = c.gateway.Clock.AfterFunc(timeout, func() { c.expire(conn, t) })
}

// expire closes the connection if the timer is still its current one.
func (c *callerTimeouts) expire(conn net.Conn, t *callerTimer) {
	c.mu.Lock()
	current := c.timers[conn] == t
	t.expired = current
	c.mu.Unlock()
	if current {
		conn.Close()
	}
}

// stopTimer stops the connection's timer, if there is one. It reports false if the timer
// has expired, so that the connection is closed.
func (c *callerTimeouts) stopTimer(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.timers[conn]
	if t == nil {
		return true
	}
	if t.expired {
		return false
	}
	t.Stop()
	delete(c.timers, conn)
	return true
}

// forgetTimer drops the timer of a connection that is closed or no longer the server's.
func (c *callerTimeouts) forgetTimer(conn net.Conn) {
	c.stopTimer(conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.timers, conn)
}

// stopHeaderTimer returns a handler that stops the header timer, as the header
// has been read, and calls next. A request that crosses the close of its connection is
// dropped: it must not run without an answer.
func (c *callerTimeouts) stopHeaderTimer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok && !c.stopTimer(conn) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
