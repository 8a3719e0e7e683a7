package order_test

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/kingcupyard/kingcupyard/internal/platform/order"
	"github.com/kingcupyard/kingcupyard/internal/platform/request"
	"github.com/kingcupyard/kingcupyard/internal/platform/weights"
)

// startServer starts an HTTP server with the handler on a local port and returns
// its address.
func startServer(t *testing.T, handler fasthttp.RequestHandler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return l.Addr().String()
}

func TestOrders(t *testing.T) {
	is := is.New(t)
	status := 200 // 0 closes the connection without an answer
	address := startServer(t, func(ctx *fasthttp.RequestCtx) {
		if status == 0 {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
			return
		}
		ctx.SetStatusCode(status)
	})
	c := order.New(request.New())
	send := func(s int) error {
		status = s
		return c.Send(context.Background(), address, order.Order{Kind: order.Load, Model: "m", Version: "v", Fence: 3})
	}
	is.NoErr(send(200))
	var fenced *order.FencedError
	is.True(errors.As(send(409), &fenced) && fenced.Fence == 3)
	var unknown *order.UnknownOutcomeError
	is.True(errors.As(send(0), &unknown))
	err := c.Send(context.Background(), "127.0.0.1:1", order.Order{})
	is.True(err != nil && !errors.As(err, &unknown))
}

func TestWeights(t *testing.T) {
	is := is.New(t)
	status := 200
	address := startServer(t, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("Retry-After", "7")
		ctx.SetStatusCode(status)
		ctx.SetBodyString(string(ctx.Path()))
	})
	c := weights.New(address, request.New())
	body, err := c.Fetch(context.Background(), "m", "v1")
	is.NoErr(err)
	is.Equal(string(body), "/weights/m/v1")
	status = 429
	_, err = c.Fetch(context.Background(), "m", "v1")
	var rateLimited *weights.RateLimitError
	is.True(errors.As(err, &rateLimited) && rateLimited.RetryAfter.Seconds() == 7)
	status = 404
	_, err = c.Fetch(context.Background(), "m", "v1")
	var notFound *weights.NotFoundError
	is.True(errors.As(c.Permit(context.Background(), "m", "v1"), &notFound))
	is.True(errors.As(err, &notFound))
}
