package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/wire"
)

// TestUnresponsivePlacerIsSkipped covers a placer that was just killed or paused. Its
// last load shows free capacity, but it answers no requests. Only an unanswered
// probe marks it as unresponsive, so that a placer with long-running requests is
// still picked.
func TestUnresponsivePlacerIsSkipped(t *testing.T) {
	tests := map[string]struct {
		play func(tb *Table, advance func(time.Duration))
		want string
	}{
		"nothing sent":       {play: func(*Table, func(time.Duration)) {}, want: "a1 a2"},
		"sent a moment ago":  {play: func(tb *Table, advance func(time.Duration)) { tb.Enter("a1"); advance(probeAfter / 2) }, want: "a1 a2"},
		"probe not answered": {play: missProbe, want: "a2"},
		"probe answered": {play: func(tb *Table, advance func(time.Duration)) {
			missProbe(tb, advance)
			tb.Set("a1", load(1, 4, 0), tb.clock.Now())
		}, want: "a1 a2"},
		"another request answered": {play: func(tb *Table, advance func(time.Duration)) {
			other := tb.Enter("a1")
			missProbe(tb, advance)
			other.Answered()
		}, want: "a1 a2"},
		"all that were sent have ended": {play: func(tb *Table, advance func(time.Duration)) {
			v := tb.Enter("a1")
			advance(probeAfter)
			tb.Pick(Query{Kind: wire.Quick})
			v.Leave()
			advance(probeTimeout)
		}, want: "a1 a2"},
		"all are unresponsive": {play: func(tb *Table, advance func(time.Duration)) {
			for _, name := range []string{"a1", "a2", "b1"} {
				tb.Enter(name)
			}
			advance(probeAfter)
			tb.Pick(Query{Kind: wire.Quick})
			advance(probeTimeout)
		}, want: "a1 a2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb, clock := newTable()
			for _, p := range []string{"a1", "a2", "b1"} {
				tb.Set(p, load(1, 4, 0), clock.Now())
			}
			tt.play(tb, func(d time.Duration) { clock.Advance(d) })
			seen := make(map[string]bool)
			for range 100 {
				p, ok := tb.Pick(Query{Kind: wire.Quick})
				is.True(ok)
				is.True(contains(tt.want, p.Name))
				seen[p.Name] = true
			}
			is.Equal(len(seen), (len(tt.want)+1)/len("a1 "))
		})
	}
}

// missProbe sends a request to a1 and leaves it and the probe unanswered.
func missProbe(tb *Table, advance func(time.Duration)) {
	tb.Enter("a1")
	advance(probeAfter)
	tb.Pick(Query{Kind: wire.Quick})
	advance(probeTimeout)
}
