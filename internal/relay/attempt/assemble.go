package attempt

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// unassembled are the fields of a request whose answer has more to it than
// one text, so that it is left to the engine to put it together.
var unassembled = []string{"tools", "functions", "n", "logprobs", "modalities", "audio"}

// isAssembled reports whether a whole answer can be put together from a
// stream. It is then streamed from the engine, so that silence shows between
// two tokens and not after the whole generation.
func isAssembled(fields map[string]json.RawMessage) bool {
	for _, name := range unassembled {
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

// assemble reads a stream to its end and returns it as one answer. Nothing of
// a broken one counts as delivered.
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

// isJSON reports whether an engine answered whole although a stream was asked
// for.
func isJSON(resp *fasthttp.Response) bool {
	return strings.HasPrefix(string(resp.Header.ContentType()), "application/json")
}
