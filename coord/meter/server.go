package meter

import (
	"context"
	"encoding/json"
	"net"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// Server answers /metrics (JSON), /list (the names), /health and /ready.
// Health is 200 while the process answers at all; readiness is 200 only while
// the given function returns an empty reason.
type Server struct {
	registry metrics.Registry
	ready    func() string
	detail   func() []string // nil without
	extra    map[string]fasthttp.RequestHandler
}

// Option changes how New makes a Server.
type Option func(*Server)

// WithPage adds a page of the process's own at path.
func WithPage(path string, page fasthttp.RequestHandler) Option {
	return func(s *Server) { s.extra[path] = page }
}

// WithDetail adds lines to the page of readiness: what operators should know
// although the process does its work. f may be called concurrently.
func WithDetail(f func() []string) Option { return func(s *Server) { s.detail = f } }

// New returns a Server over registry. ready returns why the process isn't
// ready, or an empty string; it may be called concurrently.
func New(registry metrics.Registry, ready func() string, opts ...Option) *Server {
	s := &Server{registry: registry, ready: ready, extra: make(map[string]fasthttp.RequestHandler)}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Run serves on address until ctx ends.
func (s *Server) Run(ctx context.Context, address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return &ListenError{Address: address, Err: err}
	}
	srv := &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, ReadBufferSize: 4096, Concurrency: 64}
	stop := context.AfterFunc(ctx, func() { _ = srv.Shutdown() })
	defer stop()
	return srv.Serve(ln)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if page, ok := s.extra[path]; ok {
		page(ctx)
		return
	}
	switch path {
	case "/metrics":
		ctx.SetContentType("application/json")
		metrics.WriteJSONOnce(s.registry, ctx)
	case "/list":
		s.list(ctx)
	case "/health":
		ctx.SetBodyString("ok\n")
	case "/ready":
		if reason := s.ready(); reason != "" {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString(reason + "\n" + s.lines())
			return
		}
		ctx.SetBodyString("ready\n" + s.lines())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// lines returns the details of readiness, one a line.
func (s *Server) lines() string {
	if s.detail == nil {
		return ""
	}
	var out strings.Builder
	for _, d := range s.detail() {
		out.WriteString(d + "\n")
	}
	return out.String()
}

func (s *Server) list(ctx *fasthttp.RequestCtx) {
	names := make([]string, 0)
	s.registry.Each(func(name string, _ any) { names = append(names, name) })
	sort.Strings(names)
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(names)
}

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }
