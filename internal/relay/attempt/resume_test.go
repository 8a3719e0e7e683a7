package attempt

import (
	"context"
	"errors"
	"time"
)

// NextTarget chooses the server and the attempt ID for another attempt. The error
// that it returns ends the stream; last is nil for the first attempt.
type NextTarget func(ctx context.Context, last *Error) (Target, string, error)

// ChatWithResume streams one answer over as many attempts as next allows. Each
// attempt continues after the last token delivered, so that sink sees every
// token once and in order. All attempts run the same model and version.
func (c *Client) ChatWithResume(ctx context.Context, chat ChatRequest, next NextTarget, sink func(Chunk) error) (Answer, error) {
	chat.Stream = true
	started := c.clock.Now()
	var whole Answer
	var last *Error
	for {
		target, id, err := next(ctx, last)
		if err != nil {
			return whole, errors.Join(err, asError(last))
		}
		chat.AttemptID = id
		begun := c.clock.Since(started)
		answer, err := c.Chat(ctx, target, chat, sink)
		whole = whole.continued(answer, begun)
		whole.Duration = c.clock.Since(started)
		if err == nil {
			return whole, nil
		}
		if !errors.As(err, &last) || !last.RetryableElsewhere() {
			return whole, err
		}
		chat.ResumeFrom = whole.Tokens
	}
}

// asError keeps a nil *Error from becoming a non-nil error.
func asError(e *Error) error {
	if e == nil {
		return nil
	}
	return e
}

// continued adds a later attempt's part to the answer so far.
func (a Answer) continued(part Answer, begun time.Duration) Answer {
	if a.FirstToken == 0 && part.FirstToken > 0 {
		a.FirstToken = begun + part.FirstToken
	}
	a.Tokens = max(a.Tokens, part.Tokens)
	a.Complete = part.Complete
	if part.Usage != (Usage{}) {
		a.Usage = part.Usage
	}
	return a
}
