package oper

import (
	"context"

	"go.uber.org/zap"
)

// flush periodically retries to write audit records that the platform didn't
// accept, until ctx ends.
func (s *Server) flush(ctx context.Context) error {
	for s.clock.Sleep(ctx, flushInterval) == nil {
		if lost, err := s.publisher.Backlog().Flush(ctx); err == nil && lost > 0 {
			s.log.Warn("audit records dropped because the backlog was full", zap.Int("records", lost))
		}
	}
	return nil
}
