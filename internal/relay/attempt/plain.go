package attempt

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// hopHeaders are not passed on in either direction.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Host": true, "Expect": true, "Accept-Encoding": true, "Authorization": true,
	HeaderAttempt: true, HeaderRequest: true, HeaderCustomer: true,
}

// IsHopByHopHeader reports whether a header belongs to one connection or is set by
// the router itself, and so is not passed on in either direction.
func IsHopByHopHeader(name string) bool { return hopHeaders[http.CanonicalHeaderKey(name)] }

// unframed is fasthttp's content length of a body that ends with its
// connection. Such a body cannot be told from a truncated one.
const unframed = -2

var errUnframed = errors.New("the answer states no length")

// Plain runs one attempt at a plain service's call. Any status is an answer;
// only failures to get one are errors.
func (c *Client) Plain(ctx context.Context, target Target, plain PlainRequest) (PlainAnswer, error) {
	x := c.newExchange(target, plain.AttemptID, plain.Limits, plain.Progress)
	x.before = plain.BeforeWrite
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	x.encodePlain(req, plain)
	if err := x.connect(ctx, plain.Idempotent); err != nil {
		return PlainAnswer{}, err
	}
	if err := x.send(req); err != nil {
		return PlainAnswer{}, err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.SkipBody = plain.Method == fasthttp.MethodHead
	if err := x.receive(resp); err != nil {
		return PlainAnswer{}, err
	}
	x.advance(call.Ran)
	if resp.Header.ContentLength() == unframed && !resp.SkipBody {
		return PlainAnswer{}, x.fail(Truncated, errUnframed)
	}
	x.conn.arm(ProgressTimeout, x.limits.Progress)
	body, whole, err := x.readBody(resp, x.limits.MaxAnswerBytes)
	if err != nil {
		return PlainAnswer{}, err
	}
	if !whole {
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
	setIdentity(req, plain.AttemptID, plain.RequestID, plain.Customer)
	req.SetBody(plain.Body)
}
