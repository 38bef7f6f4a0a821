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

// Server is an HTTP server of monitoring pages: /metrics (all metrics as JSON),
// /list (their names as a JSON array), /health and /ready. /health always has
// status 200. /ready has status 200 if the process is ready, else 503 with the
// reason in its first line.
type Server struct {
	registry metrics.Registry
	ready    func() string
	details  func() []string                    // further lines of /ready; may be nil
	pages    map[string]fasthttp.RequestHandler // further pages by path
}

// Option configures a Server.
type Option func(*Server)

// WithPage adds a page at path, which replaces a built-in page of that path.
func WithPage(path string, page fasthttp.RequestHandler) Option {
	return func(s *Server) { s.pages[path] = page }
}

// WithDetail adds lines to /ready, such as warnings for operators that don't
// affect readiness. f returns the lines and may be called concurrently.
func WithDetail(f func() []string) Option { return func(s *Server) { s.details = f } }

// New returns a Server of the metrics in registry. ready returns the reason why
// the process isn't ready, or an empty string if it is; it may be called
// concurrently.
func New(registry metrics.Registry, ready func() string, opts ...Option) *Server {
	s := &Server{registry: registry, ready: ready, pages: make(map[string]fasthttp.RequestHandler)}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Run listens on address, a host and a port, and serves until ctx ends. The error
// is a *ListenError if it can't listen on address.
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
	if page, ok := s.pages[path]; ok {
		page(ctx)
		return
	}
	switch path {
	case "/metrics":
		ctx.SetContentType("application/json")
		metrics.WriteJSONOnce(s.registry, ctx)
	case "/list":
		s.serveNames(ctx)
	case "/health":
		ctx.SetBodyString("ok\n")
	case "/ready":
		if reason := s.ready(); reason != "" {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString(reason + "\n" + s.detailLines())
			return
		}
		ctx.SetBodyString("ready\n" + s.detailLines())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// detailLines returns the further lines of /ready.
func (s *Server) detailLines() string {
	if s.details == nil {
		return ""
	}
	var out strings.Builder
	for _, d := range s.details() {
		out.WriteString(d + "\n")
	}
	return out.String()
}

// serveNames writes the sorted names of all metrics as a JSON array.
func (s *Server) serveNames(ctx *fasthttp.RequestCtx) {
	names := make([]string, 0)
	s.registry.Each(func(name string, _ any) { names = append(names, name) })
	sort.Strings(names)
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(names)
}

// ListenError reports that the server can't listen on Address.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }
