package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what is sent, answered and run, with the time since the start.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{started: time.Now(), file: file}, nil
}

// line writes one line to the record.
func (r *record) line(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), text)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.Close()
}
