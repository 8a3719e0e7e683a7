package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/billing/ledger"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/change"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/relay/explanation"
)

// Client calls the operator API of one instance.
type Client struct {
	base string
	key  string
	http *http.Client
}

const clientTimeout = 15 * time.Second

// NewClient returns a client of the API at base with the operators' key.
func NewClient(base, key string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), key: key, http: &http.Client{Timeout: clientTimeout}}
}

// Change is one change to commit.
type Change struct {
	// ID makes the change idempotent; empty lets the instance choose one.
	ID       string
	Operator string
	// Expected is the revision the operator saw; 0 stands for the newest.
	Expected int64
	NoWait   bool
	Command  change.Command
}

// Accepted says that a change was committed and where it is in force.
type Accepted struct {
	ChangeID string
	Revision int64
	InForce  []InForce
	Missing  []InForce
}

// Change commits a change and waits until it is in force, up to the target.
func (c *Client) Change(ctx context.Context, ch Change) (*Accepted, error) {
	return c.commit(ctx, "/operator/changes", ch)
}

// Restore writes the configuration in force into a store that has lost it.
func (c *Client) Restore(ctx context.Context, ch Change) (*Accepted, error) {
	return c.commit(ctx, "/operator/restore", ch)
}

func (c *Client) commit(ctx context.Context, path string, ch Change) (*Accepted, error) {
	var answer changeAnswer
	req := changeRequest(ch)
	if err := c.call(ctx, http.MethodPost, path, req, &answer); err != nil {
		return nil, err
	}
	return &Accepted{answer.ChangeID, answer.Revision, answer.InForce, answer.Missing}, nil
}

// Statuses returns the state of every instance that answers.
func (c *Client) Statuses(ctx context.Context) ([]Status, error) {
	var answer statusAnswer
	err := c.call(ctx, http.MethodGet, "/operator/status", nil, &answer)
	return answer.Instances, err
}

// Configuration returns the document in force, without its secrets.
func (c *Client) Configuration(ctx context.Context) (*configuration.Document, error) {
	var answer configurationAnswer
	if err := c.call(ctx, http.MethodGet, "/operator/configuration", nil, &answer); err != nil {
		return nil, err
	}
	answer.Document.Revision = answer.Revision
	return answer.Document, nil
}

// Explain returns the decision records of a request from all instances.
func (c *Client) Explain(ctx context.Context, requestID string) ([]explanation.Record, error) {
	var answer explainAnswer
	err := c.call(ctx, http.MethodGet, "/operator/explain/"+url.PathEscape(requestID), nil, &answer)
	return answer.Records, err
}

// Ledger returns what was billed, and the state of each shard.
func (c *Client) Ledger(ctx context.Context) (ledger.Audit, error) {
	var answer ledgerAnswer
	err := c.call(ctx, http.MethodGet, "/operator/ledger", nil, &answer)
	return answer.Audit, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode the call of %s: %w", path, err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return &Problem{Kind: ProblemBadInput, Field: "Operators", Value: c.base, Allowed: "a URL of an instance's operator listener"}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return &Problem{Kind: ProblemUnreachable, Message: err.Error(), MayHaveTakenEffect: method != http.MethodGet}
	}
	defer resp.Body.Close()
	return decodeAnswer(resp, out)
}

func decodeAnswer(resp *http.Response, out any) error {
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return &Problem{Kind: ProblemUnreachable, Message: "the answer broke off: " + err.Error(), MayHaveTakenEffect: true}
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(raw, out); err != nil {
			return &Problem{Kind: ProblemInternal, Message: "the answer is not readable: " + err.Error()}
		}
		return nil
	}
	var failed problemAnswer
	if err := json.Unmarshal(raw, &failed); err != nil || failed.Error == nil {
		return &Problem{Kind: ProblemInternal, Message: fmt.Sprintf("status %d", resp.StatusCode)}
	}
	return failed.Error
}
