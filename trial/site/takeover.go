package site

import (
	"context"
	"strings"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/trial/cell"
)

// Taken waits until no endpoint is owned by a placer any more and each has an
// owner, for at most d, and returns when that was.
func (s *Site) WaitTakeover(ctx context.Context, placer string, d time.Duration) time.Time {
	client := point.NewClient()
	defer client.Close()
	holder := strings.TrimPrefix(placer, cell.RolePlacer+"-")
	for _, e := range s.cell.Endpoints() {
		cell.Wait(ctx, d, func() string {
			v, err := client.View(ctx, e.Address)
			if err != nil || v.Left <= 0 || v.Owner.Holder == holder {
				return "not taken"
			}
			return ""
		})
	}
	return time.Now()
}
