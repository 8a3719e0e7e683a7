package attempt

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// closeRecorder records that the connection was closed.
type closeRecorder struct {
	net.Conn
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return c.Conn.Close()
}

// Idle connections to addresses that are gone, and those that are too old, are closed although
// nothing asks for their addresses again. They took descriptors until a server got the same
// address.
func TestPruneIdleConnections(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	client := New(WithClock(clock), WithPoolLimits(4, 8*time.Second, time.Minute))
	conns := map[string]*closeRecorder{}
	put := func(address string) {
		nc, _ := net.Pipe()
		conns[address] = &closeRecorder{Conn: nc}
		client.pool.put(newConn(conns[address], Target{Address: address}, clock), clock.Now())
	}
	isClosed := func(address string) bool { return conns[address].closed }
	put("gone")
	put("aged")
	clock.Advance(5 * time.Second)
	put("listed")
	listed := map[string]bool{"aged": true, "listed": true}
	client.Prune(listed)
	is.True(isClosed("gone"))
	is.True(!isClosed("aged"))
	is.True(!isClosed("listed"))
	clock.Advance(5 * time.Second)
	client.Prune(listed)
	is.True(isClosed("aged"))
	is.True(!isClosed("listed"))
	is.Equal(len(client.pool.idle), 1)
}
