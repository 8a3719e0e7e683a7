package front

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
)

const (
	maxKeyBytes     = 200
	maxSessionBytes = 1024
	maxTokensLimit  = 1 << 20
	// prefixBlockBytes is the length of prompt that one prefix hash adds.
	prefixBlockBytes = 256
	maxPrefixBlocks  = 32
)

// request builds what both kinds of call have in common.
func (f *Server) request(c fiber.Ctx, customer *configuration.Customer) (*call.Request, error) {
	now := f.clock.Now()
	session, err := printable(c, headerSession, maxSessionBytes)
	if err != nil {
		return nil, err
	}
	class, err := printable(c, headerClass, maxKeyBytes)
	if err != nil {
		return nil, err
	}
	trace, err := printable(c, headerRequestID, maxKeyBytes)
	if err != nil {
		return nil, err
	}
	timeout, err := f.callerTimeout(c)
	if err != nil {
		return nil, err
	}
	id, keyed, err := requestID(c, customer.Name)
	if err != nil {
		return nil, err
	}
	body := c.Body()
	return &call.Request{
		ID: id, HasIdempotencyKey: keyed, CallerRequestID: trace, Customer: customer.Name, Class: class, Session: session,
		Priority: customer.Priority, Body: body, BodyHash: xxhash.Sum64(body),
		ArrivedAt: now, Deadline: now.Add(timeout),
	}, nil
}

// requestID joins the customer and its idempotency key, or makes a new ID.
func requestID(c fiber.Ctx, customer string) (id string, keyed bool, err error) {
	key, err := printable(c, headerIdempotencyKey, maxKeyBytes)
	if err != nil {
		return "", false, err
	}
	if key != "" {
		return customer + ":" + key, true, nil
	}
	u, err := uuid.NewV7()
	if err != nil {
		return "", false, fmt.Errorf("make a request ID: %w", err)
	}
	return u.String(), false, nil
}

// printable returns a header of printable ASCII without spaces, quotes or
// backslashes, at most limit bytes long.
func printable(c fiber.Ctx, name string, limit int) (string, error) {
	v := c.Get(name)
	if len(v) > limit {
		return "", badField(name, fmt.Sprintf("longer than %d bytes", limit))
	}
	if strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' || r == '"' || r == '\\' }) {
		return "", badField(name, "want printable ASCII without spaces, quotes and backslashes")
	}
	return v, nil
}

func (f *Server) callerTimeout(c fiber.Ctx) (time.Duration, error) {
	v := c.Get(headerTimeout)
	if v == "" {
		return f.timeout, nil
	}
	ms, err := strconv.Atoi(v)
	if err != nil || ms < 1 {
		return 0, badField(headerTimeout, "want milliseconds, 1 or more")
	}
	return min(f.timeout, time.Duration(ms)*time.Millisecond), nil
}

// parseChat checks a chat completion request.
func (f *Server) parseChat(c fiber.Ctx, customer *configuration.Customer) (*pipeline.ChatRequest, error) {
	r, err := f.request(c, customer)
	if err != nil {
		return nil, err
	}
	var body chatBody
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return nil, jsonField(err)
	}
	if err := body.check(); err != nil {
		return nil, err
	}
	r.Model, r.Stream, r.Idempotent = *body.Model, body.Stream, true
	if body.MaxTokens != nil {
		r.MaxTokens = *body.MaxTokens
	}
	prompt := body.prompt()
	return &pipeline.ChatRequest{Request: r, Prompt: prompt, Prefix: prefixHashes(customer.Name, prompt)}, nil
}

func (b *chatBody) check() error {
	if b.Model == nil || *b.Model == "" {
		return badField("model", "want the name of a model")
	}
	if len(b.Messages) == 0 {
		return badField("messages", "want at least one message")
	}
	for i, m := range b.Messages {
		if m.Role == "" {
			return badField(fmt.Sprintf("messages[%d].role", i), "want a role")
		}
	}
	if b.MaxTokens != nil && (*b.MaxTokens < 1 || *b.MaxTokens > maxTokensLimit) {
		return badField("max_tokens", fmt.Sprintf("want 1 to %d", maxTokensLimit))
	}
	return nil
}

func (b *chatBody) prompt() string {
	var s strings.Builder
	for _, m := range b.Messages {
		s.WriteString(m.Role)
		s.WriteByte(':')
		s.Write(m.Content)
		s.WriteByte('\n')
	}
	return s.String()
}

// prefixHashes hashes the prompt's leading blocks, each with all before it.
// The customer is part of the hash: cached prompts are not shared.
func prefixHashes(customer, prompt string) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(customer)
	var hashes []uint64
	for len(prompt) >= prefixBlockBytes && len(hashes) < maxPrefixBlocks {
		_, _ = d.WriteString(prompt[:prefixBlockBytes])
		hashes = append(hashes, d.Sum64())
		prompt = prompt[prefixBlockBytes:]
	}
	return hashes
}

func jsonField(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return badField(te.Field, "want "+te.Type.String()+", not "+te.Value)
	}
	return badField("body", "want a JSON object: "+err.Error())
}

func badField(field, detail string) error {
	return &call.Refusal{Reason: call.ReasonBadRequest, Field: field, Detail: detail}
}
