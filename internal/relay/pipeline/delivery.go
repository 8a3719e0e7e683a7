package pipeline

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
)

// delivery turns one step's answer into what the caller gets. The last event
// is kept back until the bill is committed.
type delivery struct {
	f      *chatFlight
	head   Head
	begun  bool
	held   [][]byte
	last   []byte
	tokens int
	words  strings.Builder
}

func newDelivery(f *chatFlight, model string) *delivery {
	return &delivery{f: f, head: Head{
		RequestID: f.request.ID, Session: f.session.Identifier, Model: model, Version: f.session.Versions[model],
	}}
}

// take delivers a chunk at once, but for the last one.
func (d *delivery) take(attemptID string, c attempt.Chunk) error {
	payload := d.rewrite(attemptID, c.Raw)
	d.count(c)
	if c.Finish != "" {
		d.last = payload
		return nil
	}
	if err := d.begin(); err != nil {
		return err
	}
	return d.f.out.WriteChunk(payload)
}

// hold keeps a chunk until release.
func (d *delivery) hold(attemptID string, c attempt.Chunk) error {
	d.count(c)
	d.held = append(d.held, d.rewrite(attemptID, c.Raw))
	return nil
}

func (d *delivery) count(c attempt.Chunk) {
	d.tokens = c.Token
	d.words.WriteString(c.Content)
}

// rewrite gives the caller one ID over all attempts.
func (d *delivery) rewrite(attemptID string, payload []byte) []byte {
	return bytes.Replace(payload, quoted(attemptID), quoted(d.f.request.ID), 1)
}

func quoted(s string) []byte { return []byte(`"` + s + `"`) }

func (d *delivery) begin() error {
	if d.begun {
		return nil
	}
	d.begun = true
	return d.f.out.WriteHead(d.head)
}

// finish delivers what was kept back once the bill is committed.
func (d *delivery) finish(answer attempt.Answer) error {
	if err := d.begin(); err != nil {
		return err
	}
	if !d.f.request.Stream {
		return d.f.out.WriteBody(answer.Body)
	}
	return d.f.out.WriteChunk(d.last)
}

// release delivers what was held, but for the last event.
func (d *delivery) release() error {
	if err := d.begin(); err != nil {
		return err
	}
	if len(d.held) == 0 {
		return nil
	}
	d.last = d.held[len(d.held)-1]
	for _, payload := range d.held[:len(d.held)-1] {
		if err := d.f.out.WriteChunk(payload); err != nil {
			return err
		}
	}
	return nil
}

// text returns the words of the answer.
func (d *delivery) text(answer attempt.Answer) string {
	if d.f.request.Stream {
		return d.words.String()
	}
	var whole wholeAnswer
	if err := json.Unmarshal(answer.Body, &whole); err != nil || len(whole.Choices) == 0 {
		return ""
	}
	return whole.Choices[0].Message.Content
}

type wholeAnswer struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}
