// Package verbatim is a server whose answers needn't keep to the rules of HTTP.
package verbatim

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve starts a server that answers the requests on each connection in turn with the texts,
// and then closes it. It returns the server's address.
func Serve(t testing.TB, texts ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answer(conn, texts)
		}
	}()
	return l.Addr().String()
}

func answer(conn net.Conn, texts []string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for _, text := range texts {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}
