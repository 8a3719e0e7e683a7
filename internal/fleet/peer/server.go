package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"expvar"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

// keyHeader is the header that carries the key shared by the instances.
const keyHeader = "Kingcupyard-Peer-Key"

// maxMessageBytes is the maximum size of a message. It leaves room for a value of
// the store, which can have up to a megabyte.
const maxMessageBytes = 4 << 20

var handlerOptions = []connect.HandlerOption{
	connect.WithReadMaxBytes(maxMessageBytes),
	connect.WithCompression(gzipName, newDecompressor, newCompressor),
	connect.WithCompressMinBytes(minCompressBytes),
}

var refusalCounts = expvar.NewMap("PeerRefusals")

var errWrongKey = errors.New("wrong peer key")

// HeartbeatHandler answers the heartbeats of other instances.
type HeartbeatHandler interface {
	Heartbeat(ctx context.Context, req *HeartbeatRequest) (*HeartbeatResponse, error)
}

// ConfigurationHandler answers offers of and requests for the configuration
// document.
type ConfigurationHandler interface {
	Configuration(ctx context.Context, req *ConfigurationRequest) (*ConfigurationResponse, error)
}

// CreditHandler answers requests for cold-start credits.
type CreditHandler interface {
	Credit(ctx context.Context, req *CreditRequest) (*CreditResponse, error)
}

// PinHandler answers reads and writes of session pins.
type PinHandler interface {
	Pin(ctx context.Context, req *PinRequest) (*PinResponse, error)
}

// PinsHandler exchanges the pins of named sessions.
type PinsHandler interface {
	Pins(ctx context.Context, req *PinsRequest) (*PinsResponse, error)
}

// LedgerHandler commits billing and claim records.
type LedgerHandler interface {
	Ledger(ctx context.Context, req *LedgerRequest) (*LedgerResponse, error)
}

// CopiesHandler holds copies of records while the store is unavailable.
type CopiesHandler interface {
	Copies(ctx context.Context, req *CopiesRequest) (*CopiesResponse, error)
}

// EvidenceHandler merges rollout counters.
type EvidenceHandler interface {
	Evidence(ctx context.Context, req *EvidenceRequest) (*EvidenceResponse, error)
}

// ReportsHandler receives load reports.
type ReportsHandler interface {
	Reports(ctx context.Context, req *ReportsRequest) (*ReportsResponse, error)
}

// ListingHandler receives and returns changes of the instance list.
type ListingHandler interface {
	Listing(ctx context.Context, req *ListingRequest) (*ListingResponse, error)
}

// ExplainHandler returns decision records.
type ExplainHandler interface {
	Explain(ctx context.Context, req *ExplainRequest) (*ExplainResponse, error)
}

// StatusHandler returns the state of the instance.
type StatusHandler interface {
	Status(ctx context.Context, req *StatusRequest) (*StatusResponse, error)
}

// Server serves the peer protocol. It answers calls that have no handler with
// connect.CodeUnimplemented.
type Server struct {
	key           string
	heartbeat     HeartbeatHandler
	configuration ConfigurationHandler
	credit        CreditHandler
	pin           PinHandler
	pins          PinsHandler
	ledger        LedgerHandler
	copies        CopiesHandler
	evidence      EvidenceHandler
	reports       ReportsHandler
	listing       ListingHandler
	explain       ExplainHandler
	status        StatusHandler
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithKey makes the server refuse calls without this key with
// connect.CodeUnauthenticated. An empty key disables the check.
func WithKey(key string) ServerOption { return func(s *Server) { s.key = key } }

// WithHeartbeatHandler sets the handler of Heartbeat calls.
func WithHeartbeatHandler(h HeartbeatHandler) ServerOption {
	return func(s *Server) { s.heartbeat = h }
}

// WithConfigurationHandler sets the handler of Configuration calls.
func WithConfigurationHandler(h ConfigurationHandler) ServerOption {
	return func(s *Server) { s.configuration = h }
}

// WithCreditHandler sets the handler of Credit calls.
func WithCreditHandler(h CreditHandler) ServerOption { return func(s *Server) { s.credit = h } }

// WithPinHandler sets the handler of Pin calls.
func WithPinHandler(h PinHandler) ServerOption { return func(s *Server) { s.pin = h } }

// WithPinsHandler sets the handler of Pins calls.
func WithPinsHandler(h PinsHandler) ServerOption { return func(s *Server) { s.pins = h } }

// WithLedgerHandler sets the handler of Ledger calls.
func WithLedgerHandler(h LedgerHandler) ServerOption { return func(s *Server) { s.ledger = h } }

// WithCopiesHandler sets the handler of Copies calls.
func WithCopiesHandler(h CopiesHandler) ServerOption { return func(s *Server) { s.copies = h } }

// WithEvidenceHandler sets the handler of Evidence calls.
func WithEvidenceHandler(h EvidenceHandler) ServerOption {
	return func(s *Server) { s.evidence = h }
}

// WithReportsHandler sets the handler of Reports calls.
func WithReportsHandler(h ReportsHandler) ServerOption { return func(s *Server) { s.reports = h } }

// WithListingHandler sets the handler of Listing calls.
func WithListingHandler(h ListingHandler) ServerOption { return func(s *Server) { s.listing = h } }

// WithExplainHandler sets the handler of Explain calls.
func WithExplainHandler(h ExplainHandler) ServerOption { return func(s *Server) { s.explain = h } }

// WithStatusHandler sets the handler of Status calls.
func WithStatusHandler(h StatusHandler) ServerOption { return func(s *Server) { s.status = h } }

// NewServer returns a server of the peer protocol.
func NewServer(opts ...ServerOption) *Server {
	s := &Server{}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Handler returns the HTTP handler to mount on the peer listener.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(NewPeerHandler(&service{s}, handlerOptions...))
	return mux
}

// HTTPServer returns an HTTP server for the peer listener. It uses HTTP/2 without
// TLS: HTTP/2 compresses headers, which make up most of a heartbeat.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		Protocols:         protocols(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       2 * idleTimeout,
	}
}

// readHeaderTimeout is the maximum time to read a request's header.
const readHeaderTimeout = 5 * time.Second

// protocols returns the set that contains only HTTP/2 without TLS.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// service implements the generated PeerHandler interface.
type service struct{ *Server }

// handle checks the shared key, calls the handler and wraps its response.
func handle[H any, Req, Resp any](ctx context.Context, s *Server, req *connect.Request[Req], handler H, isSet bool, call func(H, context.Context, *Req) (*Resp, error)) (*connect.Response[Resp], error) {
	if s.key != "" && subtle.ConstantTimeCompare([]byte(req.Header().Get(keyHeader)), []byte(s.key)) != 1 {
		refusalCounts.Add("WrongKey", 1)
		return nil, connect.NewError(connect.CodeUnauthenticated, errWrongKey)
	}
	if !isSet {
		refusalCounts.Add("Unimplemented", 1)
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New(req.Spec().Procedure))
	}
	resp, err := call(handler, ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func (s *service) Heartbeat(ctx context.Context, req *connect.Request[HeartbeatRequest]) (*connect.Response[HeartbeatResponse], error) {
	return handle(ctx, s.Server, req, s.heartbeat, s.heartbeat != nil, HeartbeatHandler.Heartbeat)
}

func (s *service) Configuration(ctx context.Context, req *connect.Request[ConfigurationRequest]) (*connect.Response[ConfigurationResponse], error) {
	return handle(ctx, s.Server, req, s.configuration, s.configuration != nil, ConfigurationHandler.Configuration)
}

func (s *service) Credit(ctx context.Context, req *connect.Request[CreditRequest]) (*connect.Response[CreditResponse], error) {
	return handle(ctx, s.Server, req, s.credit, s.credit != nil, CreditHandler.Credit)
}

func (s *service) Pin(ctx context.Context, req *connect.Request[PinRequest]) (*connect.Response[PinResponse], error) {
	return handle(ctx, s.Server, req, s.pin, s.pin != nil, PinHandler.Pin)
}

func (s *service) Pins(ctx context.Context, req *connect.Request[PinsRequest]) (*connect.Response[PinsResponse], error) {
	return handle(ctx, s.Server, req, s.pins, s.pins != nil, PinsHandler.Pins)
}

func (s *service) Ledger(ctx context.Context, req *connect.Request[LedgerRequest]) (*connect.Response[LedgerResponse], error) {
	return handle(ctx, s.Server, req, s.ledger, s.ledger != nil, LedgerHandler.Ledger)
}

func (s *service) Copies(ctx context.Context, req *connect.Request[CopiesRequest]) (*connect.Response[CopiesResponse], error) {
	return handle(ctx, s.Server, req, s.copies, s.copies != nil, CopiesHandler.Copies)
}

func (s *service) Evidence(ctx context.Context, req *connect.Request[EvidenceRequest]) (*connect.Response[EvidenceResponse], error) {
	return handle(ctx, s.Server, req, s.evidence, s.evidence != nil, EvidenceHandler.Evidence)
}

func (s *service) Reports(ctx context.Context, req *connect.Request[ReportsRequest]) (*connect.Response[ReportsResponse], error) {
	return handle(ctx, s.Server, req, s.reports, s.reports != nil, ReportsHandler.Reports)
}

func (s *service) Listing(ctx context.Context, req *connect.Request[ListingRequest]) (*connect.Response[ListingResponse], error) {
	return handle(ctx, s.Server, req, s.listing, s.listing != nil, ListingHandler.Listing)
}

func (s *service) Explain(ctx context.Context, req *connect.Request[ExplainRequest]) (*connect.Response[ExplainResponse], error) {
	return handle(ctx, s.Server, req, s.explain, s.explain != nil, ExplainHandler.Explain)
}

func (s *service) Status(ctx context.Context, req *connect.Request[StatusRequest]) (*connect.Response[StatusResponse], error) {
	return handle(ctx, s.Server, req, s.status, s.status != nil, StatusHandler.Status)
}
