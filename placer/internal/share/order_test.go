package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

// TestViewUnderLoss delivers summaries of three placers out of order, duplicated
// and with losses, across restarts of the placers. It checks that each placer
// counts once, with the newest summary that arrived, and for at most SummaryTTL.
func TestViewUnderLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.New(timer.WithManual(time.Unix(0, 0)))
		v := New(clock)
		names := []string{"p0", "p1", "p2"}
		type received struct {
			summary Summary
			at      time.Time
		}
		var sent []Summary
		last := make(map[string]received)
		var epoch, seq uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				epoch++
			case 1:
				seq++
				cpu := rapid.Int64Range(0, 1000).Draw(t, "cpu")
				sent = append(sent, Summary{
					Placer: rapid.SampledFrom(names).Draw(t, "placer"), Epoch: epoch, Seq: seq,
					Capacity: wire.Needs{CPU: 1000}, Teams: []TeamUsage{NewTeamUsage("t", wire.Needs{CPU: cpu})},
				})
			case 2:
				if len(sent) == 0 {
					continue
				}
				s := rapid.SampledFrom(sent).Draw(t, "arrives")
				v.Merge(s)
				old, known := last[s.Placer]
				if !known || clock.Now().Sub(old.at) > SummaryTTL || s.newer(&old.summary) {
					last[s.Placer] = received{s, clock.Now()}
				}
			case 3:
				clock.Advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			}
			var cpu, capacity int64
			for _, p := range last {
				if clock.Now().Sub(p.at) <= SummaryTTL {
					cpu += p.summary.Teams[0].CPU
					capacity += 1000
				}
			}
			v.Version()
			if got := v.Used("t").CPU; got != cpu || v.Capacity().CPU != capacity {
				t.Fatalf("used %d of %d, want %d of %d", got, v.Capacity().CPU, cpu, capacity)
			}
		}
	})
}
