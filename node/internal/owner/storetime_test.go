package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// fixedStoreClock is a store clock that returns a fixed reading.
type fixedStoreClock struct{ reading platform.ClockReading }

func (t *fixedStoreClock) ClockReading() (platform.ClockReading, bool) { return t.reading, true }

// Successive owners that can't reach an executor agree on when its leases end: not before
// they really end, and not much later with each owner.
func TestLeaseEndsPassFromOwnerToOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		const lost = "lost"
		began := time.Unix(1_800_000_000, 0)
		clock := timer.New(timer.WithManual(began))
		storeNow := time.Hour // current time of the store's clock
		var closed board.Closed
		settled := 10 * time.Second
		end := settled // end of the leases, from the start of the first owner's term
		passed := time.Duration(0)
		for range rapid.IntRange(1, 6).Draw(t, "owners") {
			storeClock := &fixedStoreClock{}
			o := New(Deps{Host: "h", Clock: clock, StoreClock: storeClock})
			readClock := func() {
				delay := time.Duration(rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(t, "way"))
				asked := clock.Boot()
				clock.Advance(delay)
				storeNow, passed = storeNow+delay, passed+delay
				storeClock.reading = platform.ClockReading{Now: storeNow, Sent: asked, Received: clock.Boot()}
			}
			readClock()
			tm, _ := newTerm()
			tm.owner, tm.began, tm.settleTime = o, clock.Now(), settled
			tm.sessions[lost] = &session{term: tm, info: model.Executor{ID: lost}, silent: true}
			tm.restoreClosed(closed, clock.Now())
			if by := tm.leaseEndTime(lost); by.Before(began.Add(end)) {
				t.Fatalf("leases considered expired %v too early", began.Add(end).Sub(by))
			}
			is.True(tm.leaseEndTime(lost).Before(began.Add(end + 2*time.Second)))
			elapsed := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "rest"))
			clock.Advance(elapsed)
			storeNow, passed = storeNow+elapsed, passed+elapsed
			readClock()
			closed = board.Closed{Executors: []string{lost}, LeaseEnds: tm.leaseEnds([]string{lost}, clock.Now())}
		}
	})
}
