package oper

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/config"
)

// Option configures a Server.
type Option func(*Server)

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option {
	return func(srv *Server) { srv.log = l }
}

// WithMetrics sets the registry of the server's metrics.
func WithMetrics(r metrics.Registry) Option {
	return func(srv *Server) { srv.registry = r }
}

// WithSettler sets an additional condition that a publish waits for, besides
// the confirmation of all hosts.
func WithSettler(s config.Settler) Option {
	return func(srv *Server) { srv.settler = s }
}
