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

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/memory"
)

// ForwardRequest holds the parameters of one attempt to forward a call
// unchanged.
type ForwardRequest struct {
	RequestID string
	Method    string
	// URI is the path and query as the caller sent them.
	URI  string
	Host string
	// Header is sent unchanged, after Host and a Content-Length computed from Body.
	// A GET or HEAD request without a body has no Content-Length.
	Header http.Header
	Body   []byte
	// Stream selects an answer of server-sent events, which go to the sink one by
	// one.
	Stream bool
	// ResumeFrom is the number of the last event that the caller already has;
	// 0 starts from the beginning.
	ResumeFrom int
	// AllowReuse allows the attempt to use a pooled connection.
	AllowReuse bool
	Limits     Limits
	Dialect    Dialect
	// Memory grants the memory that an answer takes which isn't small; nil grants any amount.
	// It stays taken beyond the attempt, since the answer is used beyond it.
	Memory memory.Reserver
	// BeforeWrite is as in ChatRequest.
	BeforeWrite func() error
	// HeadArrived is called with the head of the answer, before the rest is read. It may
	// be nil.
	HeadArrived func(h Head)
	// ConfirmTimeout is called before the attempt is aborted because the server
	// stalled. If it returns false, the same timeout starts again. It may block.
	ConfirmTimeout func(Stall) bool
}

// Dialect decodes the headers with which a kind of backend server describes its
// answer and itself.
type Dialect interface {
	Read(status int, header http.Header) Metadata
}

// Metadata is what a backend server's headers say about the answer and the server.
type Metadata struct {
	// RequestID is the ID of the request that is answered; empty if unknown.
	RequestID string
	// Signed reports whether the answer carries the server's signature.
	Signed bool
	// NotRun reports whether the server states that it did not run the request.
	NotRun bool
	// ImpliesNotRun reports whether callers conclude from the status alone that the
	// request has not run. It may have, unless NotRun is set.
	ImpliesNotRun bool
	// Misdirected reports whether the address belongs to another server.
	Misdirected bool
	// Load is nil if unknown.
	Load *backend.Load
	// Confidence is the model's confidence in its answer, from 0 to 100, or -1
	// if unknown.
	Confidence int
	// IdleLimit is how long the server keeps an idle connection open, or 0 if
	// unknown.
	IdleLimit time.Duration
	// Notice is what the server says about itself.
	Notice backend.Notice
}

// Head is the status line and header of an answer.
type Head struct {
	Status   int
	Header   http.Header
	Metadata Metadata
}

// ForwardAnswer is the answer to a forwarded call. Body is empty if the events went
// to the sink.
type ForwardAnswer struct {
	Head
	Body []byte
	// LastEvent is the number of the last event read, or ResumeFrom if none was
	// read.
	LastEvent int
	// FirstEvent is the time from the start of the attempt to the first event,
	// or to the head if there is no event.
	FirstEvent time.Duration
}

// EventSink receives the events of a forwarded call. Head is called once, before
// the first event; an error from it ends the attempt as Unwanted. An error from
// Event ends it as CallerGone. Both are called from one goroutine, and nothing
// more is read from the server while they block.
type EventSink interface {
	Head(h Head) error
	Event(number int, raw []byte) error
}

const (
	// maxMismatchedAnswers is how many mismatched answers, which do not carry the
	// request's ID, an attempt skips before it fails.
	maxMismatchedAnswers = 3
	// maxHeadBytes bounds the bytes that are read for one head, including informational
	// answers before it.
	maxHeadBytes = 64 << 10
	// smallHeadBytes is the size of the largest head that takes no shared memory. A larger
	// one takes parsedHeadBytes.
	smallHeadBytes = 2 << 10
	// parsedHeadBytes is the most memory that a head of maxHeadBytes takes once it is
	// parsed: as header lines of a few bytes each, some 16 times its size.
	parsedHeadBytes = 16 * maxHeadBytes
	// smallBodyBytes is the size of the largest buffer for a body, and of the largest event,
	// that takes no shared memory.
	smallBodyBytes = 16 << 10
	// minBodyBuffer is the size of the first buffer for a body.
	minBodyBuffer = 512
	// maxMismatchedBytes bounds the body of a mismatched answer that is skipped.
	maxMismatchedBytes = 256 << 10
	// maxUnread is the time for which a server keeps an answer that remains unread. Past it,
	// the server may cut the answer off.
	maxUnread = time.Second
	// slowCallerMemory is how long an answer that ends early is put down to a caller that was
	// slow to take an event.
	slowCallerMemory = 5 * time.Second
	// maxSyncBodyBytes is the size of the largest body that is written completely
	// before the answer is read. A larger one is written concurrently, since a
	// server may answer before it has read everything.
	maxSyncBodyBytes = 16 << 10
)

// Forward runs one attempt to forward a call. With an Error of the kind Status or
// UnprovenRefusal it also returns the answer, which is the server's own error response.
func (c *Client) Forward(ctx context.Context, target Target, f ForwardRequest, sink EventSink) (ForwardAnswer, error) {
	x := c.newExchange(target, f.RequestID, f.Limits, nil)
	x.lastDelivered, x.beforeWrite, x.memory = f.ResumeFrom, f.BeforeWrite, f.Memory
	if err := x.connect(ctx, f.AllowReuse); err != nil {
		return ForwardAnswer{}, err
	}
	x.conn.setConfirmTimeout(f.ConfirmTimeout)
	if err := x.writeForward(f); err != nil {
		return ForwardAnswer{}, err
	}
	resp, head, err := x.readForwardHead(f)
	if err != nil {
		return ForwardAnswer{}, err
	}
	// This does not close the connection: the exchange closes it or returns it
	// to the pool.
	defer resp.Body.Close()
	x.conn.setIdleLimit(head.Metadata.IdleLimit)
	if f.HeadArrived != nil {
		f.HeadArrived(head)
	}
	answer := ForwardAnswer{Head: head, LastEvent: f.ResumeFrom, FirstEvent: x.elapsed()}
	switch {
	case head.Metadata.NotRun:
		return answer, x.readNotRun(resp, answer)
	case head.Status >= http.StatusMultipleChoices:
		return x.readServerError(resp, answer)
	case !head.Metadata.Signed || head.Header.Get("Content-Encoding") != "":
		return answer, x.fail(Unsigned, errUnsigned)
	case f.Stream:
		return x.readEvents(resp, answer, sink)
	}
	return x.readForwardBody(resp, answer)
}

// Reachable reports whether a new connection to address succeeds within the
// limit. It distinguishes a server that is busy from one that is gone.
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

// Refuses reports whether address refuses new connections: nothing listens there, as
// after a crash. A server that doesn't reply within the limit refuses nothing.
func (c *Client) Refuses(ctx context.Context, address string, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	connections.Add("Probed", 1)
	nc, err := c.dial(ctx, address)
	if err != nil {
		return classifyDial(err) == DialRefused
	}
	nc.Close()
	return false
}

var errUnsigned = errors.New("the answer is not signed or not in the form that was asked for")

// Write writes the request to w: the request line, the header and the body.
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

// writeForward writes the request. A large body may still be in transit when it returns.
func (x *exchange) writeForward(f ForwardRequest) error {
	if len(f.Body) <= maxSyncBodyBytes {
		return x.writeRequest(&f)
	}
	if err := x.prepareWrite(); err != nil {
		return err
	}
	x.conn.arm(FirstByteTimeout, x.limits.Write+x.limits.FirstByte)
	x.conn.beginUpload(&f)
	return nil
}

// readForwardHead reads the head of the answer. It skips mismatched answers, such as
// late answers to other requests, up to maxMismatchedAnswers of them. An error without an
// ID is the answer unless the connection has carried other requests. A head, or what is
// skipped, without end is a malformed answer. So is a head that breaks the rules of HTTP, since
// nothing that follows it can be trusted.
func (x *exchange) readForwardHead(f ForwardRequest) (*http.Response, Head, error) {
	req := &http.Request{Method: f.Method}
	if err := x.expectHead(x.headLimit()); err != nil {
		return nil, Head{}, err
	}
	defer x.conn.limitHead(nil)
	for mismatched := 0; ; {
		resp, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return nil, Head{}, x.fail(x.headErrorKind(err), err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		head := Head{Status: resp.StatusCode, Header: resp.Header, Metadata: f.Dialect.Read(resp.StatusCode, resp.Header)}
		got := head.Metadata.RequestID
		if got == f.RequestID || got == "" && resp.StatusCode >= http.StatusBadRequest && !x.conn.isReused() {
			return resp, head, nil
		}
		mismatch := &MismatchError{Want: f.RequestID, Got: got}
		if mismatched++; mismatched > maxMismatchedAnswers || resp.Close {
			return nil, Head{}, x.fail(CrossedAnswer, mismatch)
		}
		connections.Add("StrayAnswers", 1)
		x.conn.limitHead(&headLimit{bytes: maxMismatchedBytes, small: maxMismatchedBytes})
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, Head{}, x.fail(CrossedAnswer, mismatch)
		}
		if err := x.expectHead(x.headLimit()); err != nil {
			return nil, Head{}, err
		}
	}
}

// headLimit returns the limit for one head.
func (x *exchange) headLimit() *headLimit {
	return &headLimit{bytes: maxHeadBytes, small: smallHeadBytes, reserve: x.reserveHead}
}

// reserveHead reserves the memory for a head that isn't small.
func (x *exchange) reserveHead() error {
	if x.headReserved {
		return nil
	}
	x.headReserved = x.reserve(parsedHeadBytes)
	if !x.headReserved {
		return errNoMemory
	}
	return nil
}

// reserve reserves shared memory and reports whether there was enough.
func (x *exchange) reserve(bytes int) bool { return x.memory == nil || x.memory.Reserve(bytes) }

var errNoMemory = errors.New("the answers in progress take all of the memory for answers")

// headErrorKind classifies a failure to read the head of an answer. A connection
// that ends before the head is a Reset and not a Truncated answer.
func (x *exchange) headErrorKind(err error) Kind {
	if errors.Is(err, errNoMemory) {
		return OutOfMemory
	}
	if kind := x.conn.readErrorKind(); kind != Truncated {
		return kind
	}
	return Reset
}

// readNotRun ends an attempt whose server states that it did not run the request.
func (x *exchange) readNotRun(resp *http.Response, answer ForwardAnswer) error {
	x.state = call.NotRun
	kind := Refused503
	if answer.Metadata.Misdirected {
		kind = Misdirected
	}
	x.conn.arm(ProgressTimeout, x.limits.Progress)
	body, err := x.readAll(resp, maxErrorBodyBytes)
	x.finish(err == nil && kind != Misdirected && x.reusable(resp))
	failures.Add(string(kind), 1)
	return &Error{Kind: kind, Server: x.target.Server, State: call.NotRun, LastDelivered: x.lastDelivered, Status: answer.Status, Body: body}
}

// readServerError reads a server's error answer to its end. An answer from which callers
// would wrongly conclude that the request has not run is an UnprovenRefusal.
func (x *exchange) readServerError(resp *http.Response, answer ForwardAnswer) (ForwardAnswer, error) {
	x.advance(call.Ran)
	answer, err := x.readForwardBody(resp, answer)
	if err != nil {
		return ForwardAnswer{}, err
	}
	kind := Status
	if answer.Metadata.ImpliesNotRun {
		kind = UnprovenRefusal
	}
	failures.Add(string(kind), 1)
	return answer, &Error{Kind: kind, Server: x.target.Server, State: call.Ran, LastDelivered: x.lastDelivered, Status: answer.Status}
}

// readForwardBody reads an answer that is not delivered event by event to its end.
func (x *exchange) readForwardBody(resp *http.Response, answer ForwardAnswer) (ForwardAnswer, error) {
	x.advance(call.Ran)
	x.conn.arm(ProgressTimeout, x.limits.Progress)
	body, err := x.readAll(resp, x.limits.MaxAnswerBytes)
	if err != nil {
		return ForwardAnswer{}, err
	}
	answer.Body = body
	x.finish(x.reusable(resp))
	return answer, nil
}

// readAll reads a body to its end. A body of more than limit bytes is an error.
func (x *exchange) readAll(resp *http.Response, limit int) ([]byte, error) {
	src := &progressReader{src: resp.Body, x: x}
	body := make([]byte, 0, minBodyBuffer)
	for {
		if len(body) > limit {
			return nil, x.fail(AnswerTooLarge, errAnswerTooLarge)
		}
		if len(body) == cap(body) {
			larger, ok := memory.Grow(x.memory, body, limit+1, smallBodyBytes)
			if !ok {
				return nil, x.fail(OutOfMemory, errNoMemory)
			}
			body = larger
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && len(body) <= limit:
			return body, nil
		case err != nil && !errors.Is(err, io.EOF):
			return nil, x.fail(x.bodyErrorKind(err), err)
		}
	}
}

// bodyErrorKind classifies a failure to read a body.
func (x *exchange) bodyErrorKind(err error) Kind {
	switch {
	case errors.Is(err, errNoMemory):
		return OutOfMemory
	case errors.Is(err, io.ErrUnexpectedEOF):
		return Truncated
	}
	return x.conn.readErrorKind()
}

// eventErrorKind classifies a failure to read events. slow is set if the sink was slow.
func (x *exchange) eventErrorKind(err error, slow bool) Kind {
	kind := x.bodyErrorKind(err)
	if slow && (kind == Reset || kind == Truncated) {
		return CallerSlow
	}
	return kind
}

// reusable reports whether the connection may carry another request: this one
// has been written completely, and the server has not announced that it closes
// the connection.
func (x *exchange) reusable(resp *http.Response) bool {
	return x.conn.isWritten() && !resp.Close
}

// readEvents passes the events to the sink until the answer ends. The watchdog is
// stopped while the sink is called, since a slow caller does not mean that the
// server stalled. Comments are passed on too but are no progress: a stalled server may
// send them for ever.
func (x *exchange) readEvents(resp *http.Response, answer ForwardAnswer, sink EventSink) (ForwardAnswer, error) {
	x.advance(call.Ran)
	x.conn.disarm()
	if err := sink.Head(answer.Head); err != nil {
		return answer, x.fail(Unwanted, err)
	}
	x.conn.arm(ProgressTimeout, x.limits.FirstByte)
	events := eventReader{src: bufio.NewReaderSize(resp.Body, readBufferSize), reserve: x.reserve}
	started := false
	var slowAt time.Time // when the caller was last slow to take an event
	for {
		number, raw, err := events.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			slow := !slowAt.IsZero() && x.client.clock.Since(slowAt) < slowCallerMemory
			return answer, x.fail(x.eventErrorKind(err, slow), err)
		}
		if number > 0 {
			if err := x.checkSequence(number, answer.LastEvent); err != nil {
				return answer, err
			}
			answer.LastEvent = number
		}
		comment := isComment(raw)
		if !started && !comment {
			started, answer.FirstEvent = true, x.elapsed()
		}
		x.conn.suspend()
		passedAt := x.client.clock.Now()
		if err := sink.Event(number, raw); err != nil {
			return answer, x.fail(CallerGone, err)
		}
		if x.client.clock.Since(passedAt) >= maxUnread {
			slowAt = x.client.clock.Now()
		}
		x.lastDelivered = answer.LastEvent
		if comment {
			x.conn.resume()
			continue
		}
		x.conn.arm(ProgressTimeout, x.limits.Progress)
	}
	x.finish(x.reusable(resp))
	return answer, nil
}

// checkSequence returns an error if an event is not the one after last.
func (x *exchange) checkSequence(number, last int) error {
	switch {
	case number > last+1:
		return x.fail(SequenceGap, &SequenceError{Got: number, Last: last})
	case number <= last:
		return x.fail(SequenceRepeat, &SequenceError{Got: number, Last: last})
	}
	return nil
}

// SequenceError reports an event that is not the one after Last.
type SequenceError struct {
	Got  int
	Last int
}

func (e *SequenceError) Error() string {
	return "event " + strconv.Itoa(e.Got) + " after event " + strconv.Itoa(e.Last)
}

var (
	errEventTooLarge = errors.New("event is too large")
	eventIDField     = []byte("id:")
)

// isComment reports whether an event has no lines but comments.
func isComment(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventReader splits a body into server-sent events without changing their bytes.
type eventReader struct {
	src *bufio.Reader
	// reserve reserves shared memory for an event that isn't small. All events of the
	// stream use the same, maxEventBytes with what append leaves free.
	reserve  func(bytes int) bool
	reserved bool
}

// next returns the number of the next event, or 0 if it has none, and its bytes
// including the blank line that ends it. If the body ends in the middle of an
// event, the error is io.ErrUnexpectedEOF.
func (r *eventReader) next() (number int, raw []byte, err error) {
	for {
		line, err := r.src.ReadSlice('\n')
		raw = append(raw, line...)
		if len(raw) > maxEventBytes {
			return 0, nil, errEventTooLarge
		}
		if len(raw) > smallBodyBytes && !r.reserved {
			if r.reserved = r.reserve(2 * maxEventBytes); !r.reserved {
				return 0, nil, errNoMemory
			}
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
		if value, ok := bytes.CutPrefix(line, eventIDField); ok {
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
