package front

import (
	"bufio"
	"context"
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
)

// heartbeatInterval is the time between comment lines in an event stream. Without
// them, the disconnect of a caller goes unnoticed while no chunks arrive.
const heartbeatInterval = time.Second

// handleChat handles POST /v1/chat/completions.
func (s *Server) handleChat(c fiber.Ctx) error {
	_, customer, err := s.authenticate(c)
	if err != nil {
		return err
	}
	req, err := s.parseChat(c, customer)
	if err != nil {
		return err
	}
	if s.stopping.Load() {
		return &call.Refusal{Reason: call.ReasonStopping, RetryAfter: time.Second}
	}
	ctx, cancel := context.WithCancel(s.baseCtx)
	resp := newResponsePipe(ctx)
	s.active.Add(1)
	go func() {
		defer s.active.Add(-1)
		resp.finish(s.pipeline.Chat(ctx, req, resp))
	}()
	// Wait until the answer begins or fails. An error before the head is written
	// still gets its own status code.
	select {
	case <-resp.headReady:
	case <-resp.done:
	}
	if !resp.isHeadReady() {
		defer cancel()
		return resp.err
	}
	setHeaders(c, req.Request, resp.head)
	if req.Request.Stream {
		return s.sendStream(c, resp, cancel)
	}
	defer cancel()
	<-resp.done
	if resp.err != nil {
		return resp.err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(resp.body)
}

// setHeaders sets the response headers: the request ID, the session and the model
// version. X-Request-Id is the caller's own request ID, or the request's ID if the
// caller sent none.
func setHeaders(c fiber.Ctx, r *call.Request, h pipeline.Head) {
	c.Set("Request-Id", h.RequestID)
	c.Set(headerRequestID, r.CallerRequestID)
	if r.CallerRequestID == "" {
		c.Set(headerRequestID, h.RequestID)
	}
	if h.Session != "" {
		c.Set(headerSessionID, h.Session)
	}
	if h.Version != "" {
		c.Set(headerModel, h.Model+"@"+h.Version)
	}
}

// sendStream sends the answer as server-sent events. It cancels the request when
// the answer is complete or the caller has disconnected.
func (s *Server) sendStream(c fiber.Ctx, resp *responsePipe, cancel context.CancelFunc) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		if err := s.copyStream(w, resp); err != nil {
			s.log.Info("CallerGone", zap.String("RequestId", resp.head.RequestID), zap.Error(err))
		}
	})
}

// copyStream writes chunks and heartbeats to w until the answer ends. A write
// error means that the caller has disconnected.
func (s *Server) copyStream(w *bufio.Writer, resp *responsePipe) error {
	ticker := s.clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case payload := <-resp.chunks:
			if err := writeEvent(w, payload); err != nil {
				return err
			}
		case <-ticker.Chan():
			if err := writeString(w, ": waiting\n\n"); err != nil {
				return err
			}
		case <-resp.done:
			return s.finishStream(w, resp)
		}
	}
}

// finishStream writes the chunks that are still buffered, followed by [DONE] if the
// answer is complete and by an error event if it is not.
func (s *Server) finishStream(w *bufio.Writer, resp *responsePipe) error {
	for len(resp.chunks) > 0 {
		if err := writeEvent(w, <-resp.chunks); err != nil {
			return err
		}
	}
	if resp.err == nil {
		return writeEvent(w, []byte("[DONE]"))
	}
	r := refusalOf(resp.err)
	refusals.Add(string(r.Reason), 1)
	payload, err := json.Marshal(newErrorBody(r))
	if err != nil {
		return err
	}
	return writeEvent(w, payload)
}

// writeEvent writes payload as one server-sent event and flushes w.
func writeEvent(w *bufio.Writer, payload []byte) error {
	for _, part := range [][]byte{[]byte("data: "), payload, []byte("\n\n")} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return w.Flush()
}

// writeString writes text and flushes w.
func writeString(w *bufio.Writer, text string) error {
	if _, err := w.WriteString(text); err != nil {
		return err
	}
	return w.Flush()
}

// handleModels handles GET /v1/models. It lists the models, model versions and
// cascades that the customer is allowed to use.
func (s *Server) handleModels(c fiber.Ctx) error {
	doc, customer, err := s.authenticate(c)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	add := func(id, owner string) {
		list.Data = append(list.Data, modelItem{ID: id, Object: "model", OwnedBy: owner})
	}
	allowed := map[string]bool{}
	for _, m := range doc.Models {
		for _, v := range m.Versions {
			if !doc.MayRun(customer.Name, m.Name, v.Name) {
				continue
			}
			if !allowed[m.Name] {
				add(m.Name, m.Service)
				allowed[m.Name] = true
			}
			add(m.Name+"@"+v.Name, m.Service)
		}
	}
	for _, cascade := range doc.Cascades {
		for _, m := range cascade.Models {
			if allowed[m] {
				add(cascade.Name, "cascade")
				break
			}
		}
	}
	return c.JSON(list)
}
