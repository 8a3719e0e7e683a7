package request

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/standin/verbatim"
)

// An answer whose head breaks the rules of HTTP is none. A status of 000 counted as 200.
func TestMalformedHead(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"A\": 1}\n"
	for _, answer := range []string{
		"HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nSome Note: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
	} {
		is := is.New(t)
		c := New()
		url := "http://" + verbatim.Serve(t, sound, sound, answer)
		var out struct{ A int }
		for range 2 {
			is.NoErr(c.Post(t.Context(), url, 1, &out))
			is.Equal(out.A, 1)
		}
		var e *TransportError
		is.True(errors.As(c.Post(t.Context(), url, 1, nil), &e))
		is.True(!e.NotSent)
		c.Close()
	}
}
