package httpd

import (
	"crypto/tls"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Option changes how New makes a Server.
type Option func(*Server)

// WithTLS makes the server speak HTTPS only. The configuration is asked for a
// certificate at each handshake.
func WithTLS(c *tls.Config) Option { return func(s *Server) { s.tls = c } }

// WithLimits replaces the default limits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithLogger sets the logger, also for gnet's own lines.
func WithLogger(l *zap.Logger) Option { return func(s *Server) { s.logger = l } }

// WithRegistry sets where the counters are registered.
func WithRegistry(r metrics.Registry) Option { return func(s *Server) { s.registry = r } }

// WithLoops sets the number of event loops.
func WithLoops(n int) Option { return func(s *Server) { s.loops = n } }
