package capacity

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// traffic counts the bytes and calls of one kind.
type traffic struct {
	bytes atomic.Int64
	calls atomic.Int64
}

// countedConn counts what passes through a connection.
type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

const dialTimeout = time.Second

// dialContext returns a dialler whose connections are counted.
func (t *traffic) dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, t}, nil
}

func (t *traffic) dial(address string) (net.Conn, error) {
	return t.dialContext(context.Background(), "tcp", address)
}

var errLost = errors.New("lost on purpose")

// lossy fails a share of the calls before or after they have been answered.
type lossy struct {
	http.RoundTripper
	traffic *traffic
	share   float64
	mu      *sync.Mutex
	rng     *rand.Rand
}

func (l lossy) RoundTrip(req *http.Request) (*http.Response, error) {
	l.traffic.calls.Add(1)
	l.mu.Lock()
	draw := l.rng.Float64()
	l.mu.Unlock()
	if draw < l.share/2 {
		return nil, errLost
	}
	resp, err := l.RoundTripper.RoundTrip(req)
	if err == nil && draw < l.share {
		resp.Body.Close()
		return nil, errLost
	}
	return resp, err
}
