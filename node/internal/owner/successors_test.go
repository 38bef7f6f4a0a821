package owner

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
)

// A cell that a less powerful host took over, because no other one responded, goes to a
// more powerful host. An overloaded owner gives it to a host as powerful as itself, but no
// owner gives it to a less powerful one or to one that would have to read everything first.
func TestCellGoesToBetterHost(t *testing.T) {
	ready := func(power int) []successor {
		return []successor{{host: board.Host{Name: "next", Power: power}, prepared: true}}
	}
	tests := map[string]struct {
		next       []successor
		age        time.Duration // of the term
		confirmed  time.Duration // time since the last confirmed write
		overloaded bool
		interval   time.Duration // since the last handover because of overload
		unloaded   bool
		handsOver  bool
	}{
		"more powerful":                 {next: ready(800), age: minTermTime, handsOver: true},
		"more powerful, not prepared":   {next: []successor{{host: board.Host{Name: "next", Power: 800}}}, age: minTermTime},
		"more powerful, term has begun": {next: ready(800), age: minTermTime / 2},
		"more powerful, store is away":  {next: ready(800), age: minTermTime, confirmed: minAuthority + time.Millisecond},
		"more powerful, not loaded yet": {next: ready(800), age: minTermTime, unloaded: true},
		"as powerful":                   {next: ready(192), age: minTermTime},
		"as powerful, overloaded":       {next: ready(192), age: minTermTime, overloaded: true, interval: overloadHandoverInterval, handsOver: true},
		"as powerful, overloaded again": {next: ready(192), age: minTermTime, overloaded: true, interval: overloadHandoverInterval / 2},
		"less powerful, overloaded":     {next: ready(100), age: minTermTime, overloaded: true, interval: overloadHandoverInterval},
		"nobody responds":               {age: minTermTime, overloaded: true, interval: overloadHandoverInterval},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			clock.Advance(time.Hour)
			tm, b := newTerm()
			putRow(t, b, board.HostKey("h"), board.Host{Name: "h", Power: 192})
			tm.owner.clock, tm.began, tm.loaded = clock, clock.Now().Add(-tt.age), !tt.unloaded
			tm.owner.nextOverloadHandover = clock.Boot() - tt.interval + overloadHandoverInterval
			tm.confirm(clock.Boot()-tt.confirmed, minAuthority)
			if tt.overloaded {
				tm.lag.smoothed = overloadLag + time.Millisecond
			}
			var handover *HandoverError
			is.Equal(errors.As(tm.betterOwner(tt.next), &handover), tt.handsOver)
		})
	}
}

// A host without enough processor time for its decisions counts as overloaded after some
// rounds; one that was suspended once doesn't.
func TestOverloadIsMeasured(t *testing.T) {
	rounds := func(n int, gap time.Duration) []time.Duration {
		out := make([]time.Duration, n)
		for i := range out {
			out[i] = gap
		}
		return out
	}
	tests := map[string]struct {
		gaps       []time.Duration
		overloaded bool
	}{
		"keeps up":            {gaps: rounds(100, maxDecideInterval)},
		"keeps up under load": {gaps: rounds(1000, 2*minDecideInterval)},
		"short of processor":  {gaps: rounds(10, 600*time.Millisecond), overloaded: true},
		"suspended once":      {gaps: append(rounds(20, maxDecideInterval), 5*time.Second, maxDecideInterval)},
		"recovered":           {gaps: append(rounds(10, 600*time.Millisecond), rounds(10, maxDecideInterval)...)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var m lagMeter
			now := time.Unix(1_800_000_000, 0)
			m.observe(now)
			for _, gap := range tt.gaps {
				now = now.Add(gap)
				m.observe(now)
			}
			is.Equal(m.overloaded(), tt.overloaded)
		})
	}
}
