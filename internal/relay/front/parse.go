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
	// maxIdentifierBytes limits request IDs, idempotency keys and task classes.
	maxIdentifierBytes = 200
	maxSessionBytes    = 1024
	maxTokensLimit     = 1 << 20
	// prefixBlockBytes is the length of the blocks in which prompt prefixes are
	// hashed.
	prefixBlockBytes = 256
	maxPrefixBlocks  = 32
)

// parseRequest returns the part of a request that chat and plain requests have in
// common.
func (s *Server) parseRequest(c fiber.Ctx, customer *configuration.Customer) (*call.Request, error) {
	now := s.clock.Now()
	session, err := printableHeader(c, headerSessionID, maxSessionBytes)
	if err != nil {
		return nil, err
	}
	class, err := printableHeader(c, headerTaskClass, maxIdentifierBytes)
	if err != nil {
		return nil, err
	}
	callerRequestID, err := printableHeader(c, headerRequestID, maxIdentifierBytes)
	if err != nil {
		return nil, err
	}
	timeout, err := s.parseTimeout(c)
	if err != nil {
		return nil, err
	}
	id, hasKey, err := requestID(c, customer.Name)
	if err != nil {
		return nil, err
	}
	body := c.Body()
	return &call.Request{
		ID: id, HasIdempotencyKey: hasKey, CallerRequestID: callerRequestID, Customer: customer.Name, Class: class, Session: session,
		Priority: customer.Priority, Body: body, BodyHash: xxhash.Sum64(body),
		ArrivedAt: now, Deadline: now.Add(timeout),
	}, nil
}

// requestID returns the customer's name joined with the idempotency key, or a new
// ID if the request has no key.
func requestID(c fiber.Ctx, customer string) (id string, hasKey bool, err error) {
	key, err := printableHeader(c, headerIdempotencyKey, maxIdentifierBytes)
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

// printableHeader returns the value of a header, or an empty string if it is not
// set. The value must be printable ASCII without spaces, quotes and backslashes, and
// at most limit bytes long.
func printableHeader(c fiber.Ctx, name string, limit int) (string, error) {
	v := c.Get(name)
	if len(v) > limit {
		return "", invalidField(name, fmt.Sprintf("longer than %d bytes", limit))
	}
	if strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' || r == '"' || r == '\\' }) {
		return "", invalidField(name, "want printable ASCII without spaces, quotes and backslashes")
	}
	return v, nil
}

// parseTimeout returns the timeout that the caller asks for, but at most the
// server's own.
func (s *Server) parseTimeout(c fiber.Ctx) (time.Duration, error) {
	v := c.Get(headerTimeout)
	if v == "" {
		return s.requestTimeout, nil
	}
	ms, err := strconv.Atoi(v)
	if err != nil || ms < 1 {
		return 0, invalidField(headerTimeout, "want milliseconds, 1 or more")
	}
	return min(s.requestTimeout, time.Duration(ms)*time.Millisecond), nil
}

// parseChat parses and validates a chat completion request.
func (s *Server) parseChat(c fiber.Ctx, customer *configuration.Customer) (*pipeline.ChatRequest, error) {
	r, err := s.parseRequest(c, customer)
	if err != nil {
		return nil, err
	}
	var body chatBody
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return nil, jsonRefusal(err)
	}
	if err := body.validate(); err != nil {
		return nil, err
	}
	r.Model, r.Stream, r.Idempotent = *body.Model, body.Stream, true
	if body.MaxTokens != nil {
		r.MaxTokens = *body.MaxTokens
	}
	prompt := body.prompt()
	return &pipeline.ChatRequest{Request: r, Prompt: prompt, Prefix: prefixHashes(customer.Name, prompt)}, nil
}

func (b *chatBody) validate() error {
	if b.Model == nil || *b.Model == "" {
		return invalidField("model", "want the name of a model")
	}
	if len(b.Messages) == 0 {
		return invalidField("messages", "want at least one message")
	}
	for i, m := range b.Messages {
		if m.Role == "" {
			return invalidField(fmt.Sprintf("messages[%d].role", i), "want a role")
		}
	}
	if b.MaxTokens != nil && (*b.MaxTokens < 1 || *b.MaxTokens > maxTokensLimit) {
		return invalidField("max_tokens", fmt.Sprintf("want 1 to %d", maxTokensLimit))
	}
	return nil
}

// prompt returns the roles and the raw JSON contents of all messages as one text.
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

// prefixHashes returns one hash for each of the first blocks of the prompt, computed
// over the block and all blocks before it. The customer's name is part of the hash
// because customers do not share cached prompts.
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

// jsonRefusal converts an error of json.Unmarshal to a refusal that names the
// invalid field.
func jsonRefusal(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return invalidField(te.Field, "want "+te.Type.String()+", not "+te.Value)
	}
	return invalidField("body", "want a JSON object: "+err.Error())
}

// invalidField returns a refusal of a request with an invalid header or body field.
func invalidField(field, detail string) error {
	return &call.Refusal{Reason: call.ReasonBadRequest, Field: field, Detail: detail}
}
