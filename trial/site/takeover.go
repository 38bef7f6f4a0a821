package site

import (
	"context"
	"strings"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/trial/cell"
)

// WaitTakeover waits until every endpoint is owned by a placer other than the
// named one, at most d for each endpoint, and returns the time at which the wait
// ended.
func (s *Site) WaitTakeover(ctx context.Context, placer string, d time.Duration) time.Time {
	client := point.NewClient()
	defer client.Close()
	oldOwner := strings.TrimPrefix(placer, cell.RolePlacer+"-")
	for _, e := range s.cell.Endpoints() {
		cell.Wait(ctx, d, func() string {
			v, err := client.View(ctx, e.Address)
			if err != nil || v.Left <= 0 || v.Owner.Holder == oldOwner {
				return "not taken over"
			}
			return ""
		})
	}
	return time.Now()
}
