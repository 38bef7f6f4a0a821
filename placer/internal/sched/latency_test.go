package sched

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// TestSlowEndpointGetsLess runs quick tasks on ten endpoints of eight slots.
// The first endpoint is slower for a while; the test counts its tasks.
func TestSlowEndpointGetsLess(t *testing.T) {
	const usual, slots = 50 * time.Millisecond, 8
	tests := map[string]struct {
		arrive int           // tasks submitted per tick of 10 ms
		long   time.Duration // task duration on the first endpoint in the middle phase
		odd    int           // there, every odd-th task takes 20 times as long; 0 for none
		most   float64       // maximum fraction of tasks started there in the middle phase
		busy   int           // maximum number of tasks running there at the end of the middle phase
		least  float64       // minimum fraction of tasks started there after recovery
	}{
		"ten times slower":           {arrive: 5, long: 10 * usual, most: 0.02, busy: 1, least: 0.05},
		"ten times slower, all full": {arrive: 30, long: 10 * usual, most: 0.02, busy: 1, least: 0.05},
		"four times slower":          {arrive: 5, long: 4 * usual, most: 0.02, busy: 2, least: 0.05},
		"little slower":              {arrive: 5, long: 2 * usual, most: 1, busy: slots, least: 0.05},
		"rarely slow":                {arrive: 5, long: usual, odd: 50, most: 1, busy: slots, least: 0.05},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := newManualTimer()
			s := New(WithTimer(clock))
			for i := range 10 {
				s.Join(Endpoint{Name: "e" + strconv.Itoa(i), Kind: point.Executor, Zone: "a", Capacity: wire.Needs{Slots: slots}})
			}
			ends := make(map[int][]string) // by tick
			here := make(map[string]bool)
			n, busy := 0, 0
			phase := func(ticks, from int, long time.Duration) float64 {
				first, all := 0, 0
				for tick := from; tick < from+ticks; tick++ {
					for _, id := range ends[tick] {
						if here[id] {
							busy--
						}
						s.Ended(id, 0, true)
					}
					delete(ends, tick)
					for range tt.arrive {
						n++
						if s.Waiting() < 100 {
							is.NoErr(s.Submit(Item{ID: strconv.Itoa(n), Team: "t", Queue: "q", Kind: wire.Quick, Needs: wire.Needs{Slots: 1}}))
						}
					}
					for _, d := range s.Decide() {
						s.Started(d.ID, d.Task)
						took := usual
						if d.Endpoint == "e0" {
							first++
							busy++
							here[d.ID] = true
							took = long
							if tt.odd > 0 && first%tt.odd == 0 {
								took *= 20
							}
						}
						all++
						end := tick + int(took/(10*time.Millisecond))
						ends[end] = append(ends[end], d.ID)
					}
					clock.Advance(10 * time.Millisecond)
				}
				return float64(first) / float64(all)
			}
			is.True(phase(500, 0, usual) >= 0.05)
			phase(300, 500, tt.long) // until it is found to be slow
			is.True(phase(2000, 800, tt.long) <= tt.most)
			is.True(busy <= tt.busy)
			phase(3000, 2800, usual) // until it has recovered
			is.True(phase(1000, 5800, usual) >= tt.least)
		})
	}
}
