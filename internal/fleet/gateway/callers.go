package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// callersShare is the part of the descriptors that callers' connections may
// take; the rest is for servers, the store and other instances.
const callersShare = 0.5

func (g *Gateway) callersLimit() int {
	return max(1, int(callersShare*float64(g.Settings.MaxFileDescriptors)))
}

// Limits on callers' connections. The routing table states its own, which hold
// if they are stricter, or for times if there are any.
const (
	// mostHeaderBytes is several times the 16 KB that tables usually allow.
	mostHeaderBytes = 64 << 10
	// usualHeaderTimeout and usualIdleTimeout hold where the table says
	// nothing.
	usualHeaderTimeout = 3 * time.Second
	usualIdleTimeout   = 60 * time.Second
	// mostTimeout ends connections whatever the table says.
	mostTimeout = 10 * time.Minute
)

func (g *Gateway) callersServer() *http.Server {
	callers := &callerTimes{gateway: g, timers: map[net.Conn]clockwork.Timer{}}
	return &http.Server{
		Handler: callers.handler(g.NewHandler(g, g.forwarder)), ConnState: callers.state, ConnContext: callers.context,
		MaxHeaderBytes: mostHeaderBytes, ReadHeaderTimeout: mostTimeout, IdleTimeout: mostTimeout,
		ErrorLog: zap.NewStdLog(g.Log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// callerTimes holds callers' connections to the times of the routing table in
// force, which may change while they are open.
type callerTimes struct {
	gateway *Gateway

	mu     sync.Mutex
	timers map[net.Conn]clockwork.Timer
}

type connKey struct{}

func (c *callerTimes) context(ctx context.Context, conn net.Conn) context.Context {
	if c.gateway.ConnContext != nil {
		ctx = c.gateway.ConnContext(ctx, conn)
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// state follows a connection: it is idle until a request's first byte, which
// starts the time for the request's header.
func (c *callerTimes) state(conn net.Conn, s http.ConnState) {
	header, idle := c.limits()
	switch s {
	case http.StateNew, http.StateIdle:
		c.arm(conn, idle)
	case http.StateActive:
		c.arm(conn, header)
	default:
		c.disarm(conn)
	}
}

func (c *callerTimes) limits() (header, idle time.Duration) {
	header, idle = usualHeaderTimeout, usualIdleTimeout
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

func (c *callerTimes) arm(conn net.Conn, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.timers[conn]; old != nil {
		old.Stop()
	}
	c.timers[conn] = c.gateway.Clock.AfterFunc(limit, func() { conn.Close() })
}

func (c *callerTimes) disarm(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.timers[conn]; old != nil {
		old.Stop()
		delete(c.timers, conn)
	}
}

// handler ends the time for the header once it is there.
func (c *callerTimes) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			c.disarm(conn)
		}
		next.ServeHTTP(w, r)
	})
}
