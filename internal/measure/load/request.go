package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/standin/observation"
)

// request is one request before it is sent.
type request struct {
	outcome Outcome
	caller  Caller
	stream  bool
	method  string
	path    string
	body    []byte
	session string
	key     string
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens"`
}

// problem is the part of an error that a caller reads, in either place.
type problem struct {
	Message  string
	Reason   string
	RunState string
}

// reply is a completion, a chunk or an error.
type reply struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta        chatMessage `json:"delta"`
		Message      chatMessage `json:"message"`
		FinishReason *string     `json:"finish_reason"`
	} `json:"choices"`
	Error *problem `json:"error"`
	problem
}

// send sends a request and reads the answer to its end.
func (r *run) send(ctx context.Context, q request) Outcome {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Timeout)
	defer cancel()
	out := q.outcome
	out.SentAt = r.clock.Now()
	if r.settings.OnSent != nil {
		r.settings.OnSent(out)
	}
	if out.Target == "" {
		out.Result = ResultUnreachable
	} else {
		r.exchange(ctx, q, &out)
	}
	out.EndedAt = r.clock.Now()
	return out
}

func (r *run) exchange(ctx context.Context, q request, out *Outcome) {
	req, err := http.NewRequestWithContext(ctx, q.method, baseURL(out.Target)+q.path, bytes.NewReader(q.body))
	if err != nil {
		out.Result, out.Detail = ResultUnreachable, err.Error()
		return
	}
	// Without GetBody the transport never sends a request a second time.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+q.caller.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", out.RequestID)
	if q.session != "" {
		req.Header.Set("Session-Id", q.session)
	}
	if q.key != "" {
		req.Header.Set("Idempotency-Key", q.key)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		out.Result, out.Detail = ResultCut, err.Error()
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			out.Result = ResultUnreachable
		}
		return
	}
	defer resp.Body.Close()
	out.Status = resp.StatusCode
	out.RouterID = resp.Header.Get("Request-Id")
	out.Token = resp.Header.Get("Session-Id")
	switch {
	case resp.StatusCode >= http.StatusBadRequest:
		readRefusal(resp, out)
	case q.stream:
		r.readStream(resp.Body, out)
	case out.Model != "":
		r.readWhole(resp.Body, out)
	default:
		readPlain(resp.Body, q, out)
	}
}

func baseURL(target string) string {
	if strings.Contains(target, "://") {
		return strings.TrimRight(target, "/")
	}
	return "http://" + target
}

func readRefusal(resp *http.Response, out *Outcome) {
	out.Result = ResultRefused
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		out.Result, out.Detail = ResultCut, err.Error()
		return
	}
	var in reply
	if err := json.Unmarshal(body, &in); err != nil {
		out.Detail = string(body)
	}
	out.takeProblem(in)
	if state := resp.Header.Get("X-Run-State"); out.RunState == "" {
		out.RunState = state
	}
	if out.Reason == "" {
		out.Reason = fmt.Sprintf("Status%d", resp.StatusCode)
	}
}

func (o *Outcome) takeProblem(in reply) {
	for _, p := range []*problem{&in.problem, in.Error} {
		if p == nil {
			continue
		}
		setIfEmpty(&o.Reason, p.Reason)
		setIfEmpty(&o.RunState, p.RunState)
		setIfEmpty(&o.Detail, p.Message)
	}
}

func setIfEmpty(field *string, value string) {
	if *field == "" {
		*field = value
	}
}

// takeText checks the words of a piece of the answer: each must carry the tag
// of the request and the next number.
func (o *Outcome) takeText(text string) {
	for _, word := range strings.Fields(text) {
		if strings.TrimRight(word, "+-") != fmt.Sprintf("%s.%d", o.Tag, o.Tokens+1) {
			o.Own, o.Detail = false, "unexpected word "+word
			return
		}
		o.Tokens++
	}
}

// readStream reads server-sent events up to the end marker.
func (r *run) readStream(body io.Reader, out *Outcome) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 64<<10), 4<<20)
	out.Own = true
	finished, ended := false, false
	last := out.SentAt
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		data = strings.TrimSpace(data)
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ended = true
			continue
		}
		var in reply
		if err := json.Unmarshal([]byte(data), &in); err != nil {
			out.Own, out.Detail = false, "unreadable event "+data
			continue
		}
		if in.Error != nil {
			out.Result = ResultFailed
			out.takeProblem(in)
			return
		}
		last = r.takeChunk(in, out, last)
		finished = finished || len(in.Choices) > 0 && in.Choices[0].FinishReason != nil
	}
	switch {
	case lines.Err() != nil:
		out.Result, out.Detail = ResultCut, lines.Err().Error()
	case finished && ended:
		out.Result = ResultAnswered
	default:
		out.Result = ResultTruncated
	}
}

func (r *run) takeChunk(in reply, out *Outcome, last time.Time) time.Time {
	setIfEmpty(&out.Version, in.Model)
	if len(in.Choices) == 0 || in.Choices[0].Delta.Content == "" {
		return last
	}
	now := r.clock.Now()
	if out.Tokens == 0 {
		out.FirstToken = now.Sub(out.SentAt)
	} else {
		r.histograms.between.record(now.Sub(last))
	}
	out.takeText(in.Choices[0].Delta.Content)
	return now
}

func (r *run) readWhole(body io.Reader, out *Outcome) {
	all, err := io.ReadAll(body)
	var in reply
	if err == nil {
		err = json.Unmarshal(all, &in)
	}
	if err != nil {
		out.Result, out.Detail = ResultCut, err.Error()
		return
	}
	if in.Error != nil || len(in.Choices) == 0 {
		out.Result = ResultFailed
		out.takeProblem(in)
		return
	}
	out.Own, out.Version = true, in.Model
	out.takeText(in.Choices[0].Message.Content)
	out.Result = ResultAnswered
	if in.Choices[0].FinishReason == nil {
		out.Result = ResultTruncated
	}
}

// readPlain checks that a plain service's answer echoes what was sent.
func readPlain(body io.Reader, q request, out *Outcome) {
	all, err := io.ReadAll(body)
	if err != nil {
		out.Result, out.Detail = ResultCut, err.Error()
		return
	}
	var in struct{ Echo string }
	out.Result = ResultAnswered
	out.Own = json.Unmarshal(all, &in) == nil && in.Echo == string(q.body)
}

func tagOf(text string) string { return observation.Tag(text) }
