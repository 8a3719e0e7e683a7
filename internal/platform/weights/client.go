// Package weights is the client of the platform's weight store, which holds the
// weights of model versions and limits the rate of requests.
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

// HTTPClient requests documents over HTTP.
type HTTPClient interface {
	GetBytes(ctx context.Context, url string) ([]byte, error)
	Head(ctx context.Context, url string) error
}

// RateLimitError reports that the weight store refused a request because of its
// rate limit. RetryAfter is the delay it asked for, 0 if it named none.
type RateLimitError struct {
	Model      string
	Version    string
	RetryAfter time.Duration
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("weights of %s@%s: rate limit exceeded, retry after %v", e.Model, e.Version, e.RetryAfter)
}

// NotFoundError reports a version that is not in the weight store.
type NotFoundError struct {
	Model   string
	Version string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("weights of %s@%s: not found", e.Model, e.Version)
}

// Client calls the weight store. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    HTTPClient
}

// New returns a client of the weight store at address, an IP and port.
func New(address string, http HTTPClient) *Client { return &Client{"http://" + address, http} }

// Fetch returns the weights of a version. It doesn't retry: the caller decides
// when to retry after a *RateLimitError.
func (c *Client) Fetch(ctx context.Context, model, version string) ([]byte, error) {
	body, err := c.http.GetBytes(ctx, c.url(model, version))
	if err != nil {
		return nil, convertError(err, model, version)
	}
	return body, nil
}

// Permit checks whether the weight store would serve a version now, without
// fetching the weights. It returns the same errors as Fetch.
func (c *Client) Permit(ctx context.Context, model, version string) error {
	if err := c.http.Head(ctx, c.url(model, version)); err != nil {
		return convertError(err, model, version)
	}
	return nil
}

func (c *Client) url(model, version string) string {
	return c.baseURL + "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
}

// convertError converts the statuses that callers handle to errors of their own
// types.
func convertError(err error, model, version string) error {
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
