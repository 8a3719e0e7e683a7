package ledger

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// chunkFormat is the stored format that this version writes, and the newest one
// that it can read.
const chunkFormat = 1

// maxValueBytes limits the decompressed size of a stored value.
const maxValueBytes = 16 << 20

// Chunk is one entry of a shard's log: the records that a keeper committed in
// one write.
type Chunk struct {
	Format   int
	Shard    int
	Sequence uint64
	// Writer is the keeper that wrote the chunk, At the keeper's time of
	// writing.
	Writer  Origin
	At      time.Time
	Records []Record
}

// DecodeChunk decodes the stored form of a chunk. It returns a *FormatError if
// a newer version wrote it.
func DecodeChunk(value []byte) (Chunk, error) {
	var c Chunk
	if err := decodeValue(value, &c); err != nil {
		return Chunk{}, fmt.Errorf("decode ledger chunk: %w", err)
	}
	if c.Format > chunkFormat {
		return Chunk{}, &FormatError{Format: c.Format}
	}
	return c, nil
}

// FormatError reports a stored format that this version cannot read because it
// is newer.
type FormatError struct{ Format int }

func (e *FormatError) Error() string {
	return fmt.Sprintf("ledger format %d is newer than %d", e.Format, chunkFormat)
}

// gzipWriters pools the compressors, since allocating one costs far more than
// using it.
var gzipWriters = sync.Pool{New: func() any {
	zw, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(fmt.Sprintf("ledger: create gzip writer: %v", err))
	}
	return zw
}}

// encodeValue returns the compressed JSON form in which v is stored.
func encodeValue(v any) ([]byte, error) {
	var buf bytes.Buffer
	zw := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(zw)
	zw.Reset(&buf)
	if err := json.NewEncoder(zw).Encode(v); err != nil {
		return nil, err
	}
	if err := zw.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// decodeValue decodes a stored value into v.
func decodeValue(value []byte, v any) error {
	zw, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return err
	}
	data, err := io.ReadAll(io.LimitReader(zw, maxValueBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
