package parts

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/store"
)

// A lowered limit is accepted although zones without holders have parts, or
// holders have less than their zone's part. It isn't accepted while the holders'
// own parts exceed it.
func TestLoweredLimitAndEmptyZones(t *testing.T) {
	tests := map[string]struct {
		held     int64 // in zone a
		accepted bool
	}{
		"nothing held":   {accepted: true},
		"less than that": {held: 9, accepted: true},
		"more than that": {held: 11},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, table, zones := context.Background(), store.New(), []string{"a", "b", "c"}
			_, err := SetLimit(ctx, table, team, AtMost(120), zones)
			is.NoErr(err)
			h := New("h", "a")
			if tt.held > 0 {
				h.Take(team, Count(tt.held))
				is.NoErr(h.Settle(ctx, table, team, Amount{}))
				is.True(h.Take(team, Count(tt.held)))
			}
			accepted, err := SetLimit(ctx, table, team, AtMost(10), zones)
			is.NoErr(err)
			is.Equal(accepted, tt.accepted)
		})
	}
}
