package attempt

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

const chatPath = "/v1/chat/completions"

// maxErrorBodyBytes bounds how much of a server's error body is kept.
const maxErrorBodyBytes = 64 << 10

// Chat runs one attempt at a chat completion. If chat.Stream is set, it calls sink
// with each chunk in order and reads nothing more from the engine while sink
// blocks. An error from sink ends the attempt as CallerGone and closes the
// connection, which stops the engine. If chat.Stream is not set, the complete
// answer is in Answer.Body and sink is not used; an answer that is a single text
// is still streamed from the engine.
func (c *Client) Chat(ctx context.Context, target Target, chat ChatRequest, sink func(Chunk) error) (Answer, error) {
	x := c.newExchange(target, chat.AttemptID, chat.Limits, chat.Progress)
	x.lastDelivered, x.beforeWrite = chat.ResumeFrom, chat.BeforeWrite
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	streamed, err := x.encodeChat(req, chat)
	if err != nil {
		return Answer{}, x.fail(BadRequest, err)
	}
	if !streamed {
		x.limits.FirstByte = x.limits.Unstreamed
	}
	if err := x.connect(ctx, true); err != nil {
		return Answer{}, err
	}
	if err := x.writeRequest(req); err != nil {
		return Answer{}, err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := x.readHeader(resp); err != nil {
		return Answer{}, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return Answer{}, x.readStatusError(resp)
	}
	x.advance(call.Ran)
	switch {
	case chat.Stream:
		return x.readStream(resp, chat, sink)
	case streamed && !isJSON(resp):
		return x.assemble(resp, chat)
	}
	return x.readUnstreamed(resp)
}

// encodeChat encodes the request and reports whether it asks the engine for a
// stream.
func (x *exchange) encodeChat(req *fasthttp.Request, chat ChatRequest) (streamed bool, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(chat.Body, &fields); err != nil {
		return false, fmt.Errorf("decode chat request: %w", err)
	}
	if fields == nil {
		return false, errors.New("decode chat request: not an object")
	}
	model, err := json.Marshal(chat.Model + "@" + chat.Version)
	if err != nil {
		return false, fmt.Errorf("encode model: %w", err)
	}
	fields["model"] = model
	streamed = chat.Stream || canAssemble(fields)
	fields["stream"] = json.RawMessage(strconv.FormatBool(streamed))
	body, err := json.Marshal(fields)
	if err != nil {
		return false, fmt.Errorf("encode chat request: %w", err)
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + x.target.Address + chatPath)
	req.Header.SetContentType("application/json")
	setIDHeaders(req, chat.AttemptID, chat.RequestID, chat.Customer)
	req.Header.Set(HeaderPriority, strconv.Itoa(chat.Priority))
	if chat.ResumeFrom > 0 {
		req.Header.Set(HeaderResumeFrom, strconv.Itoa(chat.ResumeFrom))
	}
	req.SetBody(body)
	return streamed, nil
}

// setIDHeaders sets the headers that identify the attempt.
func setIDHeaders(req *fasthttp.Request, attempt, request, customer string) {
	req.Header.Set(HeaderAttempt, attempt)
	req.Header.Set(HeaderRequest, request)
	req.Header.Set(HeaderCustomer, customer)
}

// readStatusError returns the error for an answer with an error status. The
// attempt is NotRun only if a 503 with this attempt's ID says so in its run state
// header; a 503 alone doesn't prove it.
func (x *exchange) readStatusError(resp *fasthttp.Response) *Error {
	x.conn.arm(ProgressTimeout, x.limits.Progress)
	body, complete, err := x.readBody(resp, maxErrorBodyBytes)
	if err != nil {
		return err
	}
	status := resp.StatusCode()
	kind := Status
	switch {
	case status == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(HeaderRunState)) == call.NotRun.String():
		kind = Refused503
		x.state = call.NotRun
	case status < fasthttp.StatusInternalServerError:
		x.advance(call.Ran)
	}
	retryAfter, _ := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	x.finish(complete && !resp.ConnectionClose())
	failures.Add(string(kind), 1)
	return &Error{
		Kind: kind, Server: x.target.Server, State: x.state, LastDelivered: x.lastDelivered,
		Status: status, Body: body, RetryAfter: time.Duration(retryAfter) * time.Second,
	}
}

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type wireAnswer struct {
	ID      string `json:"id"`
	Choices []struct {
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage wireUsage `json:"usage"`
}

// readUnstreamed reads an answer that the engine sends as one JSON document.
func (x *exchange) readUnstreamed(resp *fasthttp.Response) (Answer, error) {
	firstByte := x.elapsed()
	x.conn.arm(ProgressTimeout, x.limits.Progress)
	body, complete, err := x.readBody(resp, x.limits.MaxAnswerBytes)
	if err != nil {
		return Answer{}, err
	}
	if !complete {
		return Answer{}, x.fail(AnswerTooLarge, fmt.Errorf("answer is larger than %d bytes", x.limits.MaxAnswerBytes))
	}
	var w wireAnswer
	if err := json.Unmarshal(body, &w); err != nil {
		return Answer{}, x.fail(Malformed, err)
	}
	if w.ID != x.id {
		return Answer{}, x.fail(CrossedAnswer, &MismatchError{Want: x.id, Got: w.ID})
	}
	if len(w.Choices) == 0 || w.Choices[0].FinishReason == "" {
		return Answer{}, x.fail(Truncated, errNoFinishMarker)
	}
	x.finish(!resp.ConnectionClose())
	return Answer{
		Body: body, Usage: Usage(w.Usage), Complete: true, Tokens: w.Usage.CompletionTokens,
		FirstToken: firstByte, Duration: x.elapsed(),
	}, nil
}

var errNoFinishMarker = errors.New("the answer ended without a finish marker")
