package attempt

import (
	"bufio"
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// exchange is one request and its answer on one connection.
type exchange struct {
	client   *Client
	target   Target
	limits   Limits
	id       string
	progress *call.Progress
	started  time.Time
	state    call.RunState
	conn     *conn
	stop     func() bool
	// before is called right before the first byte is written.
	before func() error
	// delivered is the number of the last token given to the sink.
	delivered int
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

// connect takes a pooled connection or dials a new one.
func (x *exchange) connect(ctx context.Context, pooled bool) error {
	if err := ctx.Err(); err != nil {
		return x.fail(contextKind(err), err)
	}
	if pooled {
		x.conn = x.client.pool.take(x.target.Address, x.started)
	}
	if x.conn == nil {
		if err := x.dial(ctx); err != nil {
			return err
		}
	}
	c := x.conn
	x.stop = context.AfterFunc(ctx, func() { c.abort(contextKind(ctx.Err())) })
	return nil
}

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

func contextKind(err error) Kind {
	if errors.Is(err, context.DeadlineExceeded) {
		return Deadline
	}
	return Cancelled
}

// prepare makes the last check and moves the run state; the first byte may be
// written after it.
func (x *exchange) prepare() error {
	if x.before != nil {
		if err := x.before(); err != nil {
			return x.fail(NotStarted, err)
		}
	}
	x.advance(call.MayHaveRun)
	x.conn.written = 0
	x.conn.arm(WriteTimeout, x.limits.Write)
	return nil
}

// requestWriter is a request that can write itself.
type requestWriter interface {
	Write(w *bufio.Writer) error
}

// send writes the request. The run state moves before the first byte does.
func (x *exchange) send(req requestWriter) error {
	if err := x.prepare(); err != nil {
		return err
	}
	w := bufio.NewWriter(x.conn)
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err == nil {
		x.conn.arm(FirstByteTimeout, x.limits.FirstByte)
		return nil
	}
	if x.conn.written == 0 {
		x.state = call.NotRun
	}
	return x.fail(WriteFailed, err)
}

// receive reads the header of the answer and checks that it is ours.
func (x *exchange) receive(resp *fasthttp.Response) error {
	resp.StreamBody = true
	if err := resp.Read(x.conn.reader); err != nil {
		kind := x.conn.readKind()
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

// MismatchError reports an answer that belongs to another attempt.
type MismatchError struct {
	Want string
	Got  string
}

func (e *MismatchError) Error() string {
	return "answer of attempt " + strconv.Quote(e.Got) + " arrived for attempt " + strconv.Quote(e.Want)
}

// advance moves the state of the attempt and of its request forward.
func (x *exchange) advance(s call.RunState) {
	x.state = max(x.state, s)
	if x.progress != nil {
		x.progress.Advance(s)
	}
}

// fail closes the connection and builds the error; a cause that a watchdog or
// a cancellation left goes before kind.
func (x *exchange) fail(kind Kind, err error) *Error {
	if x.stop != nil {
		x.stop()
	}
	if x.conn != nil {
		kind = x.conn.failure(kind)
		x.conn.abort(kind)
		if since, silent := x.conn.silent(); silent {
			connections.Add("Silent", 1)
			x.client.pool.retire(x.conn, since, x.client.clock.Now())
		}
	}
	failures.Add(string(kind), 1)
	return &Error{Kind: kind, Server: x.target.Server, State: x.state, LastDelivered: x.delivered, Err: err}
}

// finish ends a whole exchange; the connection is kept if reuse is set and
// nothing is left on it.
func (x *exchange) finish(reuse bool) {
	stopped := x.stop()
	if !reuse || !stopped || x.conn.reader.Buffered() > 0 {
		x.conn.abort(Cancelled)
		return
	}
	x.client.pool.put(x.conn, x.client.clock.Now())
}

func (x *exchange) elapsed() time.Duration { return x.client.clock.Since(x.started) }
