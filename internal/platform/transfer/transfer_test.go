package transfer

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A response that arrives in parts may take longer than the timeout, one that stalls may
// not.
func TestTimeoutRestartsWithProgress(t *testing.T) {
	is := is.New(t)
	const first, stall = 20 * time.Millisecond, time.Minute
	parts := 0
	ctx, timeout := WithTimeout(WithProgress(t.Context(), func() { parts++ }), time.Minute, stall)
	defer timeout.Stop()
	source, sink := io.Pipe()
	go func() {
		for _, part := range []string{"a", "b", "c"} {
			if _, err := io.WriteString(sink, part); err != nil {
				return
			}
		}
		sink.Close()
	}()
	body, err := io.ReadAll(timeout.Reader(source))
	is.NoErr(err)
	is.Equal(string(body), "abc")
	is.Equal(parts, 3)
	is.NoErr(ctx.Err())

	ctx, stalled := WithTimeout(t.Context(), first, stall)
	defer stalled.Stop()
	<-ctx.Done()
	is.True(errors.Is(context.Cause(ctx), ErrStalled))
}
