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

// Getter asks for a body over HTTP.
type Getter interface {
	Bytes(ctx context.Context, url string) ([]byte, error)
	Head(ctx context.Context, url string) error
}

// RateError reports that the weight store asked to come back later.
type RateError struct {
	Model      string
	Version    string
	RetryAfter time.Duration
}

func (e *RateError) Error() string {
	return fmt.Sprintf("weights of %s@%s: limited, retry after %v", e.Model, e.Version, e.RetryAfter)
}

// MissingError reports a version that the weight store does not hold.
type MissingError struct {
	Model   string
	Version string
}

func (e *MissingError) Error() string {
	return fmt.Sprintf("weights of %s@%s: not found", e.Model, e.Version)
}

// Client calls the weight store. It is safe for concurrent use.
type Client struct {
	base string
	http Getter
}

// New returns a client of the weight store at this IP and port.
func New(address string, http Getter) *Client { return &Client{"http://" + address, http} }

// Fetch returns the weights of a version. It does not retry: whoever loads a
// version decides when to come back after a RateError.
func (c *Client) Fetch(ctx context.Context, model, version string) ([]byte, error) {
	body, err := c.http.Bytes(ctx, c.url(model, version))
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
		return &RateError{Model: model, Version: version, RetryAfter: status.RetryAfter}
	case http.StatusNotFound:
		return &MissingError{Model: model, Version: version}
	}
	return err
}
