package attempt

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/memory"
)

// exchange is the state of one request and its answer on one connection.
type exchange struct {
	client        *Client
	target        Target
	limits        Limits
	id            string
	progress      *call.Progress
	started       time.Time
	state         call.RunState
	conn          *conn
	stopAfterFunc func() bool
	// beforeWrite, if not nil, is called right before the first byte is written.
	beforeWrite func() error
	// memory is shared with other answers; nil if it isn't bounded.
	memory memory.Reserver
	// headReserved is set once the memory for a large head is reserved.
	headReserved bool
	// lastDelivered is the number of the last token or event passed to the sink.
	lastDelivered int
}

func (c *Client) newExchange(target Target, id string, limits Limits, progress *call.Progress) *exchange {
	return &exchange{
		client:   c,
		target:   target,
		limits:   limits.or(c.limits),
		id:       id,
		progress: progress,
		started:  c.clock.Now(),
	}
}

// connect takes a pooled connection if that is allowed and there is one, and
// dials a new one otherwise. Until the exchange ends, cancelling ctx aborts the
// connection.
func (x *exchange) connect(ctx context.Context, allowReuse bool) error {
	if err := ctx.Err(); err != nil {
		return x.fail(contextKind(err), err)
	}
	if allowReuse {
		x.conn = x.client.pool.get(x.target.Address, x.started)
	}
	if x.conn == nil {
		if err := x.dial(ctx); err != nil {
			return err
		}
	}
	c := x.conn
	x.stopAfterFunc = context.AfterFunc(ctx, func() { c.abort(contextKind(ctx.Err())) })
	return nil
}

// dial opens a new connection within the connect limit.
func (x *exchange) dial(ctx context.Context) error {
	dialCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := x.client.clock.AfterFunc(x.limits.Connect, func() { cancel(errConnectLimit) })
	nc, err := x.client.dial(dialCtx, x.target.Address)
	timer.Stop()
	if err == nil {
		connections.Add("Dialled", 1)
		x.conn = newConn(nc, x.target, x.client.clock)
		return nil
	}
	switch {
	case ctx.Err() != nil:
		return x.fail(contextKind(ctx.Err()), err)
	case errors.Is(context.Cause(dialCtx), errConnectLimit):
		return x.fail(DialTimeout, errConnectLimit)
	}
	return x.fail(classifyDial(err), err)
}

var errConnectLimit = errors.New("connect limit missed")

// contextKind classifies the error of a context.
func contextKind(err error) Kind {
	if errors.Is(err, context.DeadlineExceeded) {
		return Deadline
	}
	return Cancelled
}

// prepareWrite must be called before the first byte is written. It calls
// beforeWrite, advances the run state and arms the write timeout.
func (x *exchange) prepareWrite() error {
	if x.beforeWrite != nil {
		if err := x.beforeWrite(); err != nil {
			return x.fail(NotStarted, err)
		}
	}
	x.advance(call.MayHaveRun)
	x.conn.bytesWritten, x.conn.upload = 0, nil
	x.conn.arm(WriteTimeout, x.limits.Write)
	return nil
}

// writeRequest writes the request and arms the first byte timeout. The run state
// is advanced before the first byte is written; if then no byte leaves, the
// attempt's own state goes back to NotRun.
func (x *exchange) writeRequest(req requestWriter) error {
	if err := x.prepareWrite(); err != nil {
		return err
	}
	err := x.conn.send(req)
	if err == nil {
		x.conn.arm(FirstByteTimeout, x.limits.FirstByte)
		return nil
	}
	if x.conn.bytesWritten == 0 {
		x.state = call.NotRun
	}
	return x.fail(WriteFailed, err)
}

// expectHead makes the connection check and bound the head that comes next.
func (x *exchange) expectHead(limit *headLimit) error {
	x.conn.limitHead(limit)
	if err := x.conn.expectHead(); err != nil {
		return x.fail(Malformed, err)
	}
	return nil
}

// readHeader reads the header of the answer and checks that it carries this
// attempt's ID.
func (x *exchange) readHeader(resp *fasthttp.Response) error {
	if err := x.expectHead(nil); err != nil {
		return err
	}
	resp.StreamBody = true
	if err := resp.Read(x.conn.reader); err != nil {
		kind := x.conn.readErrorKind()
		if kind == Truncated {
			kind = Reset
		}
		return x.fail(kind, err)
	}
	if got := string(resp.Header.Peek(HeaderAttempt)); got != x.id {
		return x.fail(CrossedAnswer, &MismatchError{Want: x.id, Got: got})
	}
	return nil
}

// MismatchError reports an answer or an event with the ID of another attempt or
// request.
type MismatchError struct {
	Want string
	Got  string
}

func (e *MismatchError) Error() string {
	return "answer of attempt " + strconv.Quote(e.Got) + " arrived for attempt " + strconv.Quote(e.Want)
}

// advance moves the run states of the attempt and of its request forward.
func (x *exchange) advance(s call.RunState) {
	x.state = max(x.state, s)
	if x.progress != nil {
		x.progress.Advance(s)
	}
}

// fail closes the connection, counts the failure and returns the error. A cause
// that the watchdog or a cancellation recorded takes precedence over kind. A
// stalled connection also evicts others from the pool.
func (x *exchange) fail(kind Kind, err error) *Error {
	if x.stopAfterFunc != nil {
		x.stopAfterFunc()
	}
	if x.conn != nil {
		kind = x.conn.failureKind(kind)
		x.conn.abort(kind)
		if since, stalled := x.conn.stalled(); stalled {
			connections.Add("Silent", 1)
			x.client.pool.evictStalled(x.conn, since, x.client.clock.Now())
		}
	}
	failures.Add(string(kind), 1)
	return &Error{Kind: kind, Server: x.target.Server, State: x.state, LastDelivered: x.lastDelivered, Err: err}
}

// finish ends a complete exchange. The connection goes back to the pool if reuse
// is true, the context was not cancelled and no unread byte is buffered.
func (x *exchange) finish(reuse bool) {
	stopped := x.stopAfterFunc()
	if !reuse || !stopped || x.conn.reader.Buffered() > 0 {
		x.conn.abort(Cancelled)
		return
	}
	x.client.pool.put(x.conn, x.client.clock.Now())
}

// elapsed returns the time since the attempt started.
func (x *exchange) elapsed() time.Duration { return x.client.clock.Since(x.started) }
