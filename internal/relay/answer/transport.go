package answer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Conn checks the heads of the answers that are read from a connection. A read that finds a
// malformed head fails with a *HeadError.
type Conn struct {
	net.Conn
	mu   sync.Mutex
	head HeadChecker
}

// NewConn returns a Conn that checks nothing before ExpectHead.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, head: HeadChecker{complete: true}} }

// ExpectHead makes the connection check the head that comes next. It is called before a request
// is written.
func (c *Conn) ExpectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = HeadChecker{}
}

// Read implements net.Conn. It returns nothing of the bytes that come with a malformed head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.head.Check(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// Transport is an http.Transport that checks the heads of answers over HTTP/1 without TLS.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that uses t, whose DialContext it replaces.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.ExpectHead()
		}
	}})
	return t.Transport.RoundTrip(req.WithContext(ctx))
}
