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

// scriptedPipeline answers chat requests with chunks and then returns err. Without
// chunks it returns err before the answer begins. It records the requests.
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

func newTestServer(t *testing.T, p Pipeline) *Server {
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

func sendRequest(t *testing.T, s *Server, method, path, headers, body string) (int, string, map[string]string) {
	t.Helper()
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for _, h := range strings.Split(headers, ";") {
		if name, value, ok := strings.Cut(h, ":"); ok {
			req.Header.Set(strings.TrimSpace(name), strings.TrimSpace(value))
		}
	}
	resp, err := s.App().Test(req, fiber.TestConfig{Timeout: 0})
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

// TestRefusals sends the invalid requests in testdata/refusals.txt and checks the
// status, reason and field of each refusal.
func TestRefusals(t *testing.T) {
	data, err := os.ReadFile("testdata/refusals.txt")
	is.New(t).NoErr(err)
	for line := range strings.Lines(string(data)) {
		fields := strings.Split(strings.TrimSpace(line), "|")
		if len(fields) != 8 {
			continue
		}
		t.Run(fields[0], func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, &scriptedPipeline{err: &call.Refusal{Reason: call.ReasonNoServer}})
			body := strings.ReplaceAll(fields[4], "LONG", strings.Repeat("x", 4096))
			status, text, headers := sendRequest(t, s, fields[1], fields[2], fields[3], body)
			var answer errorBody
			is.NoErr(json.Unmarshal([]byte(text), &answer))
			is.Equal(strconv.Itoa(status), fields[5])
			is.Equal(answer.Error.Reason, fields[6])
			is.Equal(answer.Error.Param, fields[7])
			is.Equal(answer.Error.RunState, "NotRun")
			is.Equal(headers["X-Run-State"], "NotRun")
		})
	}
}

const (
	authHeader = "Authorization: Bearer key-households"
	validChat  = `{"model":"auto","stream":true,"messages":[{"role":"user","content":"hi"}],"temperature":0.5}`
)

func TestDoneMarkerOnlyAfterCompleteStream(t *testing.T) {
	is := is.New(t)
	p := &scriptedPipeline{chunks: []string{`{"a":1}`, `{"a":2}`}}
	status, text, headers := sendRequest(t, newTestServer(t, p), "POST", "/v1/chat/completions", authHeader+";X-Request-Id: t-1", validChat)
	is.Equal(status, 200)
	is.Equal(text, "data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: [DONE]\n\n")
	is.Equal(headers["Session-Id"], "s")
	is.Equal(headers["X-Request-Id"], "t-1")
	is.Equal(headers["X-Model"], "m@v")
	is.Equal(string(p.chat.Request.Body), validChat) // forwarded unchanged

	p.err = &call.Refusal{Reason: call.ReasonIncomplete, State: call.Ran}
	_, text, _ = sendRequest(t, newTestServer(t, p), "POST", "/v1/chat/completions", authHeader, validChat)
	is.True(strings.Contains(text, `"Reason":"Incomplete"`))
	is.True(!strings.Contains(text, "[DONE]"))
}

func TestPlainRequestForwardsHeaders(t *testing.T) {
	is := is.New(t)
	p := &scriptedPipeline{}
	status, text, _ := sendRequest(t, newTestServer(t, p), "POST", "/services/rounds-app/bookings/7?x=1", authHeader+";Idempotency-Key: k1;X-Own: 5;X-Customer: other", "{}")
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
	is.True(!leaked) // the customer's key must not reach the backend server
	_, spoofed := names["X-Customer"]
	is.True(!spoofed)
}

func TestModelsListsAllowedModels(t *testing.T) {
	is := is.New(t)
	_, text, _ := sendRequest(t, newTestServer(t, nil), "GET", "/v1/models", authHeader, "")
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
	s := newTestServer(t, &scriptedPipeline{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = s.App().Listener(l, fiber.ListenConfig{DisableStartupMessage: true}) }()
	defer func() { is.NoErr(s.App().Shutdown()) }()
	resp, err := http.Post("http://"+l.Addr().String()+"/v1/chat/completions", "application/json", strings.NewReader(strings.Repeat("x", 4096)))
	is.NoErr(err)
	defer resp.Body.Close()
	var answer errorBody
	is.NoErr(json.NewDecoder(resp.Body).Decode(&answer))
	is.Equal(resp.StatusCode, 413)
	is.Equal(answer.Error.Reason, "TooLarge")
}

// TestSlowCallerBlocksWriteChunk guards against unbounded buffering for a caller that
// reads nothing: once the buffer is full, WriteChunk waits, and it returns an error
// when the caller disconnects.
func TestSlowCallerBlocksWriteChunk(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	p := newResponsePipe(ctx)
	for range streamBuffer {
		is.NoErr(p.WriteChunk([]byte("x")))
	}
	cancel()
	err := p.WriteChunk([]byte("x"))
	is.Equal(refusalOf(err).Reason, call.ReasonCallerGone)
	is.Equal(len(p.chunks), streamBuffer)
}

func TestStoppingInstanceRefuses(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, &scriptedPipeline{})
	s.Stop()
	status, text, headers := sendRequest(t, s, "POST", "/v1/chat/completions", authHeader, validChat)
	is.Equal(status, 503)
	is.True(strings.Contains(text, `"Reason":"Stopping"`))
	is.Equal(headers["Retry-After"], "1")
	is.Equal(headers["X-Run-State"], "NotRun")
	// Another request with the same key may have run at another instance.
	_, _, headers = sendRequest(t, s, "POST", "/services/rounds-app/bookings", authHeader+";Idempotency-Key: k", "{}")
	is.Equal(headers["X-Run-State"], "MayHaveRun")
}
