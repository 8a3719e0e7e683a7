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

// keyHeader carries the key that instances share.
const keyHeader = "Kingcupyard-Peer-Key"

// maxMessageBytes bounds a message; the store holds values up to a megabyte.
const maxMessageBytes = 4 << 20

var handlerOptions = []connect.HandlerOption{
	connect.WithReadMaxBytes(maxMessageBytes),
	connect.WithCompression(gzipName, newDecompressor, newCompressor),
	connect.WithCompressMinBytes(minCompressBytes),
}

var refusals = expvar.NewMap("PeerRefusals")

var errWrongKey = errors.New("wrong peer key")

// HeartbeatHandler answers heartbeats.
type HeartbeatHandler interface {
	Heartbeat(ctx context.Context, req *HeartbeatRequest) (*HeartbeatResponse, error)
}

// ConfigurationHandler answers offers of and requests for the configuration.
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

// PinsHandler exchanges pins of named sessions.
type PinsHandler interface {
	Pins(ctx context.Context, req *PinsRequest) (*PinsResponse, error)
}

// LedgerHandler commits bill and claim records.
type LedgerHandler interface {
	Ledger(ctx context.Context, req *LedgerRequest) (*LedgerResponse, error)
}

// CopiesHandler holds copies of records while the store is out.
type CopiesHandler interface {
	Copies(ctx context.Context, req *CopiesRequest) (*CopiesResponse, error)
}

// EvidenceHandler merges roll-out counters.
type EvidenceHandler interface {
	Evidence(ctx context.Context, req *EvidenceRequest) (*EvidenceResponse, error)
}

// ReportsHandler takes in load reports.
type ReportsHandler interface {
	Reports(ctx context.Context, req *ReportsRequest) (*ReportsResponse, error)
}

// ListingHandler takes in and gives changes of the instance list.
type ListingHandler interface {
	Listing(ctx context.Context, req *ListingRequest) (*ListingResponse, error)
}

// ExplainHandler finds decision records.
type ExplainHandler interface {
	Explain(ctx context.Context, req *ExplainRequest) (*ExplainResponse, error)
}

// StatusHandler tells the state of the instance.
type StatusHandler interface {
	Status(ctx context.Context, req *StatusRequest) (*StatusResponse, error)
}

// Server answers the peer protocol; calls without a handler are refused as
// unimplemented.
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

// ServerOption changes how a server is built.
type ServerOption func(*Server)

// WithKey makes the server refuse calls without this key.
func WithKey(key string) ServerOption { return func(s *Server) { s.key = key } }

// WithHeartbeatHandler sets who answers heartbeats.
func WithHeartbeatHandler(h HeartbeatHandler) ServerOption {
	return func(s *Server) { s.heartbeat = h }
}

// WithConfigurationHandler sets who answers for the configuration.
func WithConfigurationHandler(h ConfigurationHandler) ServerOption {
	return func(s *Server) { s.configuration = h }
}

// WithCreditHandler sets who grants credits.
func WithCreditHandler(h CreditHandler) ServerOption { return func(s *Server) { s.credit = h } }

// WithPinHandler sets who keeps pins.
func WithPinHandler(h PinHandler) ServerOption { return func(s *Server) { s.pin = h } }

// WithPinsHandler sets who exchanges pins.
func WithPinsHandler(h PinsHandler) ServerOption { return func(s *Server) { s.pins = h } }

// WithLedgerHandler sets who commits records.
func WithLedgerHandler(h LedgerHandler) ServerOption { return func(s *Server) { s.ledger = h } }

// WithCopiesHandler sets who holds copies.
func WithCopiesHandler(h CopiesHandler) ServerOption { return func(s *Server) { s.copies = h } }

// WithEvidenceHandler sets who merges evidence.
func WithEvidenceHandler(h EvidenceHandler) ServerOption {
	return func(s *Server) { s.evidence = h }
}

// WithReportsHandler sets who takes in load reports.
func WithReportsHandler(h ReportsHandler) ServerOption { return func(s *Server) { s.reports = h } }

// WithListingHandler sets who takes in and gives changes of the instance list.
func WithListingHandler(h ListingHandler) ServerOption { return func(s *Server) { s.listing = h } }

// WithExplainHandler sets who finds decision records.
func WithExplainHandler(h ExplainHandler) ServerOption { return func(s *Server) { s.explain = h } }

// WithStatusHandler sets who tells the state of the instance.
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

// HTTPServer returns a server for the peer listener. It speaks HTTP/2 without
// TLS, which compresses headers: they are most of a heartbeat.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		Protocols:         protocols(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       2 * idleTimeout,
	}
}

// readHeaderTimeout bounds how long a request's header may take.
const readHeaderTimeout = 5 * time.Second

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// service adapts the server to the generated handler.
type service struct{ *Server }

// answer checks the key, passes the message on and wraps the reply.
func answer[H any, Req, Resp any](ctx context.Context, s *Server, req *connect.Request[Req], handler H, isSet bool, call func(H, context.Context, *Req) (*Resp, error)) (*connect.Response[Resp], error) {
	if s.key != "" && subtle.ConstantTimeCompare([]byte(req.Header().Get(keyHeader)), []byte(s.key)) != 1 {
		refusals.Add("WrongKey", 1)
		return nil, connect.NewError(connect.CodeUnauthenticated, errWrongKey)
	}
	if !isSet {
		refusals.Add("Unimplemented", 1)
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New(req.Spec().Procedure))
	}
	resp, err := call(handler, ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func (s *service) Heartbeat(ctx context.Context, req *connect.Request[HeartbeatRequest]) (*connect.Response[HeartbeatResponse], error) {
	return answer(ctx, s.Server, req, s.heartbeat, s.heartbeat != nil, HeartbeatHandler.Heartbeat)
}

func (s *service) Configuration(ctx context.Context, req *connect.Request[ConfigurationRequest]) (*connect.Response[ConfigurationResponse], error) {
	return answer(ctx, s.Server, req, s.configuration, s.configuration != nil, ConfigurationHandler.Configuration)
}

func (s *service) Credit(ctx context.Context, req *connect.Request[CreditRequest]) (*connect.Response[CreditResponse], error) {
	return answer(ctx, s.Server, req, s.credit, s.credit != nil, CreditHandler.Credit)
}

func (s *service) Pin(ctx context.Context, req *connect.Request[PinRequest]) (*connect.Response[PinResponse], error) {
	return answer(ctx, s.Server, req, s.pin, s.pin != nil, PinHandler.Pin)
}

func (s *service) Pins(ctx context.Context, req *connect.Request[PinsRequest]) (*connect.Response[PinsResponse], error) {
	return answer(ctx, s.Server, req, s.pins, s.pins != nil, PinsHandler.Pins)
}

func (s *service) Ledger(ctx context.Context, req *connect.Request[LedgerRequest]) (*connect.Response[LedgerResponse], error) {
	return answer(ctx, s.Server, req, s.ledger, s.ledger != nil, LedgerHandler.Ledger)
}

func (s *service) Copies(ctx context.Context, req *connect.Request[CopiesRequest]) (*connect.Response[CopiesResponse], error) {
	return answer(ctx, s.Server, req, s.copies, s.copies != nil, CopiesHandler.Copies)
}

func (s *service) Evidence(ctx context.Context, req *connect.Request[EvidenceRequest]) (*connect.Response[EvidenceResponse], error) {
	return answer(ctx, s.Server, req, s.evidence, s.evidence != nil, EvidenceHandler.Evidence)
}

func (s *service) Reports(ctx context.Context, req *connect.Request[ReportsRequest]) (*connect.Response[ReportsResponse], error) {
	return answer(ctx, s.Server, req, s.reports, s.reports != nil, ReportsHandler.Reports)
}

func (s *service) Listing(ctx context.Context, req *connect.Request[ListingRequest]) (*connect.Response[ListingResponse], error) {
	return answer(ctx, s.Server, req, s.listing, s.listing != nil, ListingHandler.Listing)
}

func (s *service) Explain(ctx context.Context, req *connect.Request[ExplainRequest]) (*connect.Response[ExplainResponse], error) {
	return answer(ctx, s.Server, req, s.explain, s.explain != nil, ExplainHandler.Explain)
}

func (s *service) Status(ctx context.Context, req *connect.Request[StatusRequest]) (*connect.Response[StatusResponse], error) {
	return answer(ctx, s.Server, req, s.status, s.status != nil, StatusHandler.Status)
}
