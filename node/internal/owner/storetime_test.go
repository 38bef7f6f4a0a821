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

// driftingStore is a store with a clock that runs at a rate of its own, and the last record of
// closed executors.
type driftingStore struct {
	rate    float64
	host    *timer.Service
	began   time.Duration
	reading platform.ClockReading
	closed  board.Closed
}

// now returns the time on the store's clock.
func (s *driftingStore) now() time.Duration {
	return time.Hour + time.Duration(float64(s.host.Boot()-s.began)*s.rate)
}

// call advances the host's clock by the duration of a call, which reads the store's clock.
func (s *driftingStore) call(took time.Duration) {
	sent := s.host.Boot()
	at := s.now()
	s.host.Advance(took)
	s.reading = platform.ClockReading{Now: at, Sent: sent, Received: s.host.Boot()}
}

func (s *driftingStore) ClockReading() (platform.ClockReading, bool) { return s.reading, true }

// A successor that doesn't reach an executor started its tasks again while they were at work:
// an owner that reached the executor again extended its lease beyond the end that it had
// recorded, and was cut off before it could write another record. While a record that names an
// end may be in the store, all leases end before it.
func TestLeaseOutlastsRecordedEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 300 * time.Millisecond
		tm, clock, sessions := newTermWithExecutors(1)
		sess := sessions[0]
		id := sess.info.ID
		store := &driftingStore{rate: rapid.Float64Range(1-maxClockDrift, 1+maxClockDrift).Draw(t, "store's rate"), host: clock, began: clock.Boot()}
		tm.owner.storeClock = store
		began, rate := clock.Boot(), rapid.Float64Range(minClockRate, 1).Draw(t, "executor's rate")
		executorNow := func() time.Duration {
			return 2*time.Hour + time.Duration(float64(clock.Boot()-began)*rate)
		}
		granted := time.Duration(0) // latest end of a lease of this owner, on the executor's clock
		store.call(time.Millisecond)
		if rapid.Bool().Draw(t, "inherited") {
			store.closed = board.Closed{Executors: []string{id}, LeaseEnds: map[string]time.Duration{id: store.now() + 2*time.Second}}
			tm.restoreClosed(store.closed, clock.Now())
		}
		tm.confirm(clock.Boot(), minAuthority)
		r := &recorder{term: tm}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			clock.Advance(time.Duration(rapid.Int64Range(0, int64(step)).Draw(t, "pause")))
			switch rapid.SampledFrom([]string{"answer", "answer", "silence", "write"}).Draw(t, "event") {
			case "answer":
				if !sess.silent {
					granted = max(granted, sess.extendLease(clock.Now()))
				}
				sess.handleReport(pollAt(sess, clock.Now(), clock.Boot()), &platform.Report{Clock: executorNow()})
			case "silence":
				sess.handleFailure(&platform.LostError{})
			case "write":
				b := r.collect()
				sent := clock.Boot()
				outcome := rapid.SampledFrom([]string{"confirmed", "applied", "lost"}).Draw(t, "outcome")
				took := time.Duration(rapid.Int64Range(0, int64(step)).Draw(t, "took"))
				if outcome == "lost" {
					clock.Advance(took)
					continue
				}
				store.call(took)
				if b.closed != nil {
					store.closed = *b.closed
				}
				if outcome == "confirmed" {
					tm.confirm(sent, minAuthority)
					r.markRecorded(b)
				}
			}
			at, recorded := store.closed.LeaseEnds[id]
			if !recorded || granted <= executorNow() {
				continue
			}
			left := time.Duration(float64(granted-executorNow()) / rate)
			if trusted := time.Duration(float64(at-store.now()) / store.rate); left > trusted {
				t.Fatalf("a lease ends in %v, and according to the record all have ended in %v", left, trusted)
			}
		}
		// Once the executor answers and records are confirmed, its lease isn't bounded any more.
		sess.handleReport(pollAt(sess, clock.Now(), clock.Boot()), &platform.Report{Clock: executorNow()})
		store.call(time.Millisecond)
		tm.confirm(clock.Boot(), minAuthority)
		r.markRecorded(r.collect())
		if end := sess.extendLease(clock.Now()); end < executorNow()+leaseDuration-time.Millisecond {
			t.Fatalf("lease of %v in place of %v", end-executorNow(), leaseDuration)
		}
	})
}
