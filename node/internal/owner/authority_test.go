package owner

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A successor takes over a silent owner only after that owner has stopped starting
// work by itself, whichever of its writes were done, and however long each of them
// was to hold.
func TestAuthorityEndsBeforeTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now, takeover time.Duration
		tm := &term{authority: leastAuthority}
		takeover = leastAuthority + takeoverMargin
		check := func() {
			if now >= takeover && now-tm.confirmed <= tm.authority {
				t.Fatalf("the owner acts at %v, a successor took over at %v", now, takeover)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "writes") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			check()
			typical := time.Duration(rapid.Int64Range(0, int64(800*time.Millisecond)).Draw(t, "typical"))
			asked, next := now, authorityFor(typical)
			tm.limit(next)
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "way there"))
			check()
			if now >= takeover {
				return // The successor's row is there: this write does nothing.
			}
			if !rapid.Bool().Draw(t, "done") {
				continue
			}
			takeover = now + next + takeoverMargin
			now += time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "way back"))
			check()
			if rapid.Bool().Draw(t, "answered") {
				tm.confirm(asked, next)
			}
		}
	})
}

// A store that answers at its usual rate, or many times as slowly, doesn't let an
// owner's authority run out between two heartbeats.
func TestAuthorityOutlastsHeartbeats(t *testing.T) {
	tests := map[string]time.Duration{"usual": 10 * time.Millisecond, "fifty times as slow": 400 * time.Millisecond}
	for name, typical := range tests {
		t.Run(name, func(t *testing.T) {
			if got := authorityFor(typical); got < beatPeriod+2*typical {
				t.Errorf("ownership holds for %v; a heartbeat each %v takes %v", got, beatPeriod, typical)
			}
			if beatPeriod*2 >= yieldAfter || beatPeriod >= probeAfter {
				t.Errorf("an owner writes each %v, is asked after %v and gives up after %v", beatPeriod, probeAfter, yieldAfter)
			}
		})
	}
}
