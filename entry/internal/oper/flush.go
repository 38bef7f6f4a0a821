package oper

import (
	"context"

	"go.uber.org/zap"
)

// flush writes audit records that the platform didn't take, until ctx ends.
func (d *Door) flush(ctx context.Context) error {
	for d.timers.Sleep(ctx, flushTime) == nil {
		if lost, err := d.publisher.Backlog().Flush(ctx); err == nil && lost > 0 {
			d.log.Warn("audit records dropped", zap.Int("records", lost))
		}
	}
	return nil
}
