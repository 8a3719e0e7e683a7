package front

import (
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
)

// unforwardedHeaders are the headers of the caller-facing API that are not passed
// between callers and plain services.
var unforwardedHeaders = []string{headerIdempotencyKey, headerSessionID, headerRunState, attempt.HeaderPriority}

// isForwarded reports whether a request or response header is passed between the
// caller and a plain service.
func isForwarded(name string) bool {
	return !attempt.IsHopByHopHeader(name) && !slices.ContainsFunc(unforwardedHeaders, func(h string) bool { return strings.EqualFold(h, name) })
}

// handlePlain handles /services/NAME/... by calling the plain service NAME.
func (s *Server) handlePlain(c fiber.Ctx) error {
	doc, customer, err := s.authenticate(c)
	if err != nil {
		return err
	}
	req, err := s.parsePlain(c, doc, customer)
	if err != nil {
		return err
	}
	if s.stopping.Load() {
		return &call.Refusal{Reason: call.ReasonStopping, State: runStateBeforeClaim(c), RetryAfter: time.Second}
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	answer, err := s.pipeline.Plain(s.baseCtx, req)
	if err != nil {
		return err
	}
	setHeaders(c, req.Request, pipeline.Head{RequestID: answer.RequestID})
	for _, h := range answer.Header {
		if isForwarded(h.Name) {
			c.Set(h.Name, h.Value)
		}
	}
	if answer.Replayed {
		c.Set(headerReplayed, "true")
	}
	c.Set(headerRunState, call.Ran.String())
	return c.Status(answer.Status).Send(answer.Body)
}

// parsePlain parses a plain request. It refuses unknown services and those that the
// customer is not allowed to call.
func (s *Server) parsePlain(c fiber.Ctx, doc *configuration.Document, customer *configuration.Customer) (*pipeline.PlainRequest, error) {
	name := c.Params("name")
	service := doc.Service(name)
	if service == nil || service.Kind != configuration.ServicePlain {
		return nil, &call.Refusal{Reason: call.ReasonUnknownService, Field: "path", Detail: "no plain service is called " + name}
	}
	if !customer.IsServiceAllowed(name) {
		return nil, &call.Refusal{Reason: call.ReasonNotAllowed, Field: "path", Detail: "the customer may not call " + name}
	}
	r, err := s.parseRequest(c, customer)
	if err != nil {
		return nil, err
	}
	path := "/" + c.Params("*")
	r.Model, r.Idempotent = name, service.IsIdempotent(c.Method(), path)
	return &pipeline.PlainRequest{
		Request: r, Service: name, Method: c.Method(), Path: path,
		Query: string(c.Request().URI().QueryString()), Header: forwardedHeaders(c),
	}, nil
}

// forwardedHeaders returns the request headers to send to the backend server.
func forwardedHeaders(c fiber.Ctx) []pipeline.Header {
	var headers []pipeline.Header
	for k, v := range c.Request().Header.All() {
		name := string(k)
		if isForwarded(name) {
			headers = append(headers, pipeline.Header{Name: name, Value: string(v)})
		}
	}
	return headers
}
