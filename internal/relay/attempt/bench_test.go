package attempt

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

const benchTokens = 100

// benchServer streams benchTokens tokens to each request.
func benchServer(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		id := string(ctx.Request.Header.Peek(HeaderAttempt))
		ctx.Response.Header.Set(HeaderAttempt, id)
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			for i := 1; i <= benchTokens; i++ {
				finish := "null"
				if i == benchTokens {
					finish = `"stop"`
				}
				fmt.Fprintf(w, `data: {"id":%q,"token":%d,"choices":[{"delta":{"content":"word "},"finish_reason":%s}]}`+"\n\n", id, i, finish)
				w.Flush()
			}
			fmt.Fprint(w, "data: [DONE]\n\n")
		})
	}}
	go server.Serve(ln)
	b.Cleanup(func() { server.Shutdown() })
	return ln.Addr().String()
}

// BenchmarkDirect reads the stream with fasthttp's own client, without the checks
// of an attempt.
func BenchmarkDirect(b *testing.B) {
	address := benchServer(b)
	client := &fasthttp.Client{StreamResponseBody: true}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + address + chatPath)
			req.Header.SetMethod(fasthttp.MethodPost)
			req.Header.Set(HeaderAttempt, "a1")
			req.SetBodyString(chatBody)
			if err := client.Do(req, resp); err != nil {
				b.Error(err)
				return
			}
			if _, err := io.Copy(io.Discard, resp.BodyStream()); err != nil {
				b.Error(err)
				return
			}
			resp.CloseBodyStream()
			fasthttp.ReleaseRequest(req)
			fasthttp.ReleaseResponse(resp)
		}
	})
	b.ReportMetric(benchTokens*float64(b.N)/b.Elapsed().Seconds(), "Tokens/s")
}

// BenchmarkAttempt reads the same stream with Client.Chat.
func BenchmarkAttempt(b *testing.B) {
	target := Target{Server: "bench", Address: benchServer(b)}
	client := New()
	defer client.Close()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			chat := ChatRequest{AttemptID: "a1", Model: "small", Version: "v1", Body: []byte(chatBody), Stream: true}
			if _, err := client.Chat(context.Background(), target, chat, func(Chunk) error { return nil }); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(benchTokens*float64(b.N)/b.Elapsed().Seconds(), "Tokens/s")
}
