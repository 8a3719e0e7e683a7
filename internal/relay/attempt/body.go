package attempt

import (
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// readBody reads at most limit bytes of a body, with the progress timeout for
// each read. It reports whether the body ended within the limit.
func (x *exchange) readBody(resp *fasthttp.Response, limit int) ([]byte, bool, *Error) {
	stream := resp.BodyStream()
	if stream == nil {
		return nil, true, nil
	}
	var buf bytes.Buffer
	src := &progressReader{src: stream, x: x}
	n, err := io.Copy(&buf, io.LimitReader(src, int64(limit)+1))
	if err != nil {
		return nil, false, x.fail(x.conn.readErrorKind(), err)
	}
	if n > int64(limit) {
		return buf.Bytes()[:limit], false, nil
	}
	if want := resp.Header.ContentLength(); want >= 0 && n < int64(want) {
		return nil, false, x.fail(Truncated, io.ErrUnexpectedEOF)
	}
	return buf.Bytes(), true, nil
}

// progressReader restarts the progress timeout after every read that returns
// bytes, and stops it at the end of the body.
type progressReader struct {
	src io.Reader
	x   *exchange
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	if n > 0 {
		r.x.conn.arm(ProgressTimeout, r.x.limits.Progress)
	}
	if errors.Is(err, io.EOF) {
		r.x.conn.disarm()
	}
	return n, err
}
