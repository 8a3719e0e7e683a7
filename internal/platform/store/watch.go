package store

import (
	"context"
	"encoding/json"
	"io"
)

// Event is one change seen by a watch, or the end of the watch.
type Event struct {
	Entry
	Deleted bool
	// Err is set on the last event, before the channel is closed.
	Err error
}

// Watch opens a watch of a key and sends its changes from a revision on, 0
// for those to come. The channel is closed when the watch ends; the last event
// then holds the reason. A watch can go silent: poll beside it.
func (c *Client) Watch(ctx context.Context, p Purpose, key string, from int64) (<-chan Event, error) {
	return c.watch(ctx, p, watchCreate{Key: []byte(key), StartRevision: from})
}

func (c *Client) watch(ctx context.Context, p Purpose, create watchCreate) (<-chan Event, error) {
	if err := c.admit(ctx, watch, p); err != nil {
		return nil, err
	}
	body, err := c.post(ctx, "/v3/watch", watchRequest{Create: create})
	if err != nil {
		c.hold.failed()
		c.counters.failed(p)
		return nil, &UnavailableError{Purpose: p, Err: err}
	}
	events := make(chan Event)
	go func() {
		defer close(events)
		defer body.Close()
		err := receive(ctx, body, events)
		send(ctx, events, Event{Err: &UnavailableError{Purpose: p, Err: err}})
	}()
	return events, nil
}

// receive passes on events until the stream ends.
func receive(ctx context.Context, body io.Reader, events chan<- Event) error {
	dec := json.NewDecoder(body)
	for {
		var m watchMessage
		if err := dec.Decode(&m); err != nil {
			return err
		}
		for _, e := range m.Result.Events {
			entry := Entry{Key: string(e.KV.Key), Value: e.KV.Value, ModRevision: e.KV.ModRevision, Lease: e.KV.Lease}
			if !send(ctx, events, Event{Entry: entry, Deleted: e.Type == "DELETE"}) {
				return ctx.Err()
			}
		}
		if m.Result.Canceled || m.Result.CompactRevision > 0 {
			return &CompactedError{Revision: m.Result.CompactRevision}
		}
	}
}

func send(ctx context.Context, events chan<- Event, e Event) bool {
	select {
	case events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}
