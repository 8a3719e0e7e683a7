package attempt

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

type attemptCase struct {
	name, call                 string
	script                     []string
	kinds, tokens              []string
	attemptState, requestState string
}

func readAttemptCases(t *testing.T) []attemptCase {
	t.Helper()
	data, err := os.ReadFile("testdata/attempts.txt")
	if err != nil {
		t.Fatal(err)
	}
	var out []attemptCase
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		f := strings.Split(line, "|")
		for i := range f {
			f[i] = strings.TrimSpace(f[i])
		}
		out = append(out, attemptCase{
			name: f[0], call: f[1], script: strings.Split(f[2], ";"), kinds: strings.Split(f[3], ","),
			attemptState: f[4], requestState: f[5], tokens: strings.Split(f[6], ","),
		})
	}
	return out
}

const chatBody = `{"model":"small","messages":[{"role":"user","content":"hi"}]}`

func run(c *Client, f *fakeServer, kind string, p *call.Progress, sink func(Chunk) error) (int, error) {
	ctx := context.Background()
	if kind == "Plain" {
		_, err := c.Plain(ctx, f.target(), PlainRequest{AttemptID: "a1", RequestID: "r1", Method: "POST", Path: "/bookings", Body: []byte("{}"), Progress: p})
		return 0, err
	}
	chat := ChatRequest{AttemptID: "a1", RequestID: "r1", Model: "small", Version: "v1", Body: []byte(chatBody), Stream: kind == "Stream", Progress: p}
	answer, err := c.Chat(ctx, f.target(), chat, sink)
	if err == nil && !answer.Complete {
		return answer.Tokens, errors.New("incomplete answer without an error")
	}
	return answer.Tokens, err
}

func TestAttempts(t *testing.T) {
	for _, tc := range readAttemptCases(t) {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeServer(t, tc.script...)
			c := New()
			defer c.Close()
			p := new(call.Progress)
			seen := 0
			tokens, err := run(c, f, tc.call, p, func(ch Chunk) error {
				seen++
				is.Equal(ch.Token, seen) // in order, without gaps or repeats
				return nil
			})
			var e *Error
			if errors.As(err, &e) {
				is.True(slices.Contains(tc.kinds, string(e.Kind)))        // kind of failure
				is.Equal(e.State.String(), tc.attemptState)               // state of the attempt
				is.True(slices.Contains(tc.tokens, strconv.Itoa(tokens))) // tokens delivered
			} else {
				is.NoErr(err)
				is.Equal(tc.kinds, []string{"-"}) // a complete answer
				is.True(slices.Contains(tc.tokens, strconv.Itoa(tokens)))
			}
			is.Equal(p.State().String(), tc.requestState) // state of the request
		})
	}
}

func TestDialRefusedIsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.ln.Close()
	p := new(call.Progress)
	_, err := run(New(), f, "Stream", p, nil)
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, DialRefused)
	is.Equal(e.State, call.NotRun)
	is.Equal(p.State(), call.NotRun)
}

func TestCallerGoneCancelsTheEngine(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t, "read", "stream", "token 1", "hold")
	p := new(call.Progress)
	gone := errors.New("caller hung up")
	tokens, err := run(New(), f, "Stream", p, func(Chunk) error { return gone })
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, CallerGone)
	is.True(errors.Is(err, gone))
	is.Equal(tokens, 0)
	is.Equal(p.State(), call.Ran)
}

func TestCancelClosesOnlyItsConnection(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t, "read", "stream", "token 1", "hold")
	ctx, cancel := context.WithCancel(context.Background())
	_, err := New().Chat(ctx, f.target(), ChatRequest{AttemptID: "a1", Body: []byte(chatBody), Stream: true}, func(Chunk) error {
		cancel()
		return nil
	})
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, Cancelled)
	is.Equal(e.LastDelivered, 1)
}

func TestRequestOnTheWire(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t, "read", "stream", "finish 5", "done")
	chat := ChatRequest{AttemptID: "a1", RequestID: "r1", Customer: "c1", Model: "small", Version: "v2",
		Body: []byte(chatBody), Stream: true, ResumeFrom: 4, Priority: 3}
	answer, err := New().Chat(context.Background(), f.target(), chat, func(Chunk) error { return nil })
	is.NoErr(err)
	is.Equal(answer.Usage, Usage{PromptTokens: 7, CompletionTokens: 5})
	_, requests := f.seen()
	h := requests[0].Header
	is.Equal([]string{h.Get(HeaderAttempt), h.Get(HeaderRequest), h.Get(HeaderCustomer), h.Get(HeaderResumeFrom), h.Get(HeaderPriority)},
		[]string{"a1", "r1", "c1", "4", "3"})
	is.True(strings.Contains(h.Get("Test-Body"), `"model":"small@v2"`))
	is.True(strings.Contains(h.Get("Test-Body"), `"stream":true`))
}

func TestPooledConnections(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t, "read", "whole")
	c := New()
	defer c.Close()
	for range 3 {
		_, err := run(c, f, "Whole", nil, nil)
		is.NoErr(err)
	}
	accepted, _ := f.seen()
	is.Equal(accepted, 1) // sequential attempts share a connection
	_, err := run(c, f, "Plain", nil, nil)
	is.NoErr(err)
	accepted, _ = f.seen()
	is.Equal(accepted, 2) // a non-idempotent call dials a new connection
}

func TestStreamIsResumedAtTheNextToken(t *testing.T) {
	is := is.New(t)
	first := newFakeServer(t, "read", "stream", "token 1", "token 2", "close")
	second := newFakeServer(t, "read", "stream", "token 3", "finish 4 2", "done") // this engine counts only its own two tokens
	targets := []Target{first.target(), second.target()}
	var got []int
	answer, err := New().ChatWithResume(context.Background(), ChatRequest{Body: []byte(chatBody)},
		func(_ context.Context, last *Error) (Target, string, error) {
			if len(targets) == 0 {
				return Target{}, "", errors.New("no server left")
			}
			t := targets[0]
			targets = targets[1:]
			return t, "attempt" + strconv.Itoa(len(targets)), nil
		},
		func(c Chunk) error { got = append(got, c.Token); return nil })
	is.NoErr(err)
	is.Equal(got, []int{1, 2, 3, 4})
	is.True(answer.Complete)
	is.Equal(answer.Usage.CompletionTokens, 4)
	_, requests := second.seen()
	is.Equal(requests[0].Header.Get(HeaderResumeFrom), "2")
}

// resetConn fails every write with a reset after accepting a few bytes.
type resetConn struct {
	net.Conn
	accepts int
}

func (c resetConn) Write(p []byte) (int, error) { return min(c.accepts, len(p)), syscall.ECONNRESET }

func TestResetDuringWrite(t *testing.T) {
	for accepts, want := range map[int]call.RunState{0: call.NotRun, 1: call.MayHaveRun} {
		is := is.New(t)
		f := newFakeServer(t, "hold")
		c := New(WithDial(func(ctx context.Context, address string) (net.Conn, error) {
			nc, err := dialTCP(ctx, address)
			return resetConn{nc, accepts}, err
		}))
		p := new(call.Progress)
		_, err := run(c, f, "Plain", p, nil)
		var e *Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, WriteFailed)
		is.Equal(e.State, want)              // certain for the attempt
		is.Equal(p.State(), call.MayHaveRun) // the request's state does not go back
	}
}

// TestBeforeWriteEndsAttempt checks that an error from BeforeWrite ends the
// attempt as NotRun before a byte is written: the server gets a connection and no
// request.
func TestBeforeWriteEndsAttempt(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t, "read", "whole")
	c := New()
	defer c.Close()
	refused := errors.New("data centre is out")
	p := new(call.Progress)
	_, err := c.Chat(context.Background(), f.target(), ChatRequest{
		AttemptID: "a1", Model: "small", Version: "v1", Body: []byte(chatBody), Progress: p,
		BeforeWrite: func() error { return refused },
	}, nil)
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, NotStarted)
	is.Equal(e.State, call.NotRun)
	is.Equal(p.State(), call.NotRun)
	is.True(errors.Is(err, refused))
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(len(f.requests), 0)
}
