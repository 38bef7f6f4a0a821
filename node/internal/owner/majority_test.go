package owner

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

// liveOwnerRow is the row of an owner that hasn't resigned.
var liveOwnerRow = board.Owner{Host: "old", Epoch: 1}

// newTermWithExecutors returns a term with sessions for n executors, its manual clock, and
// the sessions.
func newTermWithExecutors(n int) (*term, *timer.Service, []*session) {
	clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
	tm, _ := newTerm()
	tm.owner.clock, tm.owner.boardFollower, tm.ctx = clock, unconfirmedBoard{}, context.Background()
	tm.owner.connect = func(string, string) Executor { return idleExecutor{} }
	tm.bounds.Lease, tm.began, tm.entriesLoaded = 6*time.Second, clock.Now(), true
	tm.settleTime = tm.initialSettleTime(liveOwnerRow)
	tm.plan = plan.New(nil, plan.WithSettleDeadline(tm.began.Add(tm.settleTime)))
	sessions := make([]*session, n)
	for i := range sessions {
		sessions[i] = newSession(tm, model.Executor{ID: strconv.Itoa(i), Service: "s"})
		tm.sessions[sessions[i].info.ID] = sessions[i]
		tm.plan.SetExecutor(sessions[i].info)
	}
	return tm, clock, sessions
}

// A successor with a majority of the executors must not consider leases on the other
// executors expired before they are: the last owner extended them as long as it had a
// majority. It must not wait much longer either.
func TestLeasesEndWithTheMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const executors = 10
		old, oldClock, oldSessions := newTermWithExecutors(executors)
		old.confirm(oldClock.Boot(), minAuthority)
		takenOver := rapid.IntRange(0, executors).Draw(t, "taken")
		takeover := time.Duration(rapid.Int64Range(int64(600*time.Millisecond), int64(3*time.Second)).Draw(t, "takeover"))
		takenAt := make([]time.Duration, executors) // when the successor reaches each executor
		for i := range takenAt {
			takenAt[i] = 1 << 62
			if i < takenOver {
				takenAt[i] = takeover + time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "reached"))
			}
		}
		began, end := oldClock.Boot(), time.Duration(0) // latest lease end that the old owner grants the last executor
		successor, newClock, newSessions := newTermWithExecutors(executors)
		newClock.Advance(takeover)
		successor.began = newClock.Now()
		successor.settleTime = successor.initialSettleTime(liveOwnerRow)
		successor.plan = plan.New(nil, plan.WithSettleDeadline(successor.began.Add(successor.settleTime)))
		for range 300 {
			oldClock.Advance(50 * time.Millisecond)
			now := oldClock.Boot() - began
			for i, sess := range oldSessions {
				if sess.lastResponse = oldClock.Boot(); now >= takenAt[i] {
					sess.silent, sess.lastResponse = true, began+takenAt[i]
				}
			}
			if left := old.leaseExtension(); left > 0 && now < takenAt[executors-1] {
				end = max(end, now+left)
			}
			if now < takeover {
				continue
			}
			newClock.Advance(now - takeover - newClock.Now().Sub(successor.began))
			for i, sess := range newSessions {
				if now >= takenAt[i] && !sess.hasReported {
					sess.handleReport(pollAt(sess, newClock.Now(), 0), &platform.Report{Clock: time.Hour})
				}
			}
		}
		if takenOver == executors {
			return // The successor reaches the last executor, too.
		}
		settled := takeover + successor.settleTime
		if settled < end {
			t.Fatalf("leases considered expired after %v, but the last owner's may end after %v", settled, end)
		}
		if takenOver >= 6 && settled > takeover+3*time.Second+7*time.Second+settleMargin {
			t.Fatalf("successor waits %v, which is too long", successor.settleTime)
		}
	})
}

// During a store outage, an owner extends leases beyond Bounds.Lease only while a majority
// of the executors follows it.
func TestLeasesWithoutMajority(t *testing.T) {
	tests := map[string]struct {
		silent int // silent executors out of ten
		passed time.Duration
		left   time.Duration
	}{
		"confirmed":                 {silent: 9, left: leaseDuration},
		"all follow":                {passed: 3 * time.Second, left: leaseDuration},
		"all follow, for long":      {passed: 8 * time.Second, left: 2 * time.Second},
		"a majority":                {silent: 4, passed: 3 * time.Second, left: leaseDuration},
		"no majority":               {silent: 5, passed: 3 * time.Second, left: 3 * time.Second},
		"no majority, for too long": {silent: 5, passed: 7 * time.Second, left: -time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm, clock, sessions := newTermWithExecutors(10)
			tm.confirm(clock.Boot(), minAuthority)
			clock.Advance(tt.passed)
			for i, sess := range sessions {
				sess.silent, sess.lastResponse = i < tt.silent, clock.Boot()
			}
			is.Equal(tm.leaseExtension(), tt.left)
		})
	}
}
