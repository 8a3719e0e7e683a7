package attempt

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"
)

const (
	doneMarker = "[DONE]"
	// eventBytes bounds one event of a stream.
	eventBytes = 256 << 10
)

type wireChunk struct {
	ID      string `json:"id"`
	Token   int    `json:"token"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *wireUsage `json:"usage"`
}

// readStream hands on tokens until the finish marker. Comment lines are not
// progress: an engine that only keeps the connection alive misses its limit.
func (x *exchange) readStream(resp *fasthttp.Response, chat ChatRequest, sink func(Chunk) error) (Answer, error) {
	answer := Answer{Tokens: chat.ResumeFrom}
	done := false
	for event, err := range sse.Read(resp.BodyStream(), &sse.ReadConfig{MaxEventSize: eventBytes}) {
		if err != nil {
			if answer.Complete {
				break
			}
			return x.streamed(answer, chat.ResumeFrom), x.fail(x.conn.readKind(), err)
		}
		if strings.TrimSpace(event.Data) == doneMarker {
			done = true
			break
		}
		if answer.Complete {
			break
		}
		if err := x.takeEvent(event.Data, &answer, sink); err != nil {
			return x.streamed(answer, chat.ResumeFrom), err
		}
	}
	if !answer.Complete {
		return x.streamed(answer, chat.ResumeFrom), x.fail(Truncated, errNoFinish)
	}
	x.finish(done && x.drain(resp) && !resp.ConnectionClose())
	return x.streamed(answer, chat.ResumeFrom), nil
}

// streamed completes the answer of a stream. An engine that resumed counts only
// its own tokens, so the sequence gives the total.
func (x *exchange) streamed(a Answer, resumedFrom int) Answer {
	a.Duration = x.elapsed()
	if resumedFrom > 0 {
		a.Usage.CompletionTokens = a.Tokens
	}
	return a
}

// takeEvent checks one event and gives its chunk to the sink. The limits are
// suspended meanwhile: a slow caller is not the engine's silence.
func (x *exchange) takeEvent(data string, answer *Answer, sink func(Chunk) error) error {
	chunk, err := x.decodeChunk(data, answer.Tokens)
	if err != nil {
		return err
	}
	x.conn.disarm()
	if answer.FirstToken == 0 {
		answer.FirstToken = x.elapsed()
	}
	if chunk.Usage != nil {
		answer.Usage = *chunk.Usage
	}
	if err := sink(chunk); err != nil {
		return x.fail(CallerGone, err)
	}
	answer.Tokens, x.delivered = chunk.Token, chunk.Token
	answer.Complete = chunk.Finish != ""
	x.conn.arm(ProgressTimeout, x.limits.Progress)
	return nil
}

// decodeChunk refuses chunks of other attempts and tokens out of sequence. A
// finish marker may come with the last token or after it.
func (x *exchange) decodeChunk(data string, last int) (Chunk, error) {
	var w wireChunk
	if err := json.Unmarshal([]byte(data), &w); err != nil {
		return Chunk{}, x.fail(Malformed, err)
	}
	if w.ID != x.id {
		return Chunk{}, x.fail(CrossedAnswer, &MismatchError{Want: x.id, Got: w.ID})
	}
	chunk := Chunk{Token: w.Token, Raw: []byte(data)}
	if len(w.Choices) > 0 {
		chunk.Content = w.Choices[0].Delta.Content
		if reason := w.Choices[0].FinishReason; reason != nil {
			chunk.Finish = *reason
		}
	}
	if w.Usage != nil {
		usage := Usage(*w.Usage)
		chunk.Usage = &usage
	}
	if chunk.Finish != "" && chunk.Content == "" && (w.Token == 0 || w.Token == last) {
		chunk.Token = last
		return chunk, nil
	}
	switch {
	case w.Token > last+1:
		return Chunk{}, x.fail(SequenceGap, fmt.Errorf("token %d after token %d", w.Token, last))
	case w.Token <= last:
		return Chunk{}, x.fail(SequenceRepeat, fmt.Errorf("token %d after token %d", w.Token, last))
	}
	return chunk, nil
}

// drain reads the end of the body after the last event, so that the
// connection can be used again.
func (x *exchange) drain(resp *fasthttp.Response) bool {
	rest, whole, err := x.readBody(resp, 0)
	return err == nil && whole && len(rest) == 0
}
