package attempt

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// ForwardRequest is one attempt at a call that is passed on as it came.
type ForwardRequest struct {
	RequestID string
	Method    string
	// URI is the path and query as the caller sent them.
	URI  string
	Host string
	// Header is sent as it is, but for the length.
	Header http.Header
	Body   []byte
	// Stream asks for an answer that is read event by event.
	Stream bool
	// ResumeFrom is the number of the last event that the caller has.
	ResumeFrom int
	// AllowReuse allows a connection that was used before.
	AllowReuse bool
	Limits     Limits
	Dialect    Dialect
	// BeforeWrite is as in Chat.
	BeforeWrite func() error
	// ConfirmTimeout is asked before the attempt is given up for the server's
	// silence; if it declines, the server gets the same time again. It may
	// block.
	ConfirmTimeout func(Stall) bool
}

// Dialect reads what the head of a server's answer says beyond HTTP.
type Dialect interface {
	Read(status int, header http.Header) Metadata
}

// Metadata is what a server says of an answer and of itself.
type Metadata struct {
	// RequestID names the request that is answered; empty if it is not said.
	RequestID string
	// Signed says that the answer carries the server's signature.
	Signed bool
	// NotRun says that the server did not run the request.
	NotRun bool
	// Misdirected says that another server has the address.
	Misdirected bool
	Load        *Load
	// Confidence is the model's opinion of its answer, 0 to 100; -1 if it is
	// not said.
	Confidence int
	// IdleLimit is how long the server keeps an idle connection; 0 if it is
	// not said.
	IdleLimit time.Duration
}

// Load is a server's own count of its work when it answered.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Head is the status line and header of an answer.
type Head struct {
	Status   int
	Header   http.Header
	Metadata Metadata
}

// ForwardAnswer is the answer of a forwarded call. Body is empty if its events went
// to the sink.
type ForwardAnswer struct {
	Head
	Body []byte
	// LastEvent is the number of the last event delivered.
	LastEvent int
	// FirstEvent is the time from the start of the attempt to the first event
	// or to the head of an answer without events.
	FirstEvent time.Duration
}

// EventSink takes the events of a forwarded call. Head comes once, before the
// first event; its error declines the answer. Both are called from one
// goroutine, and nothing more is read while they block.
type EventSink interface {
	Head(h Head) error
	Event(number int, raw []byte) error
}

const (
	// maxStray is how many answers to other requests are skipped on one
	// connection before it is given up.
	maxStray = 3
	// maxWhole is the size of a request in bytes up to which it is written in
	// one piece. A larger one is written while the answer is awaited, since a
	// server may answer before it has read everything.
	maxWhole = 16 << 10
)

// Forward runs one attempt. The reply is valid beside an error of the kind
// Status: it is then the server's own failure.
func (c *Client) Forward(ctx context.Context, target Target, f ForwardRequest, sink EventSink) (ForwardAnswer, error) {
	x := c.newExchange(target, f.RequestID, f.Limits, nil)
	x.delivered, x.before = f.ResumeFrom, f.BeforeWrite
	if err := x.connect(ctx, f.AllowReuse); err != nil {
		return ForwardAnswer{}, err
	}
	x.conn.askBefore(f.ConfirmTimeout)
	sent, err := x.sendForward(f)
	if err != nil {
		return ForwardAnswer{}, err
	}
	resp, head, err := x.receiveForward(f)
	if err != nil {
		return ForwardAnswer{}, err
	}
	// The exchange closes the connection itself, or keeps it for the next one.
	defer resp.Body.Close()
	x.conn.keepFor(head.Metadata.IdleLimit)
	reply := ForwardAnswer{Head: head, LastEvent: f.ResumeFrom, FirstEvent: x.elapsed()}
	switch {
	case head.Metadata.NotRun:
		return reply, x.declined(resp, reply, sent)
	case head.Status >= http.StatusMultipleChoices:
		return x.failedForward(resp, reply, sent)
	case !head.Metadata.Signed || head.Header.Get("Content-Encoding") != "":
		return reply, x.fail(Unsigned, errUnsigned)
	case f.Stream:
		return x.readEvents(resp, reply, sink, sent)
	}
	return x.readForward(resp, reply, sent)
}

// Reachable reports whether a server takes a new connection within the limit. A
// server that is busy does, one that is gone does not.
func (c *Client) Reachable(ctx context.Context, address string, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	nc, err := c.dial(ctx, address)
	if err != nil {
		return false
	}
	connections.Add("Probed", 1)
	nc.Close()
	return true
}

var errUnsigned = errors.New("the answer is not signed or not in the form that was asked for")

// Write writes the request line, the header and the body.
func (f *ForwardRequest) Write(w *bufio.Writer) error {
	head := f.Method + " " + f.URI + " HTTP/1.1\r\nHost: " + f.Host + "\r\n"
	if len(f.Body) > 0 || f.Method != http.MethodGet && f.Method != http.MethodHead {
		head += "Content-Length: " + strconv.Itoa(len(f.Body)) + "\r\n"
	}
	if _, err := w.WriteString(head); err != nil {
		return err
	}
	if err := f.Header.Write(w); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	_, err := w.Write(f.Body)
	return err
}

// sendForward writes the request. The channel is closed once all of it is
// written.
func (x *exchange) sendForward(f ForwardRequest) (<-chan struct{}, error) {
	sent := make(chan struct{})
	if len(f.Body) <= maxWhole {
		if err := x.send(&f); err != nil {
			return nil, err
		}
		close(sent)
		return sent, nil
	}
	if err := x.prepare(); err != nil {
		return nil, err
	}
	x.conn.arm(FirstByteTimeout, x.limits.Write+x.limits.FirstByte)
	go func() {
		w := bufio.NewWriter(x.conn)
		if f.Write(w) == nil && w.Flush() == nil {
			close(sent)
		}
	}()
	return sent, nil
}

// receiveForward reads the head of the answer, skipping late answers to other
// requests.
func (x *exchange) receiveForward(f ForwardRequest) (*http.Response, Head, error) {
	asked := &http.Request{Method: f.Method}
	for stray := 0; ; {
		resp, err := http.ReadResponse(x.conn.reader, asked)
		if err != nil {
			return nil, Head{}, x.fail(x.headKind(), err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		head := Head{Status: resp.StatusCode, Header: resp.Header, Metadata: f.Dialect.Read(resp.StatusCode, resp.Header)}
		got := head.Metadata.RequestID
		if got == f.RequestID || got == "" && resp.StatusCode >= http.StatusBadRequest {
			return resp, head, nil
		}
		crossed := &MismatchError{Want: f.RequestID, Got: got}
		if stray++; stray > maxStray || resp.Close {
			return nil, Head{}, x.fail(CrossedAnswer, crossed)
		}
		connections.Add("StrayAnswers", 1)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, Head{}, x.fail(CrossedAnswer, crossed)
		}
	}
}

// headKind says how reading the head of an answer failed. A connection that
// ends before the head is no truncated answer.
func (x *exchange) headKind() Kind {
	if kind := x.conn.readKind(); kind != Truncated {
		return kind
	}
	return Reset
}

// declined ends an attempt whose server says that it did not run the request.
func (x *exchange) declined(resp *http.Response, reply ForwardAnswer, sent <-chan struct{}) error {
	x.state = call.NotRun
	kind := Refused503
	if reply.Metadata.Misdirected {
		kind = Misdirected
	}
	x.conn.arm(ProgressTimeout, x.limits.Progress)
	body, err := x.readAll(resp, errorBodyBytes)
	x.finish(err == nil && kind != Misdirected && x.reusable(resp, sent))
	failures.Add(string(kind), 1)
	return &Error{Kind: kind, Server: x.target.Server, State: call.NotRun, LastDelivered: x.delivered, Status: reply.Status, Body: body}
}

// failedForward reads a server's own failure whole.
func (x *exchange) failedForward(resp *http.Response, reply ForwardAnswer, sent <-chan struct{}) (ForwardAnswer, error) {
	x.advance(call.Ran)
	reply, err := x.readForward(resp, reply, sent)
	if err != nil {
		return ForwardAnswer{}, err
	}
	failures.Add(string(Status), 1)
	return reply, &Error{Kind: Status, Server: x.target.Server, State: call.Ran, LastDelivered: x.delivered, Status: reply.Status}
}

// readForward reads an answer whole.
func (x *exchange) readForward(resp *http.Response, reply ForwardAnswer, sent <-chan struct{}) (ForwardAnswer, error) {
	x.advance(call.Ran)
	x.conn.arm(ProgressTimeout, x.limits.Progress)
	body, err := x.readAll(resp, x.limits.MaxAnswerBytes)
	if err != nil {
		return ForwardAnswer{}, err
	}
	reply.Body = body
	x.finish(x.reusable(resp, sent))
	return reply, nil
}

// readAll reads a body of at most limit bytes to its proper end.
func (x *exchange) readAll(resp *http.Response, limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(&progressReader{src: resp.Body, x: x}, int64(limit)+1))
	switch {
	case err != nil:
		return nil, x.fail(x.bodyKind(err), err)
	case len(body) > limit:
		return nil, x.fail(AnswerTooLarge, errAnswerTooLarge)
	}
	return body, nil
}

func (x *exchange) bodyKind(err error) Kind {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return Truncated
	}
	return x.conn.readKind()
}

// reusable reports whether the connection may carry another request: the
// server has not said that it closes it, and it has read all of this one.
func (x *exchange) reusable(resp *http.Response, sent <-chan struct{}) bool {
	select {
	case <-sent:
		return !resp.Close
	default:
		return false
	}
}

// readEvents hands on events in order until the answer's proper end.
func (x *exchange) readEvents(resp *http.Response, reply ForwardAnswer, sink EventSink, sent <-chan struct{}) (ForwardAnswer, error) {
	x.advance(call.Ran)
	x.conn.disarm()
	if err := sink.Head(reply.Head); err != nil {
		return reply, x.fail(Unwanted, err)
	}
	x.conn.arm(ProgressTimeout, x.limits.FirstByte)
	events := eventReader{src: bufio.NewReaderSize(resp.Body, readBuffer)}
	begun := false
	for {
		number, raw, err := events.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return reply, x.fail(x.bodyKind(err), err)
		}
		if number > 0 {
			if err := x.checkOrder(number, reply.LastEvent); err != nil {
				return reply, err
			}
			reply.LastEvent = number
		}
		if !begun {
			begun, reply.FirstEvent = true, x.elapsed()
		}
		x.conn.disarm()
		if err := sink.Event(number, raw); err != nil {
			return reply, x.fail(CallerGone, err)
		}
		x.delivered = reply.LastEvent
		x.conn.arm(ProgressTimeout, x.limits.Progress)
	}
	x.finish(x.reusable(resp, sent))
	return reply, nil
}

// checkOrder refuses events out of sequence.
func (x *exchange) checkOrder(number, last int) error {
	switch {
	case number > last+1:
		return x.fail(SequenceGap, &SequenceError{Got: number, Last: last})
	case number <= last:
		return x.fail(SequenceRepeat, &SequenceError{Got: number, Last: last})
	}
	return nil
}

// SequenceError reports an event out of sequence.
type SequenceError struct {
	Got  int
	Last int
}

func (e *SequenceError) Error() string {
	return "event " + strconv.Itoa(e.Got) + " after event " + strconv.Itoa(e.Last)
}

var (
	errEventTooLarge = errors.New("event is too large")
	eventNumberField = []byte("id:")
)

// eventReader splits a body into server-sent events, byte for byte.
type eventReader struct {
	src *bufio.Reader
}

// next returns the number of the next event, 0 if it has none, and its bytes
// with the blank line that ends it. Bytes after the last whole event are an
// io.ErrUnexpectedEOF.
func (r *eventReader) next() (number int, raw []byte, err error) {
	for {
		line, err := r.src.ReadSlice('\n')
		raw = append(raw, line...)
		if len(raw) > eventBytes {
			return 0, nil, errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return 0, nil, err
		}
		if value, ok := bytes.CutPrefix(line, eventNumberField); ok {
			number, err = strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil {
				return 0, nil, err
			}
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(raw) > len(line) {
			return number, raw, nil
		}
	}
}
