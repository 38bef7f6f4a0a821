package record

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/store"
)

// countingPlatform counts scans and commits, and calls beforeCommit once before
// the next commit.
type countingPlatform struct {
	*store.Memory
	beforeCommit func()
	scans        int
	commits      int
	largest      int // operations in one commit
}

// Scan implements Platform.
func (c *countingPlatform) Scan(ctx context.Context, table, prefix string) ([]store.Row, error) {
	c.scans++
	return c.Memory.Scan(ctx, table, prefix)
}

// Commit implements Platform.
func (c *countingPlatform) Commit(ctx context.Context, ops []store.Op) error {
	if f := c.beforeCommit; f != nil {
		c.beforeCommit = nil
		f()
	}
	c.commits++
	c.largest = max(c.largest, len(ops))
	return c.Memory.Commit(ctx, ops)
}

// TestOldClaimsAreRemoved checks how many rows remain after calls of Prune, when
// the hosts no longer know the rows that they wrote.
func TestOldClaimsAreRemoved(t *testing.T) {
	const keep, old, young = time.Minute, 150, 10
	ctx := context.Background()
	tests := map[string]struct {
		faults store.Faults // during the first round
		amid   func(p *pair, c *countingPlatform)
		rounds int
		left   int
	}{
		"once":                    {rounds: 1, left: young},
		"platform down":           {faults: store.Faults{Down: true}, rounds: 1, left: old + young},
		"platform back":           {faults: store.Faults{Down: true}, rounds: 2, left: young},
		"answers lost":            {faults: store.Faults{Lose: true}, rounds: 2, left: young},
		"writes lost":             {faults: store.Faults{Drop: 2}, rounds: 2, left: young},
		"two at the same moment":  {amid: func(p *pair, _ *countingPlatform) { p.keepers["a2"].Prune(ctx) }, rounds: 1, left: young},
		"claimed again during it": {amid: claimAgain, rounds: 2, left: young + 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair()
			c := &countingPlatform{Memory: p.platform}
			for _, k := range p.keepers {
				k.platform = c
			}
			put := func(from, n int, age time.Duration) {
				for i := from; i < from+n; i++ {
					id := fmt.Sprintf("red~%d", i)
					value, err := cbor.Marshal(Note{ID: id, Team: "red", Once: true, Run: 1, At: p.clock.Now().Add(-age).Unix()})
					is.NoErr(err)
					is.NoErr(p.platform.Commit(ctx, []store.Op{{Table: claimTable, Key: "a/" + id, Action: store.Put, Value: value}}))
				}
			}
			put(0, old, 3*keep)
			put(old, young, keep+keep/2)
			if tt.amid != nil {
				c.beforeCommit = func() { tt.amid(p, c) }
			}
			p.platform.SetFaults(tt.faults)
			for range tt.rounds {
				p.keepers["a1"].Prune(ctx)
				p.platform.SetFaults(store.Faults{})
			}
			rows, err := p.platform.Scan(ctx, claimTable, "")
			is.NoErr(err)
			t.Logf("%d scans, %d transactions", c.scans, c.commits)
			is.Equal(len(rows), tt.left)
			is.True(c.largest <= maxBatchOps)
			is.True(c.scans <= 3)
			is.True(c.commits <= 2*tt.rounds*(old/maxBatchOps+1)+2)
		})
	}
}

// claimAgain replaces an old claim by a new one.
func claimAgain(p *pair, c *countingPlatform) {
	rows, _ := p.platform.Scan(context.Background(), claimTable, "")
	for _, row := range rows {
		var n Note
		_ = cbor.Unmarshal(row.Value, &n)
		if n.ID == "red~7" {
			n.Run, n.At = 2, p.clock.Now().Unix()
			value, _ := cbor.Marshal(n)
			_ = c.Memory.Commit(context.Background(), []store.Op{
				{Table: claimTable, Key: row.Key, Expect: row.Version, Action: store.Put, Value: value},
			})
		}
	}
}
