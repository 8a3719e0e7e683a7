package peer

import (
	"compress/gzip"
	"io"
	"sync"

	"connectrpc.com/connect"
)

// The RPC library pools compressors for each client. A compressor holds more
// than half a megabyte and there is a client for each address, so that all of
// them draw from the pools here, and only while a message is compressed.
var (
	writers = sync.Pool{New: func() any {
		w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
		if err != nil {
			panic(err)
		}
		return w
	}}
	readers = sync.Pool{New: func() any { return new(gzip.Reader) }}
)

const gzipName = "gzip"

func newDecompressor() connect.Decompressor { return &gzipReader{} }

func newCompressor() connect.Compressor { return &gzipWriter{} }

// gzipWriter holds a pooled compressor from its first write to its close.
type gzipWriter struct {
	to   io.Writer
	gzip *gzip.Writer
}

func (w *gzipWriter) Reset(to io.Writer) { w.to = to }

func (w *gzipWriter) Write(b []byte) (int, error) {
	w.take()
	return w.gzip.Write(b)
}

func (w *gzipWriter) Close() error {
	w.take()
	err := w.gzip.Close()
	writers.Put(w.gzip)
	w.gzip = nil
	return err
}

func (w *gzipWriter) take() {
	if w.gzip == nil {
		w.gzip = writers.Get().(*gzip.Writer)
		w.gzip.Reset(w.to)
	}
}

// gzipReader holds a pooled decompressor from its first read to its close.
type gzipReader struct {
	from io.Reader
	gzip *gzip.Reader
}

func (r *gzipReader) Reset(from io.Reader) error {
	r.from = from
	return nil
}

func (r *gzipReader) Read(b []byte) (int, error) {
	if r.gzip == nil {
		g := readers.Get().(*gzip.Reader)
		if err := g.Reset(r.from); err != nil {
			readers.Put(g)
			return 0, err
		}
		r.gzip = g
	}
	return r.gzip.Read(b)
}

func (r *gzipReader) Close() error {
	if r.gzip == nil {
		return nil
	}
	err := r.gzip.Close()
	readers.Put(r.gzip)
	r.gzip = nil
	return err
}
