package front

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
)

// scriptedPipeline answers with the given chunks, then ends with err.
type scriptedPipeline struct {
	chunks []string
	err    error
	chat   *pipeline.ChatRequest
	plain  *pipeline.PlainRequest
}

func (p *scriptedPipeline) Chat(_ context.Context, c *pipeline.ChatRequest, out pipeline.ResponseWriter) error {
	p.chat = c
	if len(p.chunks) == 0 {
		return p.err
	}
	if err := out.WriteHead(pipeline.Head{RequestID: c.Request.ID, Session: "s", Model: "m", Version: "v"}); err != nil {
		return err
	}
	if !c.Request.Stream {
		return out.WriteBody([]byte(p.chunks[0]))
	}
	for _, payload := range p.chunks {
		if err := out.WriteChunk([]byte(payload)); err != nil {
			return err
		}
	}
	return p.err
}

func (p *scriptedPipeline) Plain(_ context.Context, c *pipeline.PlainRequest) (*pipeline.PlainAnswer, error) {
	p.plain = c
	return &pipeline.PlainAnswer{RequestID: c.Request.ID, Status: 201, Body: []byte("booked")}, nil
}

func newTestFront(t *testing.T, p Pipeline) *Server {
	t.Helper()
	raw, err := os.ReadFile("../../../examples/pottyround/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := configuration.Parse(raw, 7)
	if err != nil {
		t.Fatal(err)
	}
	b := new(board.Board)
	b.Configuration.Publish(doc)
	b.Confirmation.Publish(&board.Confirmation{Ready: true, ValidUntil: time.Now().Add(time.Hour)})
	return New(context.Background(), b, p, WithMaxBodyBytes(2048))
}

func send(t *testing.T, f *Server, method, path, headers, body string) (int, string, map[string]string) {
	t.Helper()
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for _, h := range strings.Split(headers, ";") {
		if name, value, ok := strings.Cut(h, ":"); ok {
			req.Header.Set(strings.TrimSpace(name), strings.TrimSpace(value))
		}
	}
	resp, err := f.App().Test(req, fiber.TestConfig{Timeout: 0})
	if err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for name := range resp.Header {
		got[name] = resp.Header.Get(name)
	}
	return resp.StatusCode, string(raw), got
}

// TestRefusals goes through testdata/refusals.txt: bad requests, each with the
// status, reason and field that its refusal must name.
func TestRefusals(t *testing.T) {
	data, err := os.ReadFile("testdata/refusals.txt")
	is.New(t).NoErr(err)
	for line := range strings.Lines(string(data)) {
		f := strings.Split(strings.TrimSpace(line), "|")
		if len(f) != 8 {
			continue
		}
		t.Run(f[0], func(t *testing.T) {
			is := is.New(t)
			front := newTestFront(t, &scriptedPipeline{err: &call.Refusal{Reason: call.ReasonNoServer}})
			body := strings.ReplaceAll(f[4], "LONG", strings.Repeat("x", 4096))
			status, text, headers := send(t, front, f[1], f[2], f[3], body)
			var answer errorBody
			is.NoErr(json.Unmarshal([]byte(text), &answer))
			is.Equal(strconv.Itoa(status), f[5])
			is.Equal(answer.Error.Reason, f[6])
			is.Equal(answer.Error.Param, f[7])
			is.Equal(answer.Error.RunState, "NotRun")
			is.Equal(headers["X-Run-State"], "NotRun")
		})
	}
}

const (
	auth = "Authorization: Bearer key-households"
	good = `{"model":"auto","stream":true,"messages":[{"role":"user","content":"hi"}],"temperature":0.5}`
)

func TestStreamEndsWithMarkerOnlyWhenWhole(t *testing.T) {
	is := is.New(t)
	p := &scriptedPipeline{chunks: []string{`{"a":1}`, `{"a":2}`}}
	status, text, headers := send(t, newTestFront(t, p), "POST", "/v1/chat/completions", auth+";X-Request-Id: t-1", good)
	is.Equal(status, 200)
	is.Equal(text, "data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: [DONE]\n\n")
	is.Equal(headers["Session-Id"], "s")
	is.Equal(headers["X-Request-Id"], "t-1")
	is.Equal(headers["X-Model"], "m@v")
	is.Equal(string(p.chat.Request.Body), good) // handed on as it came

	p.err = &call.Refusal{Reason: call.ReasonIncomplete, State: call.Ran}
	_, text, _ = send(t, newTestFront(t, p), "POST", "/v1/chat/completions", auth, good)
	is.True(strings.Contains(text, `"Reason":"Incomplete"`))
	is.True(!strings.Contains(text, "[DONE]"))
}

func TestPlainCallHandsHeadersOn(t *testing.T) {
	is := is.New(t)
	p := &scriptedPipeline{}
	status, text, _ := send(t, newTestFront(t, p), "POST", "/services/rounds-app/bookings/7?x=1", auth+";Idempotency-Key: k1;X-Own: 5;X-Customer: other", "{}")
	is.Equal(status, 201)
	is.Equal(text, "booked")
	is.Equal(p.plain.Request.ID, "households:k1")
	is.True(!p.plain.Request.Idempotent)
	is.Equal(p.plain.Path, "/bookings/7")
	is.Equal(p.plain.Query, "x=1")
	names := map[string]string{}
	for _, h := range p.plain.Header {
		names[h.Name] = h.Value
	}
	is.Equal(names["X-Own"], "5")
	_, leaked := names["Authorization"]
	is.True(!leaked) // the customer's key stays here
	_, spoofed := names["X-Customer"]
	is.True(!spoofed)
}

func TestModelsListsWhatTheCustomerMayUse(t *testing.T) {
	is := is.New(t)
	_, text, _ := send(t, newTestFront(t, nil), "GET", "/v1/models", auth, "")
	var list modelList
	is.NoErr(json.Unmarshal([]byte(text), &list))
	var ids []string
	for _, m := range list.Data {
		ids = append(ids, m.ID)
	}
	is.Equal(ids, []string{"kingcup-small", "kingcup-small@v1", "kingcup-large", "kingcup-large@v1", "auto"})
}

func TestTooLargeBodyIsRefused(t *testing.T) {
	is := is.New(t)
	f := newTestFront(t, &scriptedPipeline{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = f.App().Listener(l, fiber.ListenConfig{DisableStartupMessage: true}) }()
	defer func() { is.NoErr(f.App().Shutdown()) }()
	resp, err := http.Post("http://"+l.Addr().String()+"/v1/chat/completions", "application/json", strings.NewReader(strings.Repeat("x", 4096)))
	is.NoErr(err)
	defer resp.Body.Close()
	var answer errorBody
	is.NoErr(json.NewDecoder(resp.Body).Decode(&answer))
	is.Equal(resp.StatusCode, 413)
	is.Equal(answer.Error.Reason, "TooLarge")
}

// TestSlowCallerHoldsStreamBack fills the buffer of a caller that reads nothing:
// the next chunk waits, and ends when the caller is gone.
func TestSlowCallerHoldsStreamBack(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := newStream(ctx)
	for range streamBuffer {
		is.NoErr(s.WriteChunk([]byte("x")))
	}
	cancel()
	err := s.WriteChunk([]byte("x"))
	is.Equal(refusalOf(err).Reason, call.ReasonCallerGone)
	is.Equal(len(s.chunks), streamBuffer)
}

func TestStoppingInstanceRefuses(t *testing.T) {
	is := is.New(t)
	f := newTestFront(t, &scriptedPipeline{})
	f.Stop()
	status, text, headers := send(t, f, "POST", "/v1/chat/completions", auth, good)
	is.Equal(status, 503)
	is.True(strings.Contains(text, `"Reason":"Stopping"`))
	is.Equal(headers["Retry-After"], "1")
	is.Equal(headers["X-Run-State"], "NotRun")
	// Another arrival under the same key may have run elsewhere.
	_, _, headers = send(t, f, "POST", "/services/rounds-app/bookings", auth+";Idempotency-Key: k", "{}")
	is.Equal(headers["X-Run-State"], "MayHaveRun")
}
