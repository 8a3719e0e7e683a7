package request

import (
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// retryAfter reads the Retry-After header in seconds.
func retryAfter(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
