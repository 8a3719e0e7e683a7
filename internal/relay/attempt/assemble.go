package attempt

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// unassembledFields lists the request fields that can give an answer more parts
// than a single text. Only the engine can assemble such an answer.
var unassembledFields = []string{"tools", "functions", "n", "logprobs", "modalities", "audio"}

// canAssemble reports whether the answer can be assembled from a stream. It is
// then streamed from the engine even if the caller wants no stream, so that a
// stall is detected between two tokens and not after the whole generation.
func canAssemble(fields map[string]json.RawMessage) bool {
	for _, name := range unassembledFields {
		if _, ok := fields[name]; ok {
			return false
		}
	}
	return true
}

var errAnswerTooLarge = errors.New("answer is too large")

type assembledAnswer struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []assembledChoice `json:"choices"`
	Usage   assembledUsage    `json:"usage"`
}

type assembledChoice struct {
	Index        int              `json:"index"`
	Message      assembledMessage `json:"message"`
	FinishReason string           `json:"finish_reason"`
}

type assembledMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type assembledUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// assemble reads a stream to its end and returns it as one answer. If the stream
// breaks off, none of its tokens count as delivered.
func (x *exchange) assemble(resp *fasthttp.Response, chat ChatRequest) (Answer, error) {
	var text strings.Builder
	finish := ""
	answer, err := x.readStream(resp, chat, func(c Chunk) error {
		text.WriteString(c.Content)
		finish = c.Finish
		if text.Len() > x.limits.MaxAnswerBytes {
			return errAnswerTooLarge
		}
		return nil
	})
	var e *Error
	if errors.As(err, &e) {
		e.LastDelivered = 0
		if errors.Is(err, errAnswerTooLarge) {
			e.Kind = AnswerTooLarge
		}
		return answer, e
	}
	body, err := json.Marshal(assembledAnswer{
		ID: x.id, Object: "chat.completion", Created: x.client.clock.Now().Truncate(time.Second).Unix(), Model: chat.Model + "@" + chat.Version,
		Choices: []assembledChoice{{Message: assembledMessage{"assistant", text.String()}, FinishReason: finish}},
		Usage:   assembledUsage{answer.Usage.PromptTokens, answer.Usage.CompletionTokens, answer.Usage.PromptTokens + answer.Usage.CompletionTokens},
	})
	if err != nil {
		return answer, fmt.Errorf("encode the assembled answer: %w", err)
	}
	answer.Body = body
	return answer, nil
}

// isJSON reports whether the answer is a JSON document. An engine may send one
// although a stream was requested.
func isJSON(resp *fasthttp.Response) bool {
	return strings.HasPrefix(string(resp.Header.ContentType()), "application/json")
}
