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

// chunkFormat is the stored format that this program writes, and the highest
// that it reads.
const chunkFormat = 1

// maxValueBytes bounds a decoded value of the store.
const maxValueBytes = 16 << 20

// Chunk is one write of a shard: the records that a keeper gathered.
type Chunk struct {
	Format   int
	Shard    int
	Sequence uint64
	// Writer is the keeper that wrote it, At is its time.
	Writer  Origin
	At      time.Time
	Records []Record
}

// DecodeChunk reads the stored form of a chunk.
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

// FormatError reports a stored format that is newer than this program.
type FormatError struct{ Format int }

func (e *FormatError) Error() string {
	return fmt.Sprintf("ledger format %d is newer than %d", e.Format, chunkFormat)
}

// gzipWriters are kept, since making one costs far more than using it.
var gzipWriters = sync.Pool{New: func() any {
	zip, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(fmt.Sprintf("ledger: the compressor refuses its own level: %v", err))
	}
	return zip
}}

// encodeValue returns the compressed JSON of a value of the store.
func encodeValue(v any) ([]byte, error) {
	var buf bytes.Buffer
	zip := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(zip)
	zip.Reset(&buf)
	if err := json.NewEncoder(zip).Encode(v); err != nil {
		return nil, err
	}
	if err := zip.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func decodeValue(value []byte, v any) error {
	zip, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return err
	}
	data, err := io.ReadAll(io.LimitReader(zip, maxValueBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
