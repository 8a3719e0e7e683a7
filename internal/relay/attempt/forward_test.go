package attempt

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/memory"
	"github.com/kingcupyard/kingcupyard/internal/standin/script"
	"github.com/kingcupyard/kingcupyard/internal/standin/verbatim"
)

// scriptedDialect decodes the headers of scriptedServer.
type scriptedDialect struct{}

func (scriptedDialect) Read(status int, h http.Header) Metadata {
	return Metadata{
		RequestID: h.Get("Id"), Signed: h.Get("Sealed") != "", Confidence: -1,
		NotRun:        h.Get("NotRun") != "" || status == http.StatusMisdirectedRequest,
		ImpliesNotRun: h.Get("ImpliesNotRun") != "",
		Misdirected:   status == http.StatusMisdirectedRequest,
	}
}

// recordingSink records what it receives, or declines the answer at its head.
type recordingSink struct {
	heads   int
	events  []string
	decline bool
}

func (l *recordingSink) Head(Head) error {
	l.heads++
	if l.decline {
		return errors.New("declined")
	}
	return nil
}

func (l *recordingSink) Event(_ int, raw []byte) error {
	l.events = append(l.events, string(raw))
	return nil
}

// scriptedServer starts a server that answers one request on each connection with
// the given steps and returns its address.
func scriptedServer(t *testing.T, steps []string) string {
	return verbatim.Handle(t, func(c *net.TCPConn) {
		serveScript(c, steps)
		<-t.Context().Done()
	})
}

func serveScript(c *net.TCPConn, steps []string) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		c.Close()
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	for _, step := range steps {
		switch {
		case step == "close":
			c.Close()
			return
		case step == "reset":
			_ = c.SetLinger(0)
			c.Close()
			return
		case strings.HasPrefix(step, "> "):
			text, err := script.Unescape(step[2:])
			if err != nil {
				panic(err)
			}
			_, _ = c.Write([]byte(text))
		}
	}
}

func TestForwardAnswers(t *testing.T) {
	script.Run(t, "testdata/forward.txt", runForward)
}

func runForward(t *testing.T, lines []string) {
	is := is.New(t)
	f := ForwardRequest{RequestID: "r1", Method: http.MethodPost, URI: "/path?q=1", Host: "host.example", Body: []byte("hello"), Dialect: scriptedDialect{}, AllowReuse: true}
	var steps []string
	want := map[string]string{}
	for _, line := range lines {
		switch words := strings.Fields(line); words[0] {
		case "events":
			f.Stream = true
		case "resume":
			f.ResumeFrom, _ = strconv.Atoi(words[1])
		case "expect":
			for _, w := range words[1:] {
				key, value, _ := strings.Cut(w, "=")
				want[key] = value
			}
		default:
			steps = append(steps, line)
		}
	}
	address := scriptedServer(t, steps)
	client := New(WithLimits(Limits{FirstByte: 5 * time.Second, Progress: 5 * time.Second}))
	defer client.Close()
	var list recordingSink
	answer, err := client.Forward(t.Context(), Target{Server: "s", Address: address}, f, &list)
	kind, state := "whole", "Ran"
	var e *Error
	if errors.As(err, &e) {
		kind, state = string(e.Kind), e.State.String()
	}
	is.Equal(kind, want["kind"])
	is.Equal(state, want["state"])
	if body, ok := want["body"]; ok {
		is.Equal(string(answer.Body), body)
	}
	if events, ok := want["events"]; ok {
		is.Equal(strconv.Itoa(len(list.events)), events)
	}
	if reuse, ok := want["reuse"]; ok {
		is.Equal(strconv.FormatBool(client.pool.get(address, time.Now()) != nil), reuse)
	}
}

// TestForwardWritesRequestVerbatim checks that the path, the query and the headers
// are written unchanged and no header is added but Content-Length.
func TestForwardWritesRequestVerbatim(t *testing.T) {
	is := is.New(t)
	f := ForwardRequest{
		Method: "PUT", URI: "/a//b/../c?x=%20&y", Host: "h.example:81", Header: http.Header{"X-One": {"1", "2"}}, Body: []byte("body"),
	}
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	is.NoErr(f.Write(w))
	is.NoErr(w.Flush())
	is.Equal(b.String(), "PUT /a//b/../c?x=%20&y HTTP/1.1\r\nHost: h.example:81\r\nContent-Length: 4\r\nX-One: 1\r\nX-One: 2\r\n\r\nbody")
}

// TestForwardDeclined checks that an error from EventSink.Head ends the attempt and
// closes the connection, which stops the server.
func TestForwardDeclined(t *testing.T) {
	is := is.New(t)
	address := scriptedServer(t, []string{`> HTTP/1.1 200 OK\r\nId: r1\r\nSealed: y\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n`})
	client := New()
	defer client.Close()
	list := recordingSink{decline: true}
	_, err := client.Forward(t.Context(), Target{Server: "s", Address: address},
		ForwardRequest{RequestID: "r1", Method: "POST", URI: "/", Host: "h", Dialect: scriptedDialect{}, Stream: true}, &list)
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, Unwanted)
	is.Equal(len(list.events), 0)
	is.True(client.pool.get(address, time.Now()) == nil)
}

// kindOf returns the kind of an attempt's error, or "whole" if it has none.
func kindOf(err error) string {
	if e := (*Error)(nil); errors.As(err, &e) {
		return string(e.Kind)
	}
	return "whole"
}

// TestForwardEarlyAnswer checks an answer that arrives before the server has read a
// large request. The answer is valid, but the connection is not reused, since the
// rest of the body has not been written.
func TestForwardEarlyAnswer(t *testing.T) {
	is := is.New(t)
	address := verbatim.Handle(t, func(c *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReaderSize(c, 64))
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nNotRun: 1\r\nContent-Length: 0\r\n\r\n")
		<-t.Context().Done()
	})
	client := New()
	defer client.Close()
	_, err := client.Forward(t.Context(), Target{Server: "s", Address: address},
		ForwardRequest{RequestID: "r1", Method: "POST", URI: "/", Host: "h", Dialect: scriptedDialect{}, AllowReuse: true, Body: make([]byte, 64<<20)}, nil)
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, Refused503)
	is.Equal(e.State.String(), "NotRun")
	is.True(client.pool.get(address, time.Now()) == nil)
}

// writeFirstConn is a connection whose reads after the first one wait until a write has failed,
// so that the failure of the connection is reported to the write.
type writeFirstConn struct {
	net.Conn
	read   bool
	failed chan struct{}
}

func (c *writeFirstConn) Read(p []byte) (int, error) {
	if c.read {
		<-c.failed
	}
	c.read = true
	return c.Conn.Read(p)
}

func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		close(c.failed)
	}
	return n, err
}

// An answer without length that arrives while a large request is being written is whole only if
// the server has closed the connection. Callers got the part before a reset as the answer.
func TestEarlyAnswerWithoutLength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nSealed: y\r\n"
	for _, c := range []struct {
		name, answer string
		stream       bool
		// closed is set if the server closes its side, reset if it resets the connection then.
		closed, reset bool
		kind          string
	}{
		{"a body, reset", head + "\r\npart", false, false, true, "Reset"},
		{"events, reset", head + "\r\nid: 1\ndata: a\n\n", true, false, true, "Reset"},
		{"an error, reset", strings.Replace(head, "200", "500", 1) + "\r\npart", false, false, true, "Reset"},
		{"chunks, reset", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false, false, true, "Reset"},
		{"a head, reset", head, false, false, true, "Reset"},
		{"a body with its length, reset", head + "Content-Length: 4\r\n\r\npart", false, false, true, "whole"},
		{"a body, closed", head + "\r\nbody", false, true, false, "whole"},
		{"events, closed", head + "\r\nid: 1\ndata: a\n\n", true, true, false, "whole"},
		{"a body, closed and then reset", head + "\r\nbody", false, true, true, "whole"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := verbatim.Handle(t, func(conn *net.TCPConn) {
				_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 64))
				_, _ = io.WriteString(conn, c.answer)
				if c.closed {
					_ = conn.CloseWrite()
				}
				if c.reset {
					time.Sleep(50 * time.Millisecond) // the answer has arrived, and the write waits
					_ = conn.SetLinger(0)
					return
				}
				<-t.Context().Done()
			})
			client := New(WithDial(func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := dialTCP(ctx, address)
				if !c.reset || err != nil {
					return conn, err
				}
				return &writeFirstConn{Conn: conn, failed: make(chan struct{})}, nil
			}))
			defer client.Close()
			answer, err := client.Forward(t.Context(), Target{Server: "s", Address: address}, ForwardRequest{
				RequestID: "r1", Method: "POST", URI: "/", Host: "h", Dialect: scriptedDialect{}, AllowReuse: true, Stream: c.stream, Body: make([]byte, 64<<20),
			}, &recordingSink{})
			kind := kindOf(err)
			is.Equal(kind, c.kind)
			if kind == "whole" && !c.stream {
				is.Equal(len(answer.Body), len("body"))
			}
			is.True(client.pool.get(address, time.Now()) == nil)
		})
	}
}

// TestConfirmTimeout checks that a stalled attempt is aborted only if the caller
// confirms it; otherwise the timeout starts again. Without this, streams were cut
// although no other attempt could follow (test deployment Csatornakep, run
// trouble-2).
func TestConfirmTimeout(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	near, far := net.Pipe()
	defer far.Close()
	c := newConn(near, Target{}, clock)
	asked, agree := make(chan Stall), make(chan bool)
	c.setConfirmTimeout(func(s Stall) bool {
		asked <- s
		return <-agree
	})
	c.arm(FirstByteTimeout, time.Second)
	for i, answer := range []bool{false, false, true} {
		is.NoErr(clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(time.Second)
		is.Equal(<-asked, Stall{Elapsed: time.Duration(i+1) * time.Second, Limit: time.Second})
		agree <- answer
	}
	_, err := far.Read(make([]byte, 1)) // returns when the connection is closed
	is.True(err != nil)
	is.Equal(c.failureKind(Reset), FirstByteTimeout)
}

// TestProgressDuringConfirmTimeout checks that an attempt goes on if the server
// makes progress while the caller decides about the timeout.
func TestProgressDuringConfirmTimeout(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	near, far := net.Pipe()
	defer far.Close()
	c := newConn(near, Target{}, clock)
	done := make(chan struct{})
	c.setConfirmTimeout(func(Stall) bool {
		clock.Advance(time.Millisecond)
		c.arm(ProgressTimeout, time.Second)
		close(done)
		return true
	})
	c.arm(FirstByteTimeout, time.Second)
	clock.Advance(time.Second)
	<-done
	is.NoErr(clock.BlockUntilContext(t.Context(), 1))
	is.Equal(c.failureKind(Reset), Reset)
}

// Bytes without end, whose server goes on until the connection is closed, end the attempt
// after a bounded number of bytes, long before its timeouts. An endless head was kept in
// memory until the first byte timeout, and an endless series of informational answers
// until the deadline.
func TestEndlessBytes(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nSealed: 1\r\n"
	for _, c := range []struct {
		name          string
		start, repeat string
		stream        bool
		kind          Kind
		maxBytes      int
	}{
		{"status line", "HTTP/1.1 200 ", "x", false, Malformed, maxHeadBytes},
		{"header line", head + "X: ", "x", false, Malformed, maxHeadBytes},
		{"header", head, "X: y\r\n", false, Malformed, maxHeadBytes},
		{"no answer", "", "noise", false, Malformed, maxHeadBytes},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", false, Malformed, maxHeadBytes},
		{"answer to another request", "HTTP/1.1 200 OK\r\nId: r0\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nxxxxx\r\n", false, CrossedAnswer, maxMismatchedBytes},
		{"body", head + "\r\n", "x", false, AnswerTooLarge, defaultMaxAnswerBytes},
		{"chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nxxxxx\r\n", false, AnswerTooLarge, 3 * defaultMaxAnswerBytes},
		{"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", "0", false, Malformed, maxHeadBytes},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n5;", "x", false, Malformed, maxHeadBytes},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", false, Malformed, maxHeadBytes},
		{"event", head + "\r\n", "x", true, Malformed, 2 * maxEventBytes},
		{"error answer", "HTTP/1.1 500 No\r\nId: r1\r\n\r\n", "x", false, AnswerTooLarge, defaultMaxAnswerBytes},
		{"refusal", "HTTP/1.1 503 No\r\nId: r1\r\nNotRun: 1\r\n\r\n", "x", false, Refused503, 2 * maxErrorBodyBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, closed := endlessServer(t, c.start, c.repeat)
			client := New(WithClock(clockwork.NewFakeClock())) // no timeout passes
			_, err := client.Forward(t.Context(), Target{Server: "s", Address: address}, ForwardRequest{
				RequestID: "r1", Method: http.MethodGet, URI: "/", Host: "h", Stream: c.stream, Dialect: scriptedDialect{},
			}, &recordingSink{})
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, c.kind)
			// The server counts what the sockets hold as well.
			const socketBytes = 16 << 20
			is.True(<-closed <= c.maxBytes+socketBytes)
		})
	}
}

// Answers that go on without end hold no more memory together than they may share, while
// small answers take none of it. Each used to be kept up to its own bound, so that a few
// dozen of them took a process over its memory.
func TestEndlessAnswersShareMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nSealed: 1\r\n"
	for _, c := range []struct {
		name string
		// answer is the beginning of an answer that never ends.
		answer string
		stream bool
		// held is the least memory that one such answer takes.
		held int
	}{
		{"body", head + "\r\n" + strings.Repeat("x", 1<<20), false, 1 << 20},
		{"chunked body", head + "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + strings.Repeat("x", 1<<20), false, 1 << 20},
		{"error answer", "HTTP/1.1 500 No\r\nId: r1\r\n\r\n" + strings.Repeat("x", 1<<20), false, 1 << 20},
		{"header", head + strings.Repeat("a:\n", 15<<10), false, parsedHeadBytes},
		{"event", head + "\r\ndata: " + strings.Repeat("x", 200<<10), true, maxEventBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			const attempts, limit = 64, 8 << 20
			budget := memory.New(limit)
			client := New(WithDial(func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go answerRequest(far, c.answer)
				return near, nil
			}))
			ctx, cancel := context.WithCancel(t.Context())
			failed := make(chan Kind, attempts)
			forward := func() error {
				account := budget.Open()
				defer account.Close()
				_, err := client.Forward(ctx, Target{Server: "s"}, ForwardRequest{
					RequestID: "r1", Method: http.MethodGet, URI: "/", Host: "h", Stream: c.stream, Dialect: scriptedDialect{}, Memory: account,
				}, &recordingSink{})
				return err
			}
			for range attempts {
				go func() {
					var e *Error
					is.True(errors.As(forward(), &e))
					failed <- e.Kind
				}()
			}
			// Those that fit wait for the rest of their answers.
			fitting := limit / c.held
			for range attempts - fitting {
				is.Equal(<-failed, OutOfMemory)
			}
			is.True(budget.Used() <= limit)
			cancel()
			waited := 0
			for range fitting {
				if <-failed == Cancelled {
					waited++
				}
			}
			is.True(waited > 0)
			is.Equal(budget.Used(), int64(0))
		})
	}
}

// Small answers need no shared memory.
func TestSmallAnswerNeedsNoMemory(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", smallBodyBytes-1)
	address := scriptedServer(t, []string{`> HTTP/1.1 200 OK\r\nId: r1\r\nSealed: y\r\nContent-Length: ` + strconv.Itoa(len(body)) + `\r\n\r\n` + body})
	answer, err := New().Forward(t.Context(), Target{Server: "s", Address: address}, ForwardRequest{
		RequestID: "r1", Method: http.MethodGet, URI: "/", Host: "h", Dialect: scriptedDialect{}, Memory: memory.New(0).Open(),
	}, nil)
	is.NoErr(err)
	is.Equal(string(answer.Body), body)
}

// answerRequest reads a request and writes the answer. It leaves the connection open.
func answerRequest(c net.Conn, answer string) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.WriteString(c, answer) // the client may close before the end
	}
}

// endlessServer answers with start and then repeats the same bytes until its connection
// is closed. It returns its address and a channel for the number of bytes written.
func endlessServer(t *testing.T, start, repeat string) (address string, written <-chan int) {
	done := make(chan int, 1)
	address = verbatim.Handle(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		total, err := io.WriteString(c, start)
		block := bytes.Repeat([]byte(repeat), 4096)
		for err == nil {
			var n int
			n, err = c.Write(block)
			total += n
		}
		done <- total
	})
	return address, done
}

// An answer without an ID belongs to no request on a connection that has carried others:
// a faulty server may write an earlier refusal once more. Callers were told that a request
// did not run while the server ran it.
func TestRepeatedRefusalOnKeptConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nNotRun: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, repeated, answer, kind, state string
	}{
		{"without an ID", refusal, "HTTP/1.1 200 OK\r\nId: r2\r\nSealed: y\r\nContent-Length: 2\r\n\r\nok", "whole", "Ran"},
		{"with the earlier ID", strings.Replace(refusal, "NotRun", "Id: r1\r\nNotRun", 1), "HTTP/1.1 200 OK\r\nId: r2\r\nSealed: y\r\nContent-Length: 2\r\n\r\nok", "whole", "Ran"},
		{"and no answer", refusal, "", "Reset", "MayHaveRun"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := verbatim.Serve(t, strings.Replace(refusal, "NotRun", "Id: r1\r\nNotRun", 1), c.repeated+c.answer)
			client := New(WithLimits(Limits{FirstByte: 5 * time.Second, Progress: 5 * time.Second}))
			defer client.Close()
			forward := func(id string) error {
				_, err := client.Forward(t.Context(), Target{Server: "s", Address: address},
					ForwardRequest{RequestID: id, Method: "GET", URI: "/", Host: "h", Dialect: scriptedDialect{}, AllowReuse: true}, nil)
				return err
			}
			var e *Error
			is.True(errors.As(forward("r1"), &e))
			is.Equal(e.Kind, Refused503)
			kind, state := "whole", "Ran"
			if errors.As(forward("r2"), &e) {
				kind, state = string(e.Kind), e.State.String()
			}
			is.Equal(kind, c.kind)
			is.Equal(state, c.state)
		})
	}
}

// A server that stops in the middle of an answer's head, at any byte, has given no answer:
// the call may have run, and nothing counts as its result.
func TestHeadCutAnywhere(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: r1\r\nSealed: y\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: r1\r\nSealed: y\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: r1\r\nSealed: y\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nId: r1\r\nNotRun: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\nSealed: y\r\n\r\n",
	} {
		for cut := range len(head) {
			for _, stream := range []bool{false, true} {
				is := is.New(t)
				address := scriptedServer(t, []string{"> " + strings.Trim(strconv.Quote(head[:cut]), `"`), "close"})
				client := New(WithLimits(Limits{FirstByte: 5 * time.Second, Progress: 5 * time.Second}))
				sink := &recordingSink{}
				_, err := client.Forward(t.Context(), Target{Server: "s", Address: address},
					ForwardRequest{RequestID: "r1", Method: "GET", URI: "/", Host: "h", Stream: stream, Dialect: scriptedDialect{}, AllowReuse: true}, sink)
				var e *Error
				is.True(errors.As(err, &e))
				is.Equal(e.State, call.MayHaveRun)
				is.True(e.RetryableElsewhere())
				is.Equal(sink.heads, 0)
				client.Close()
			}
		}
	}
}

// A second copy of a success, which comes late on a connection that is in use again, isn't
// the answer to the next call, whatever it is framed like.
func TestRepeatedSuccessOnKeptConnection(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nId: r2\r\nSealed: y\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		name, repeated, kind string
	}{
		{"with a length", "HTTP/1.1 200 OK\r\nId: r1\r\nSealed: y\r\nContent-Length: 5\r\n\r\nfirst", "whole"},
		{"in chunks", "HTTP/1.1 200 OK\r\nId: r1\r\nSealed: y\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n", "whole"},
		{"twice", strings.Repeat("HTTP/1.1 200 OK\r\nId: r1\r\nSealed: y\r\nContent-Length: 5\r\n\r\nfirst", 2), "whole"},
		{"without an ID", "HTTP/1.1 200 OK\r\nSealed: y\r\nContent-Length: 5\r\n\r\nfirst", "whole"},
		{"cut, and the answer in its place", "HTTP/1.1 200 OK\r\nId: r1\r\nSealed: y\r\nContent-Length: 500\r\n\r\nfirst", "CrossedAnswer"},
		{"to the end of the connection", "HTTP/1.1 200 OK\r\nId: r1\r\nSealed: y\r\n\r\nfirst", "CrossedAnswer"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := verbatim.Serve(t, strings.Replace(sound, "r2", "r1", 1), c.repeated+sound)
			client := New(WithLimits(Limits{FirstByte: 5 * time.Second, Progress: 5 * time.Second}))
			defer client.Close()
			for _, id := range []string{"r1", "r2"} {
				answer, err := client.Forward(t.Context(), Target{Server: "s", Address: address},
					ForwardRequest{RequestID: id, Method: "GET", URI: "/", Host: "h", Dialect: scriptedDialect{}, AllowReuse: true}, nil)
				kind := kindOf(err)
				if id == "r1" {
					is.Equal(kind, "whole")
					continue
				}
				is.Equal(kind, c.kind)
				if kind == "whole" {
					is.Equal(string(answer.Body), "ok")
				}
			}
		})
	}
}

// A stalled server that goes on sending bytes, of an event that it doesn't finish or of
// comments, is abandoned like a silent one. A slow one whose events come within the limit
// isn't, however long the stream lasts.
func TestTricklingStream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nSealed: y\r\nConnection: close\r\n\r\n"
	for _, c := range []struct{ name, part, kind string }{
		{"bytes of one event", "x", string(ProgressTimeout)},
		{"comments", ": still here\n\n", string(ProgressTimeout)},
		{"events", "", "whole"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			const parts = 20
			address := verbatim.Handle(t, func(conn *net.TCPConn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, head+"id: 1\ndata: a\n\n")
				for n := range parts {
					time.Sleep(10 * time.Millisecond) // the event has been read, and the watchdog is armed
					clock.Advance(400 * time.Millisecond)
					part := c.part
					if part == "" {
						part = "id: " + strconv.Itoa(n+2) + "\ndata: a\n\n"
					}
					if _, err := io.WriteString(conn, part); err != nil {
						return
					}
				}
			})
			client := New(WithClock(clock), WithLimits(Limits{Connect: time.Hour, Write: time.Hour, FirstByte: time.Hour, Progress: time.Second}))
			defer client.Close()
			sink := &recordingSink{}
			_, err := client.Forward(t.Context(), Target{Server: "s", Address: address},
				ForwardRequest{RequestID: "r1", Method: "GET", URI: "/", Host: "h", Stream: true, Dialect: scriptedDialect{}}, sink)
			kind := kindOf(err)
			is.Equal(kind, c.kind)
			if kind == "whole" {
				is.Equal(len(sink.events), parts+1)
			}
		})
	}
}

// slowSink takes its time for each event.
type slowSink struct {
	recordingSink
	clock *clockwork.FakeClock
	pause time.Duration
}

func (s *slowSink) Event(number int, raw []byte) error {
	s.clock.Advance(s.pause)
	return s.recordingSink.Event(number, raw)
}

// A server that cuts off an answer which has long remained unread hasn't failed.
func TestUnreadAnswerIsCutOff(t *testing.T) {
	for _, c := range []struct {
		end   string
		pause time.Duration
		want  Kind
	}{
		{"close", maxUnread, CallerSlow}, {"close", maxUnread / 10, Truncated}, {"reset", maxUnread, CallerSlow},
	} {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		address := scriptedServer(t, []string{`> HTTP/1.1 200 OK\r\nId: r1\r\nSealed: 1\r\nTransfer-Encoding: chunked\r\n\r\ne\r\nid: 1\ndata: a\n\r\n1\r\n\n\r\n`, c.end})
		_, err := New(WithClock(clock)).Forward(context.Background(), Target{Server: "s", Address: address}, ForwardRequest{
			RequestID: "r1", Method: "POST", URI: "/", Host: "h", Dialect: scriptedDialect{}, Stream: true,
		}, &slowSink{clock: clock, pause: c.pause})
		var e *Error
		is.True(errors.As(err, &e))
		if c.end == "reset" && e.LastDelivered == 0 {
			continue // the reset overtook the event
		}
		is.Equal(e.Kind, c.want)
		is.Equal(e.LastDelivered, 1)
	}
}
