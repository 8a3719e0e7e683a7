package peer

import (
	"compress/gzip"
	"io"
	"sync"

	"connectrpc.com/connect"
)

// The RPC library keeps a pool of compressors per client, and there is a client
// per address. A compressor takes more than half a megabyte, so all clients share
// these pools and hold a compressor only while a message is compressed.
var (
	writerPool = sync.Pool{New: func() any {
		w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
		if err != nil {
			panic(err)
		}
		return w
	}}
	readerPool = sync.Pool{New: func() any { return new(gzip.Reader) }}
)

const gzipName = "gzip"

func newDecompressor() connect.Decompressor { return &gzipReader{} }

func newCompressor() connect.Compressor { return &gzipWriter{} }

// gzipWriter is a connect.Compressor that holds a pooled compressor from the
// first Write to Close.
type gzipWriter struct {
	dst  io.Writer
	gzip *gzip.Writer
}

func (w *gzipWriter) Reset(dst io.Writer) { w.dst = dst }

func (w *gzipWriter) Write(b []byte) (int, error) {
	w.acquire()
	return w.gzip.Write(b)
}

func (w *gzipWriter) Close() error {
	w.acquire()
	err := w.gzip.Close()
	writerPool.Put(w.gzip)
	w.gzip = nil
	return err
}

func (w *gzipWriter) acquire() {
	if w.gzip == nil {
		w.gzip = writerPool.Get().(*gzip.Writer)
		w.gzip.Reset(w.dst)
	}
}

// gzipReader is a connect.Decompressor that holds a pooled decompressor from the
// first Read to Close.
type gzipReader struct {
	src  io.Reader
	gzip *gzip.Reader
}

func (r *gzipReader) Reset(src io.Reader) error {
	r.src = src
	return nil
}

func (r *gzipReader) Read(b []byte) (int, error) {
	if r.gzip == nil {
		g := readerPool.Get().(*gzip.Reader)
		if err := g.Reset(r.src); err != nil {
			readerPool.Put(g)
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
	readerPool.Put(r.gzip)
	r.gzip = nil
	return err
}
