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
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 256 << 10
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

// readStream passes tokens to the sink until the finish marker, a chunk with a
// finish_reason. Comment lines do not restart the progress timeout: an attempt at a
// server that only sends keep-alive comments is aborted.
func (x *exchange) readStream(resp *fasthttp.Response, chat ChatRequest, sink func(Chunk) error) (Answer, error) {
	answer := Answer{Tokens: chat.ResumeFrom}
	done := false
	for event, err := range sse.Read(resp.BodyStream(), &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			if answer.Complete {
				break
			}
			return x.withTotals(answer, chat.ResumeFrom), x.fail(x.conn.readErrorKind(), err)
		}
		if strings.TrimSpace(event.Data) == doneMarker {
			done = true
			break
		}
		if answer.Complete {
			break
		}
		if err := x.deliverEvent(event.Data, &answer, sink); err != nil {
			return x.withTotals(answer, chat.ResumeFrom), err
		}
	}
	if !answer.Complete {
		return x.withTotals(answer, chat.ResumeFrom), x.fail(Truncated, errNoFinishMarker)
	}
	x.finish(done && x.drain(resp) && !resp.ConnectionClose())
	return x.withTotals(answer, chat.ResumeFrom), nil
}

// withTotals sets the duration and the token count of a streamed answer. A
// server that resumed counts only its own tokens, so the count is the number of the
// last token.
func (x *exchange) withTotals(a Answer, resumeFrom int) Answer {
	a.Duration = x.elapsed()
	if resumeFrom > 0 {
		a.Usage.CompletionTokens = a.Tokens
	}
	return a
}

// deliverEvent decodes one event and passes its chunk to the sink. The watchdog is
// stopped meanwhile, since a slow caller does not mean that the server stalled.
func (x *exchange) deliverEvent(data string, answer *Answer, sink func(Chunk) error) error {
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
	answer.Tokens, x.lastDelivered = chunk.Token, chunk.Token
	answer.Complete = chunk.Finish != ""
	x.conn.arm(ProgressTimeout, x.limits.Progress)
	return nil
}

// decodeChunk decodes an event. It rejects chunks of other attempts and tokens out
// of sequence. The finish marker may come with the last token or after it.
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

// drain reads the end of the body after the last event, so that the connection can
// be reused. It reports whether nothing else followed.
func (x *exchange) drain(resp *fasthttp.Response) bool {
	rest, complete, err := x.readBody(resp, 0)
	return err == nil && complete && len(rest) == 0
}
