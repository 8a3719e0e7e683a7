// Package host runs the HTTP listener that every stand-in shares: start and
// close, faults that are set while it runs, and connections that go silent.
package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxBody bounds what a stand-in reads of one request, in bytes.
const maxBody = 8 << 20

// Host is one HTTP listener. The zero Host is not usable; see New.
type Host struct {
	mux    *http.ServeMux
	server *http.Server
	done   chan struct{}
	epoch  atomic.Int64
	hang   atomic.Bool
}

type epochKey struct{}

// New returns a host with no handlers.
func New() *Host {
	return &Host{mux: http.NewServeMux(), done: make(chan struct{})}
}

// Handle registers a handler that obeys Hang and Silence.
func (h *Host) Handle(pattern string, handler http.HandlerFunc) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if h.hang.Load() || h.IsSilent(r.Context()) {
			h.Block(r)
		}
		handler(w, r)
	})
}

// Control registers a handler that always answers.
func (h *Host) Control(pattern string, handler http.Handler) {
	h.mux.Handle(pattern, handler)
}

// Start listens on address and returns the address bound.
func (h *Host) Start(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", address, err)
	}
	h.server = &http.Server{
		Handler:           h.mux,
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, epochKey{}, h.epoch.Load())
		},
	}
	go func() {
		if err := h.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("stand-in on %s: %v", address, err))
		}
	}()
	return listener.Addr().String(), nil
}

// Close stops the listener and breaks every connection.
func (h *Host) Close() {
	if h.server == nil {
		return
	}
	select {
	case <-h.done:
		return
	default:
		close(h.done)
	}
	_ = h.server.Close()
}

// Done is closed when the host closes.
func (h *Host) Done() <-chan struct{} { return h.done }

// SetHang makes every request, on whatever connection, wait without an answer.
func (h *Host) SetHang(hang bool) { h.hang.Store(hang) }

// Silence makes the connections that are open now silent for good; new ones
// work.
func (h *Host) Silence() { h.epoch.Add(1) }

// IsSilent reports whether the connection of a request has gone silent.
func (h *Host) IsSilent(ctx context.Context) bool {
	epoch, _ := ctx.Value(epochKey{}).(int64)
	return epoch < h.epoch.Load()
}

// Block waits until the caller gives up or the host closes, and then breaks
// the connection.
func (h *Host) Block(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-h.done:
	}
	panic(http.ErrAbortHandler)
}

// JSON writes a value as the answer.
func JSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Problem is the body of a stand-in's error answers.
type Problem struct {
	Error string
}

// Fail writes an error answer.
func Fail(w http.ResponseWriter, status int, format string, args ...any) {
	JSON(w, status, Problem{fmt.Sprintf(format, args...)})
}

// Decode reads a JSON body into value; fields it does not know are ignored.
func Decode(r *http.Request, value any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	return nil
}

// Faults holds the faults of one stand-in, which change while it runs.
type Faults[T any] struct {
	mu    sync.Mutex
	value T
	// OnChange is called after each change. It carries out faults that are
	// single events and clears them.
	OnChange func(*T)
}

// Get returns the faults in force.
func (f *Faults[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Update changes the faults in force.
func (f *Faults[T]) Update(change func(*T)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.value)
	if f.OnChange != nil {
		f.OnChange(&f.value)
	}
}

// ServeHTTP answers GET /faults with the faults in force, and takes changes by
// POST /faults: the fields in the body are set, others keep their value.
func (f *Faults[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		next := f.Get()
		dec := json.NewDecoder(io.LimitReader(r.Body, maxBody))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&next); err != nil {
			Fail(w, http.StatusBadRequest, "decode faults: %v", err)
			return
		}
		f.Update(func(v *T) { *v = next })
	}
	JSON(w, http.StatusOK, f.Get())
}
