package attempt

import (
	"context"
	"errors"
	"time"
)

// NextTarget is the callback of ChatWithResume that selects the server and the
// attempt ID of the next attempt. last is the error of the previous attempt, or nil
// for the first. An error from NextTarget ends the stream.
type NextTarget func(ctx context.Context, last *Error) (Target, string, error)

// ChatWithResume is a test helper that streams one answer in as many attempts as next
// allows. Each attempt continues after the last token delivered, so that sink gets
// every token once and in order. All attempts run the same model and version.
func (c *Client) ChatWithResume(ctx context.Context, chat ChatRequest, next NextTarget, sink func(Chunk) error) (Answer, error) {
	chat.Stream = true
	started := c.clock.Now()
	var total Answer
	var last *Error
	for {
		target, id, err := next(ctx, last)
		if err != nil {
			return total, errors.Join(err, asError(last))
		}
		chat.AttemptID = id
		offset := c.clock.Since(started)
		answer, err := c.Chat(ctx, target, chat, sink)
		total = total.merge(answer, offset)
		total.Duration = c.clock.Since(started)
		if err == nil {
			return total, nil
		}
		if !errors.As(err, &last) || !last.RetryableElsewhere() {
			return total, err
		}
		chat.ResumeFrom = total.Tokens
	}
}

// asError converts e to an error that is nil if e is nil.
func asError(e *Error) error {
	if e == nil {
		return nil
	}
	return e
}

// merge returns a with the part that a later attempt added, where offset is the time
// from the start of the first attempt to the start of the later one.
func (a Answer) merge(part Answer, offset time.Duration) Answer {
	if a.FirstToken == 0 && part.FirstToken > 0 {
		a.FirstToken = offset + part.FirstToken
	}
	a.Tokens = max(a.Tokens, part.Tokens)
	a.Complete = part.Complete
	if part.Usage != (Usage{}) {
		a.Usage = part.Usage
	}
	return a
}
