package attempt

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"
)

// upload is the write of a request that goes on while its answer is read.
type upload struct {
	// ended is closed when the write ends. err is valid then.
	ended chan struct{}
	err   error
}

// beginUpload begins to write a request.
func (c *conn) beginUpload(req requestWriter) {
	u := &upload{ended: make(chan struct{})}
	c.upload = u
	go func() {
		defer close(u.ended)
		u.err = c.send(req)
	}()
}

// isWritten reports whether the request has been written completely.
func (c *conn) isWritten() bool {
	if c.upload == nil {
		return true
	}
	select {
	case <-c.upload.ended:
		return c.upload.err == nil
	default:
		return false
	}
}

// confirmEnd returns the error of a read that has found the end of the connection: io.EOF if
// the server has closed it. The network reports the failure of a connection only once. If the
// upload got the report, the connection seems closed to reads. confirmEnd ends the upload.
func (c *conn) confirmEnd() error {
	if c.upload == nil {
		return io.EOF
	}
	if err := c.SetWriteDeadline(time.Unix(0, 0)); err != nil {
		return err
	}
	<-c.upload.ended
	switch err := c.upload.err; {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		return io.EOF
	case errors.Is(err, syscall.EPIPE):
		return io.EOF // the server closed the connection before it failed
	default:
		return err
	}
}
