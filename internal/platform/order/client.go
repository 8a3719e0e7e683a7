// Package order sends orders to model engines: to load or unload a version, or
// to change the engine's role. An order carries a fencing token. Some engines
// refuse an order whose token is lower than one they have seen, others ignore
// the token. Orders are idempotent, so that they can be repeated until the
// engine reports the requested state.
package order

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/kingcupyard/kingcupyard/internal/platform/request"
)

// Kind is what an order tells an engine to do.
type Kind string

// The kinds of order.
const (
	Load   Kind = "Load"
	Unload Kind = "Unload"
	Role   Kind = "Role"
)

// Order is the JSON document that is sent to an engine.
type Order struct {
	Kind    Kind
	Model   string `json:",omitempty"`
	Version string `json:",omitempty"`
	Role    string `json:",omitempty"`
	// Fence is the fencing token of the sender's term.
	Fence int64
}

// FencedError reports that the engine refused an order because it has seen a
// higher fencing token, so another instance now sends the orders.
type FencedError struct {
	Address string
	Fence   int64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("engine %s refused fencing token %d: it has seen a higher one", e.Address, e.Fence)
}

// UnknownOutcomeError reports an order that got no answer but may have reached
// the engine.
type UnknownOutcomeError struct {
	Address string
	Err     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("order to engine %s may have taken effect: %v", e.Address, e.Err)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Poster sends JSON documents over HTTP.
type Poster interface {
	Post(ctx context.Context, url string, in, out any) error
}

// Client sends orders to engines. It is safe for concurrent use.
type Client struct {
	http Poster
}

// New returns a client that sends orders through http.
func New(http Poster) *Client { return &Client{http} }

// Send sends one order to the engine at address, an IP and port. It returns a
// *FencedError if the engine has seen a higher fencing token and an
// *UnknownOutcomeError if the order may have taken effect.
func (c *Client) Send(ctx context.Context, address string, o Order) error {
	err := c.http.Post(ctx, "http://"+address+"/orders", o, nil)
	var status *request.StatusError
	var transport *request.TransportError
	switch {
	case errors.As(err, &status) && status.Status == http.StatusConflict:
		return &FencedError{Address: address, Fence: o.Fence}
	case errors.As(err, &transport) && !transport.NotSent:
		return &UnknownOutcomeError{Address: address, Err: err}
	}
	return err
}
