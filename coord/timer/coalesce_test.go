package timer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever two wait for, they wake together if their shared moments are less
// apart than the longer grain, and none wakes early or later than it may.
func TestSharedMoments(t *testing.T) {
	s := New()
	due := func(t *rapid.T, name string) (time.Time, time.Duration) {
		d := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, name))
		g := grain(d / sleepParts)
		at := s.began.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "now")) + d)
		got := s.shared(at, g)
		if wait := got.Sub(at); wait < 0 || wait > d/sleepParts || (g > 0 && got.Sub(s.began)%g != 0) {
			t.Fatalf("%v late for a sleep of %v with grain %v", wait, d, g)
		}
		if g == 0 && d >= 50*time.Millisecond {
			t.Fatalf("a sleep of %v shares no moment", d)
		}
		return got, g
	}
	rapid.Check(t, func(t *rapid.T) {
		a, long := due(t, "a")
		b, short := due(t, "b")
		if long < short {
			long, short = short, long
		}
		if apart := a.Sub(b); short > 0 && (long%short != 0 || apart%short != 0) {
			t.Fatalf("moments of grains %v and %v are %v apart", long, short, apart)
		}
	})
}
