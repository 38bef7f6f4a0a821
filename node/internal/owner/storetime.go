package owner

import (
	"maps"
	"time"

	"github.com/balsamford/balsamford/node/internal/board"
)

// maxClockDrift bounds the difference between the rates of the store's clock and a
// host's, as a fraction.
const maxClockDrift = 0.01

// storeTime returns the earliest and the latest time that the store's clock may show
// now, and false if the clock was never read.
func (o *Owner) storeTime() (earliest, latest time.Duration, ok bool) {
	if o.storeClock == nil {
		return 0, 0, false
	}
	t, ok := o.storeClock.ClockReading()
	if !ok {
		return 0, 0, false
	}
	now := o.clock.Boot()
	earliest = t.Now + time.Duration(float64(now-t.Received)*(1-maxClockDrift))
	latest = t.Now + time.Duration(float64(now-t.Sent)*(1+maxClockDrift))
	return earliest, latest, true
}

// untilStoreTime returns the least time until the store's clock may show at. It isn't positive
// if that time may have passed or the store's clock was never read.
func (t *term) untilStoreTime(at time.Duration) time.Duration {
	_, latest, ok := t.owner.storeTime()
	if !ok {
		return 0
	}
	return time.Duration(float64(at-latest) / (1 + maxClockDrift))
}

// leaseEnds returns, for each closed executor that doesn't respond, the store time by
// which all its leases have ended. A time, once determined, doesn't change unless the
// executor responds again. The term's mu is held.
func (t *term) leaseEnds(closed []string, now time.Time) map[string]time.Duration {
	_, latest, ok := t.owner.storeTime()
	if !ok {
		return nil
	}
	out := make(map[string]time.Duration)
	for _, id := range closed {
		if at, known := t.leaseEndStoreTime[id]; known {
			out[id] = at
			continue
		}
		sess := t.sessions[id]
		remaining := t.began.Add(t.settleTime).Sub(now)
		switch {
		case sess != nil && !sess.silent:
			continue // Its leases may still be extended.
		case sess != nil && sess.lease.known():
			remaining = sess.lease.remaining(now)
		case sess != nil:
			remaining = sess.unknownLeaseEnd().Sub(now)
		}
		t.leaseEndStoreTime[id] = latest + time.Duration(float64(max(0, remaining))*(1+maxClockDrift))
		out[id] = t.leaseEndStoreTime[id]
	}
	return out
}

// recordingLeaseEnds notes that a record that names ends of leases is about to be written. The
// write may succeed without a response. The term's mu is held.
func (t *term) recordingLeaseEnds(ends map[string]time.Duration) {
	for id, at := range ends {
		if earlier, ok := t.recordedLeaseEnds[id]; ok {
			at = min(at, earlier)
		}
		t.recordedLeaseEnds[id] = at
	}
}

// leaseEndsRecorded notes that the stored record names ends and no others. The term's mu is
// held.
func (t *term) leaseEndsRecorded(ends map[string]time.Duration) {
	clear(t.recordedLeaseEnds)
	maps.Copy(t.recordedLeaseEnds, ends)
}

// restoreClosed restores which executors the last owner had closed, and when their
// leases end. The term's mu is held.
func (t *term) restoreClosed(closed board.Closed, now time.Time) {
	t.leaseEndsRecorded(closed.LeaseEnds)
	if earliest, _, ok := t.owner.storeTime(); ok {
		t.restoreLeaseEnds(closed.LeaseEnds, earliest, now)
	}
	t.plan.RestoreClosed(closed.Executors, closed.Unverified, t.leaseEndHostTime)
}

// restoreLeaseEnds restores when leases end, given the earliest time that the store's
// clock may show now. The term's mu is held.
func (t *term) restoreLeaseEnds(ends map[string]time.Duration, earliest time.Duration, now time.Time) {
	for id, at := range ends {
		t.leaseEndStoreTime[id] = at
		t.leaseEndHostTime[id] = now.Add(time.Duration(float64(max(0, at-earliest)) * (1 + maxClockDrift)))
	}
}

// leaseEndTime returns when nothing that earlier owners started can still run on an
// executor that doesn't respond. The term's mu is held.
func (t *term) leaseEndTime(id string) time.Time {
	if by, ok := t.leaseEndHostTime[id]; ok {
		return by
	}
	return t.began.Add(t.settleTime)
}
