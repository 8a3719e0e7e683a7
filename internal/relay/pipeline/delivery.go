package pipeline

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
)

// delivery writes the answer of one step to the caller. The last event is held
// back until the bill is committed.
type delivery struct {
	ex          *chatExecution
	head        Head
	headWritten bool
	buffered    [][]byte
	lastEvent   []byte
	tokens      int
	content     strings.Builder
}

func newDelivery(ex *chatExecution, model string) *delivery {
	return &delivery{ex: ex, head: Head{
		RequestID: ex.request.ID, Session: ex.session.Identifier, Model: model, Version: ex.session.Versions[model],
	}}
}

// stream writes a chunk to the caller, except the last one, which finish writes.
func (d *delivery) stream(attemptID string, c attempt.Chunk) error {
	payload := d.rewriteID(attemptID, c.Raw)
	d.record(c)
	if c.Finish != "" {
		d.lastEvent = payload
		return nil
	}
	if err := d.writeHead(); err != nil {
		return err
	}
	return d.ex.out.WriteChunk(payload)
}

// buffer stores a chunk until flushBuffered.
func (d *delivery) buffer(attemptID string, c attempt.Chunk) error {
	d.record(c)
	d.buffered = append(d.buffered, d.rewriteID(attemptID, c.Raw))
	return nil
}

func (d *delivery) record(c attempt.Chunk) {
	d.tokens = c.Token
	d.content.WriteString(c.Content)
}

// rewriteID replaces the attempt's ID in a chunk by the request's, so that the
// caller sees one ID across all attempts.
func (d *delivery) rewriteID(attemptID string, payload []byte) []byte {
	return bytes.Replace(payload, quoted(attemptID), quoted(d.ex.request.ID), 1)
}

func quoted(s string) []byte { return []byte(`"` + s + `"`) }

func (d *delivery) writeHead() error {
	if d.headWritten {
		return nil
	}
	d.headWritten = true
	return d.ex.out.WriteHead(d.head)
}

// finish writes the last event of a stream, or the whole answer. It is called once
// the bill is committed.
func (d *delivery) finish(answer attempt.Answer) error {
	if err := d.writeHead(); err != nil {
		return err
	}
	if !d.ex.request.Stream {
		return d.ex.out.WriteBody(answer.Body)
	}
	return d.ex.out.WriteChunk(d.lastEvent)
}

// flushBuffered writes the buffered chunks to the caller, except the last one,
// which finish writes.
func (d *delivery) flushBuffered() error {
	if err := d.writeHead(); err != nil {
		return err
	}
	if len(d.buffered) == 0 {
		return nil
	}
	d.lastEvent = d.buffered[len(d.buffered)-1]
	for _, payload := range d.buffered[:len(d.buffered)-1] {
		if err := d.ex.out.WriteChunk(payload); err != nil {
			return err
		}
	}
	return nil
}

// text returns the text of the answer.
func (d *delivery) text(answer attempt.Answer) string {
	if d.ex.request.Stream {
		return d.content.String()
	}
	var body completionBody
	if err := json.Unmarshal(answer.Body, &body); err != nil || len(body.Choices) == 0 {
		return ""
	}
	return body.Choices[0].Message.Content
}

type completionBody struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}
