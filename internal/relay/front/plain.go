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

// ownHeaders are part of the callers' interface and not handed on.
var ownHeaders = []string{headerIdempotencyKey, headerSession, headerRunState, attempt.HeaderPriority}

// isForwarded reports whether a header is handed on between caller and service.
func isForwarded(name string) bool {
	return !attempt.IsHopByHopHeader(name) && !slices.ContainsFunc(ownHeaders, func(own string) bool { return strings.EqualFold(own, name) })
}

// plain answers /services/NAME/... by calling a plain service.
func (f *Server) plain(c fiber.Ctx) error {
	doc, customer, err := f.customer(c)
	if err != nil {
		return err
	}
	p, err := f.parsePlain(c, doc, customer)
	if err != nil {
		return err
	}
	if f.stopping.Load() {
		return &call.Refusal{Reason: call.ReasonStopping, State: unclaimedState(c), RetryAfter: time.Second}
	}
	f.active.Add(1)
	defer f.active.Add(-1)
	answer, err := f.pipeline.Plain(f.base, p)
	if err != nil {
		return err
	}
	setHead(c, p.Request, pipeline.Head{RequestID: answer.RequestID})
	for _, h := range answer.Header {
		if isForwarded(h.Name) {
			c.Set(h.Name, h.Value)
		}
	}
	if answer.Replayed {
		c.Set(headerRepeated, "true")
	}
	c.Set(headerRunState, call.Ran.String())
	return c.Status(answer.Status).Send(answer.Body)
}

func (f *Server) parsePlain(c fiber.Ctx, doc *configuration.Document, customer *configuration.Customer) (*pipeline.PlainRequest, error) {
	name := c.Params("name")
	service := doc.Service(name)
	if service == nil || service.Kind != configuration.ServicePlain {
		return nil, &call.Refusal{Reason: call.ReasonUnknownService, Field: "path", Detail: "no plain service is called " + name}
	}
	if !customer.IsServiceAllowed(name) {
		return nil, &call.Refusal{Reason: call.ReasonNotAllowed, Field: "path", Detail: "the customer may not call " + name}
	}
	r, err := f.request(c, customer)
	if err != nil {
		return nil, err
	}
	path := "/" + c.Params("*")
	r.Model, r.Idempotent = name, service.IsIdempotent(c.Method(), path)
	return &pipeline.PlainRequest{
		Request: r, Service: name, Method: c.Method(), Path: path,
		Query: string(c.Request().URI().QueryString()), Header: forwarded(c),
	}, nil
}

// forwarded copies the headers that go on to the backend server.
func forwarded(c fiber.Ctx) []pipeline.Header {
	var list []pipeline.Header
	for k, v := range c.Request().Header.All() {
		name := string(k)
		if isForwarded(name) {
			list = append(list, pipeline.Header{Name: name, Value: string(v)})
		}
	}
	return list
}
