package owner

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/platform"
)

// A zone that was cut off came back, and its executors were found to answer one by one, after pauses and lost polls. Once
// the first one answers, the others of its zone are polled at once, and the next record names none of them.
func TestReturningZoneIsPolledAtOnce(t *testing.T) {
	is := is.New(t)
	tm, clock, sessions := newTermWithExecutors(9)
	tm.owner.storeClock = &fixedStoreClock{reading: platform.ClockReading{Now: time.Hour, Sent: clock.Boot(), Received: clock.Boot()}}
	for i, sess := range sessions {
		sess.info.Zone = "z" + strconv.Itoa(i/5) // Five and four executors.
		tm.plan.SetExecutor(sess.info)
		is.True(sess.handleReport(pollAt(sess, clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour}))
		sess.markSilent(&platform.LostError{})
	}
	recordUsed(tm)
	r := &recorder{term: tm}
	b := r.collect()
	is.Equal(len(b.closed.Executors), 9)
	r.markRecorded(b)
	clock.Advance(time.Second)
	is.True(sessions[0].handleReport(pollAt(sessions[0], clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour + time.Second}))
	for i, sess := range sessions {
		is.Equal(len(sess.pollRequested), map[bool]int{true: 1}[i > 0 && i < 5])
	}
	is.Equal(tm.owner.metrics.returned.Count(), int64(1))
	b = r.collect()
	is.Equal(len(b.closed.Executors), 4) // The other zone.
	is.Equal(len(b.closed.LeaseEnds), 4)
	is.True(len(tm.recordedLeaseEnds) == 9) // An executor that answers gets no lease beyond it until the write has succeeded.
	r.markRecorded(b)
	is.Equal(len(tm.recordedLeaseEnds), 4)
}
