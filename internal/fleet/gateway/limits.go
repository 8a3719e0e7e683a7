package gateway

import (
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/connection"
	"github.com/kingcupyard/kingcupyard/internal/relay/memory"
)

const (
	// callMemoryShare is the fraction of the process's memory limit that connections,
	// requests and answers may take together. The rest is for the runtime, the view of the
	// fleet, the kernel's buffers and what is freed but not yet collected.
	callMemoryShare = 0.4
	// connectionMemoryShare is the fraction of that which callers' connections may take,
	// whatever they carry, and answerMemoryShare the fraction that is left to answers.
	connectionMemoryShare = 0.3
	answerMemoryShare     = 0.2
	// callerConnectionShare and peerConnectionShare are the fractions of the file
	// descriptors that the connections of callers and of other instances may take. The rest
	// is for backend servers, the store and files.
	callerConnectionShare = 0.5
	peerConnectionShare   = 0.0625
	// maxReadyConnections and maxMetricsConnections bound the connections of those who ask
	// whether the instance is ready, and of those who read its metrics.
	maxReadyConnections   = 32
	maxMetricsConnections = 8
	// internalHeaderBytes, internalHeaderTimeout and internalIdleTimeout bound the requests of
	// the platform, of other instances and of operators' tools, which are small.
	internalHeaderBytes   = 4 << 10
	internalHeaderTimeout = time.Second
	internalIdleTimeout   = time.Minute
)

// callMemory is the memory that callers' connections, requests and answers may take together.
// Requests leave a part of it to answers.
type callMemory struct {
	whole, requests, answers *memory.Budget
}

// newCallMemory returns the memory for calls. What the callers' connections may take is
// reserved from the start.
func newCallMemory(s Settings) *callMemory {
	limit := callMemoryShare * float64(s.MemoryBytes)
	whole := memory.New(int64(limit))
	whole.Open().Reserve(maxCallerConnections(s) * connection.Bytes)
	return &callMemory{whole: whole, requests: whole.Part(int64((1 - answerMemoryShare) * limit)), answers: whole.Part(int64(limit))}
}

// maxCallerConnections returns the limit on callers' open connections.
func maxCallerConnections(s Settings) int {
	byMemory := callMemoryShare * connectionMemoryShare * float64(s.MemoryBytes) / connection.Bytes
	return max(1, int(min(byMemory, callerConnectionShare*float64(s.MaxFileDescriptors))))
}

// maxPeerConnections returns the limit on the open connections of other instances.
func (g *Gateway) maxPeerConnections() int {
	return max(1, int(peerConnectionShare*float64(g.Settings.MaxFileDescriptors)))
}

// bound returns a listener with a limit on its open connections.
func (g *Gateway) bound(l net.Listener, limit int, opts ...connection.Option) *connection.Listener {
	return connection.NewListener(l, limit, append(opts, connection.WithClock(g.Clock))...)
}

// publishConnections publishes the number of callers' open connections.
func (g *Gateway) publishConnections(l *connection.Listener) {
	memoryUse.Set("CallerConnections", expvar.Func(func() any { return l.Open() }))
}

// newInternalServer returns an HTTP server for others than callers. Their requests have no
// body; a connection with one is closed after the answer.
func newInternalServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength != 0 {
				w.Header().Set("Connection", "close")
				if http.NewResponseController(w).SetReadDeadline(time.Now()) != nil {
					panic(http.ErrAbortHandler) // the server would wait for the body
				}
			}
			conn := connection.FromContext(r.Context())
			if !conn.BeginWork() {
				panic(http.ErrAbortHandler)
			}
			defer conn.EndWork()
			h.ServeHTTP(w, r)
		}),
		ConnContext: connection.NewContext, ConnState: connection.TrackState,
		MaxHeaderBytes: internalHeaderBytes, ReadHeaderTimeout: internalHeaderTimeout, IdleTimeout: internalIdleTimeout,
	}
}
