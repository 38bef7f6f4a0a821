package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/platform"
)

// Runs on an executor that doesn't answer are given up on one of three grounds. The metrics
// tell them apart, and count each lapse once.
func TestLapsesAreCountedByBasis(t *testing.T) {
	const settle = 10 * time.Second
	tests := map[string]struct {
		reported bool
		recorded time.Duration // until the leases end according to the last owner's record, 0 for none
		passed   time.Duration
		want     basis // empty for none
	}{
		"leases run":              {reported: true, passed: 5 * time.Second},
		"leases have ended":       {reported: true, passed: 7 * time.Second, want: byLease},
		"record says they run":    {recorded: 3 * time.Second, passed: 3 * time.Second},
		"record says they ended":  {recorded: 3 * time.Second, passed: 4 * time.Second, want: byRecord},
		"longest may run":         {passed: settle},
		"longest must have ended": {passed: settle + time.Millisecond, want: bySettle},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm, clock, sessions := newTermWithExecutors(1)
			tm.began, tm.settleTime = clock.Now(), settle
			sess := sessions[0]
			if tt.recorded > 0 {
				tm.leaseEndHostTime[sess.info.ID] = clock.Now().Add(tt.recorded)
			}
			if tt.reported {
				is.True(sess.handleReport(pollAt(sess, clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour}))
			}
			clock.Advance(tt.passed)
			for range 2 {
				is.True(sess.handleFailure(&platform.LostError{}))
			}
			for by, n := range tm.owner.metrics.lapsed {
				want := int64(0)
				if by == tt.want {
					want = 1
				}
				is.Equal(n.Count(), want)
			}
		})
	}
}
