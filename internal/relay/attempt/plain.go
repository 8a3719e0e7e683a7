package attempt

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// hopByHopHeaders are not forwarded in either direction: those of one connection
// and those that the router sets itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Host": true, "Expect": true, "Accept-Encoding": true, "Authorization": true,
	HeaderAttempt: true, HeaderRequest: true, HeaderCustomer: true,
}

// IsHopByHopHeader reports whether a header is not forwarded in either
// direction, because it belongs to one connection or the router sets it itself.
func IsHopByHopHeader(name string) bool { return hopByHopHeaders[http.CanonicalHeaderKey(name)] }

// lengthUntilClose is fasthttp's content length for a body that ends when the
// connection closes. A truncated body cannot be detected there.
const lengthUntilClose = -2

var errNoLength = errors.New("the answer states no length")

// Plain runs one attempt to call a plain HTTP service. An answer with any status
// is returned without an error.
func (c *Client) Plain(ctx context.Context, target Target, plain PlainRequest) (PlainAnswer, error) {
	x := c.newExchange(target, plain.AttemptID, plain.Limits, plain.Progress)
	x.beforeWrite = plain.BeforeWrite
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	x.encodePlain(req, plain)
	if err := x.connect(ctx, plain.Idempotent); err != nil {
		return PlainAnswer{}, err
	}
	if err := x.writeRequest(req); err != nil {
		return PlainAnswer{}, err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.SkipBody = plain.Method == fasthttp.MethodHead
	if err := x.readHeader(resp); err != nil {
		return PlainAnswer{}, err
	}
	x.advance(call.Ran)
	if resp.Header.ContentLength() == lengthUntilClose && !resp.SkipBody {
		return PlainAnswer{}, x.fail(Truncated, errNoLength)
	}
	x.conn.arm(ProgressTimeout, x.limits.Progress)
	body, complete, err := x.readBody(resp, x.limits.MaxAnswerBytes)
	if err != nil {
		return PlainAnswer{}, err
	}
	if !complete {
		return PlainAnswer{}, x.fail(AnswerTooLarge, fmt.Errorf("answer is larger than %d bytes", x.limits.MaxAnswerBytes))
	}
	header := http.Header{}
	for key, value := range resp.Header.All() {
		if !IsHopByHopHeader(string(key)) {
			header.Add(string(key), string(value))
		}
	}
	x.finish(!resp.ConnectionClose())
	return PlainAnswer{Status: resp.StatusCode(), Header: header, Body: body, Duration: x.elapsed()}, nil
}

func (x *exchange) encodePlain(req *fasthttp.Request, plain PlainRequest) {
	uri := "http://" + x.target.Address + plain.Path
	if plain.Query != "" {
		uri += "?" + plain.Query
	}
	req.Header.SetMethod(plain.Method)
	req.SetRequestURI(uri)
	for key, values := range plain.Header {
		if IsHopByHopHeader(key) {
			continue
		}
		for _, v := range values {
			req.Header.Add(key, v)
		}
	}
	setIDHeaders(req, plain.AttemptID, plain.RequestID, plain.Customer)
	req.SetBody(plain.Body)
}
