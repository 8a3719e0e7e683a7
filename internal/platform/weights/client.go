// Package weights is the client of the platform's weight store, which is
// limited in rate.
package weights

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/platform/request"
)

// HTTPClient asks for a body over HTTP.
type HTTPClient interface {
	GetBytes(ctx context.Context, url string) ([]byte, error)
	Head(ctx context.Context, url string) error
}

// RateLimitError reports that the weight store asked to come back later.
type RateLimitError struct {
	Model      string
	Version    string
	RetryAfter time.Duration
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("weights of %s@%s: limited, retry after %v", e.Model, e.Version, e.RetryAfter)
}

// NotFoundError reports a version that the weight store does not hold.
type NotFoundError struct {
	Model   string
	Version string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("weights of %s@%s: not found", e.Model, e.Version)
}

// Client calls the weight store. It is safe for concurrent use.
type Client struct {
	base string
	http HTTPClient
}

// New returns a client of the weight store at this IP and port.
func New(address string, http HTTPClient) *Client { return &Client{"http://" + address, http} }

// Fetch returns the weights of a version. It does not retry: whoever loads a
// version decides when to come back after a RateError.
func (c *Client) Fetch(ctx context.Context, model, version string) ([]byte, error) {
	body, err := c.http.GetBytes(ctx, c.url(model, version))
	if err != nil {
		return nil, sort(err, model, version)
	}
	return body, nil
}

// Permit asks whether the store would serve a version now, without its weights.
func (c *Client) Permit(ctx context.Context, model, version string) error {
	if err := c.http.Head(ctx, c.url(model, version)); err != nil {
		return sort(err, model, version)
	}
	return nil
}

func (c *Client) url(model, version string) string {
	return c.base + "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
}

// sort gives the statuses that callers act on their own errors.
func sort(err error, model, version string) error {
	var status *request.StatusError
	if !errors.As(err, &status) {
		return err
	}
	switch status.Status {
	case http.StatusTooManyRequests:
		return &RateLimitError{Model: model, Version: version, RetryAfter: status.RetryAfter}
	case http.StatusNotFound:
		return &NotFoundError{Model: model, Version: version}
	}
	return err
}
