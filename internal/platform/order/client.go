// Package order sends orders to model engines: to load or unload a version, or
// to change role. An order carries a fencing number; some engines refuse one
// with an older number than they have seen, others do not look at it. Orders
// are idempotent, so that they can be repeated until the engine's report
// agrees.
package order

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/kingcupyard/kingcupyard/internal/platform/request"
)

// Kind says what an order asks for.
type Kind string

// The kinds of order.
const (
	Load   Kind = "Load"
	Unload Kind = "Unload"
	Role   Kind = "Role"
)

// Order is one order to an engine.
type Order struct {
	Kind    Kind
	Model   string `json:",omitempty"`
	Version string `json:",omitempty"`
	Role    string `json:",omitempty"`
	Fence   int64
}

// FencedError reports an order refused because the engine has seen a higher
// fencing number: somebody else gives the orders now.
type FencedError struct {
	Address string
	Fence   int64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("engine %s refused fencing number %d", e.Address, e.Fence)
}

// UnknownOutcomeError reports an order that may have reached the engine.
type UnknownOutcomeError struct {
	Address string
	Err     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("order to engine %s may have taken effect: %v", e.Address, e.Err)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Poster sends a JSON document over HTTP.
type Poster interface {
	Post(ctx context.Context, url string, in, out any) error
}

// Client gives orders. It is safe for concurrent use.
type Client struct {
	http Poster
}

// New returns a client.
func New(http Poster) *Client { return &Client{http} }

// Send sends one order to the engine at this IP and port.
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
