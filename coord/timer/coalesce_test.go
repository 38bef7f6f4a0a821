package timer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSharedMoments checks that a timer fires neither early nor later than
// allowed, and that two timers fire either together or at least the shorter of
// their coalescing intervals apart.
func TestSharedMoments(t *testing.T) {
	s := New()
	due := func(t *rapid.T, name string) (time.Time, time.Duration) {
		d := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, name))
		interval := coalescingInterval(d / sleepSlackDivisor)
		at := s.origin.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "now")) + d)
		got := s.nextTick(at, interval)
		if wait := got.Sub(at); wait < 0 || wait > d/sleepSlackDivisor || (interval > 0 && got.Sub(s.origin)%interval != 0) {
			t.Fatalf("%v late for a sleep of %v with coalescing interval %v", wait, d, interval)
		}
		if interval == 0 && d >= 50*time.Millisecond {
			t.Fatalf("a sleep of %v has no coalescing interval", d)
		}
		return got, interval
	}
	rapid.Check(t, func(t *rapid.T) {
		a, long := due(t, "a")
		b, short := due(t, "b")
		if long < short {
			long, short = short, long
		}
		if apart := a.Sub(b); short > 0 && (long%short != 0 || apart%short != 0) {
			t.Fatalf("timers with coalescing intervals %v and %v fire %v apart", long, short, apart)
		}
	})
}
