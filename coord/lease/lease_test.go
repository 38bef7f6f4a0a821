package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The holder of a term stops before the granter may consider it expired, for
// any two clocks whose rates differ by at most 1/driftDivisor and any request delay.
func TestTermEndsBeforeItIsOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Minute)).Draw(t, "length"))
		delay := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "delay"))
		rate := rapid.Float64Range(1-1.0/driftDivisor, 1).Draw(t, "rate") // of the holder's clock against the granter's
		granted := NewTerm(delay, length)                                 // starts when the request arrives
		held := NewTerm(0, length)                                        // starts before the request is sent
		end := time.Duration(float64(held.End()) / rate)                  // on the granter's clock
		if end >= delay+length {
			t.Fatalf("the holder stops at %v, the grant ends at %v", end, delay+length)
		}
		if granted.Over(end) || !granted.Over(delay+length+Margin(length)) {
			t.Fatal("the granter's term isn't over exactly after the holder's end and its own margin")
		}
	})
}

func TestZeroTermIsOver(t *testing.T) {
	is := is.New(t)
	is.True(!Term{}.Valid(0))
}

// An unanswered renewal can take effect late: a suspended endpoint may process
// it just before its leases expire.
func TestTrackerCountsAnUnansweredRenewal(t *testing.T) {
	is := is.New(t)
	const length = 9 * time.Second
	tracker := NewTracker(length, 0)
	tracker.Sent()
	is.True(!tracker.MayRenew())
	late := length - time.Millisecond // the leases are still valid
	is.True(!tracker.Over(late + length))
	is.True(tracker.Over(2*length + Margin(2*length)))
	tracker.Unsent()
	is.True(tracker.MayRenew())
	is.True(tracker.Over(length + Margin(length)))
}

func TestTrackerCountsStarts(t *testing.T) {
	is := is.New(t)
	const length = 9 * time.Second
	tracker := NewTracker(length, 0)
	tracker.Touch(5 * time.Second)
	is.True(!tracker.Over(13 * time.Second))
	is.True(tracker.Over(14*time.Second + Margin(length)))
}

func TestEpochsOfTwoProcessesDiffer(t *testing.T) {
	is := is.New(t)
	a, b := NewEpoch(1), NewEpoch(2)
	a.Observe(7<<tagBits | 9)
	b.Observe(7<<tagBits | 9)
	is.True(a.Next() != b.Next())
	is.True(a.Next() > a.Seen())
}
