// Package rating is the client of the platform's rating service, which rates
// delivered answers some time later and judges single answers at once.
package rating

import (
	"context"
	"fmt"
	"net/url"
	"time"
)

// HTTPClient sends and asks for JSON documents over HTTP.
type HTTPClient interface {
	Get(ctx context.Context, url string, out any) error
	Post(ctx context.Context, url string, in, out any) error
}

// Client calls the rating service. It is safe for concurrent use.
type Client struct {
	base string
	http HTTPClient
}

// New returns a client of the service at this IP and port.
func New(address string, http HTTPClient) *Client {
	return &Client{"http://" + address, http}
}

// Answer is a delivered answer to be rated.
type Answer struct {
	RequestID string `json:"RequestId"`
	// Reporter is the instance that the rating is kept for.
	Reporter string
	Model    string
	Version  string
	Customer string
	Class    string
	Answer   string
}

// Rating is the rating of one answer.
type Rating struct {
	// Sequence grows with each rating of a reporter.
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

// JudgeQuery asks whether an answer is good enough.
type JudgeQuery struct {
	RequestID string `json:"RequestId"`
	Model     string
	Version   string
	Class     string
	Prompt    string
	Answer    string
}

// JudgeResult answers a Question.
type JudgeResult struct {
	Pass  bool
	Score float64
}

type ratingList struct {
	Ratings []Rating
}

// Submit hands an answer in.
func (c *Client) Submit(ctx context.Context, a Answer) error {
	if err := c.http.Post(ctx, c.base+"/ratings", a, nil); err != nil {
		return fmt.Errorf("submit for rating: %w", err)
	}
	return nil
}

// Since returns the reporter's ratings after a sequence number.
func (c *Client) Since(ctx context.Context, reporter string, after uint64) ([]Rating, error) {
	var list ratingList
	query := fmt.Sprintf("/ratings?reporter=%s&after=%d", url.QueryEscape(reporter), after)
	if err := c.http.Get(ctx, c.base+query, &list); err != nil {
		return nil, fmt.Errorf("read ratings: %w", err)
	}
	return list.Ratings, nil
}

// Judge asks for a verdict now.
func (c *Client) Judge(ctx context.Context, q JudgeQuery) (JudgeResult, error) {
	var v JudgeResult
	if err := c.http.Post(ctx, c.base+"/judge", q, &v); err != nil {
		return JudgeResult{}, fmt.Errorf("judge: %w", err)
	}
	return v, nil
}
