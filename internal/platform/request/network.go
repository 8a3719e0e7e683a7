package request

import (
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// isDialError reports whether the connection could not be established, so that
// the request was not sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// retryAfter returns the delay in the Retry-After header, which must be in
// seconds. It returns 0 if the header is missing or invalid.
func retryAfter(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
