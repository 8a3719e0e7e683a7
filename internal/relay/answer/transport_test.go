package answer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/standin/verbatim"
)

// TestTransport checks the heads of all answers on a kept connection, and nothing of their
// bodies.
func TestTransport(t *testing.T) {
	is := is.New(t)
	const body = "no: head\r\n\r\nHTTP/1.1 000"
	sound := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n" + body
	address := verbatim.Serve(t, sound, sound, strings.Replace(sound, "200", "000", 1))
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	get := func() (string, error) {
		resp, err := client.Post("http://"+address, "text/plain", strings.NewReader("x"))
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		return string(raw), err
	}
	for range 2 {
		got, err := get()
		is.NoErr(err)
		is.Equal(got, body)
	}
	_, err := get()
	var e *HeadError
	is.True(errors.As(err, &e))
	is.True(errors.Is(err, errStatus))
}

// An answer that arrives while a large request is being written is checked once: what is
// written after its head belongs to the same request.
func TestTransportEarlyAnswer(t *testing.T) {
	is := is.New(t)
	address := verbatim.Handle(t, func(conn *net.TCPConn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nbody")
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, "more")
	})
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	resp, err := client.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, 8<<20)))
	is.NoErr(err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(raw), "bodymore")
}
