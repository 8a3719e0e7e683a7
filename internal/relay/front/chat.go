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

// heartbeatInterval is how often a silent stream writes a comment line, so
// that a caller that hung up is noticed.
const heartbeatInterval = time.Second

// chat answers POST /v1/chat/completions.
func (f *Server) chat(c fiber.Ctx) error {
	_, customer, err := f.customer(c)
	if err != nil {
		return err
	}
	chat, err := f.parseChat(c, customer)
	if err != nil {
		return err
	}
	if f.stopping.Load() {
		return &call.Refusal{Reason: call.ReasonStopping, RetryAfter: time.Second}
	}
	ctx, cancel := context.WithCancel(f.base)
	s := newStream(ctx)
	f.active.Add(1)
	go func() {
		defer f.active.Add(-1)
		s.end(f.pipeline.Chat(ctx, chat, s))
	}()
	// Wait for the answer to begin: until then the status code is open.
	select {
	case <-s.begun:
	case <-s.done:
	}
	if !s.hasBegun() {
		defer cancel()
		return s.err
	}
	setHead(c, chat.Request, s.head)
	if chat.Request.Stream {
		return f.sendStream(c, s, cancel)
	}
	defer cancel()
	<-s.done
	if s.err != nil {
		return s.err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(s.whole)
}

func setHead(c fiber.Ctx, r *call.Request, h pipeline.Head) {
	c.Set("Request-Id", h.RequestID)
	c.Set(headerRequestID, r.CallerRequestID)
	if r.CallerRequestID == "" {
		c.Set(headerRequestID, h.RequestID)
	}
	if h.Session != "" {
		c.Set(headerSession, h.Session)
	}
	if h.Version != "" {
		c.Set(headerModel, h.Model+"@"+h.Version)
	}
}

// sendStream writes server-sent events until the answer ends.
func (f *Server) sendStream(c fiber.Ctx, s *stream, cancel context.CancelFunc) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		if err := f.copyStream(w, s); err != nil {
			f.log.Info("CallerGone", zap.String("RequestId", s.head.RequestID), zap.Error(err))
		}
	})
}

func (f *Server) copyStream(w *bufio.Writer, s *stream) error {
	tick := f.clock.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case payload := <-s.chunks:
			if err := writeEvent(w, payload); err != nil {
				return err
			}
		case <-tick.Chan():
			if err := writeLine(w, ": waiting\n\n"); err != nil {
				return err
			}
		case <-s.done:
			return f.finishStream(w, s)
		}
	}
}

// finishStream writes what is left in the buffer, then either the marker of a
// whole answer or an explicit error.
func (f *Server) finishStream(w *bufio.Writer, s *stream) error {
	for len(s.chunks) > 0 {
		if err := writeEvent(w, <-s.chunks); err != nil {
			return err
		}
	}
	if s.err == nil {
		return writeEvent(w, []byte("[DONE]"))
	}
	r := refusalOf(s.err)
	refusals.Add(string(r.Reason), 1)
	payload, err := json.Marshal(newErrorBody(r))
	if err != nil {
		return err
	}
	return writeEvent(w, payload)
}

func writeEvent(w *bufio.Writer, payload []byte) error {
	for _, part := range [][]byte{[]byte("data: "), payload, []byte("\n\n")} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return w.Flush()
}

func writeLine(w *bufio.Writer, line string) error {
	if _, err := w.WriteString(line); err != nil {
		return err
	}
	return w.Flush()
}

// models answers GET /v1/models with what the customer may use now.
func (f *Server) models(c fiber.Ctx) error {
	doc, customer, err := f.customer(c)
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
