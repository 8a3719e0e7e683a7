// Package rating is the client of the platform's rating service, which rates
// delivered answers after a delay and judges single answers immediately.
package rating

import (
	"context"
	"fmt"
	"net/url"
	"time"
)

// HTTPClient sends and requests JSON documents over HTTP.
type HTTPClient interface {
	Get(ctx context.Context, url string, out any) error
	Post(ctx context.Context, url string, in, out any) error
}

// Client calls the rating service. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    HTTPClient
}

// New returns a client of the rating service at address, an IP and port.
func New(address string, http HTTPClient) *Client {
	return &Client{"http://" + address, http}
}

// Answer is a delivered answer to be rated.
type Answer struct {
	RequestID string `json:"RequestId"`
	// Reporter is the instance for which the service keeps the rating.
	Reporter string
	Model    string
	Version  string
	Customer string
	Class    string
	Answer   string
}

// Rating is the rating of one answer.
type Rating struct {
	// Sequence numbers the ratings of one reporter in increasing order.
	Sequence  uint64
	RequestID string `json:"RequestId"`
	Model     string
	Version   string
	Customer  string
	Class     string
	Pass      bool
	Score     float64
	At        time.Time
}

// JudgeQuery asks the service to judge a single answer.
type JudgeQuery struct {
	RequestID string `json:"RequestId"`
	Model     string
	Version   string
	Class     string
	Prompt    string
	Answer    string
}

// JudgeResult is the service's answer to a JudgeQuery.
type JudgeResult struct {
	Pass  bool
	Score float64
}

type ratingsResponse struct {
	Ratings []Rating
}

// Submit submits a delivered answer for rating. The rating is read with Since.
func (c *Client) Submit(ctx context.Context, a Answer) error {
	if err := c.http.Post(ctx, c.baseURL+"/ratings", a, nil); err != nil {
		return fmt.Errorf("submit answer for rating: %w", err)
	}
	return nil
}

// Since returns the reporter's ratings whose sequence number is higher than
// after.
func (c *Client) Since(ctx context.Context, reporter string, after uint64) ([]Rating, error) {
	var resp ratingsResponse
	path := fmt.Sprintf("/ratings?reporter=%s&after=%d", url.QueryEscape(reporter), after)
	if err := c.http.Get(ctx, c.baseURL+path, &resp); err != nil {
		return nil, fmt.Errorf("read ratings: %w", err)
	}
	return resp.Ratings, nil
}

// Judge returns the service's judgement of an answer without delay.
func (c *Client) Judge(ctx context.Context, q JudgeQuery) (JudgeResult, error) {
	var result JudgeResult
	if err := c.http.Post(ctx, c.baseURL+"/judge", q, &result); err != nil {
		return JudgeResult{}, fmt.Errorf("judge answer: %w", err)
	}
	return result, nil
}
