package httpd

import (
	"crypto/tls"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Option changes how New makes a Server.
type Option func(*Server)

// WithTLS makes the server accept HTTPS only. The server gets its certificate
// from c at each handshake. The default is plain HTTP.
func WithTLS(c *tls.Config) Option { return func(s *Server) { s.tls = c } }

// WithLimits sets the limits. The default is DefaultLimits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithLogger sets the logger, which gnet uses too. The default discards all
// messages.
func WithLogger(l *zap.Logger) Option { return func(s *Server) { s.logger = l } }

// WithRegistry sets the registry of the server's metrics. Their names begin with
// entry.door. The default is a new registry.
func WithRegistry(r metrics.Registry) Option { return func(s *Server) { s.registry = r } }

// WithLoops sets the number of event loops. The default is 2.
func WithLoops(n int) Option { return func(s *Server) { s.loops = n } }
