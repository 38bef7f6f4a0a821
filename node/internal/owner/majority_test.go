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

// confirmedRow is the row of an owner that hasn't resigned.
var confirmedRow = board.Owner{Host: "old", Epoch: 1}

// newCell returns a term with n executors, on a manual clock.
func newCell(n int) (*term, *timer.Service, []*agent) {
	clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
	tm, _ := newTerm()
	tm.owner.clock, tm.owner.pacer, tm.ctx = clock, unconfirmed{}, context.Background()
	tm.owner.connect = func(string, string) Executor { return closer{} }
	tm.bounds.Lease, tm.began, tm.listed = 6*time.Second, clock.Now(), true
	tm.settled = tm.settleTime(confirmedRow)
	tm.plan = plan.New(nil, plan.WithSettleDeadline(tm.began.Add(tm.settled)))
	agents := make([]*agent, n)
	for i := range agents {
		agents[i] = newAgent(tm, model.Executor{ID: strconv.Itoa(i), Service: "s"})
		tm.agents[agents[i].info.ID] = agents[i]
		tm.plan.SetExecutor(agents[i].info)
	}
	return tm, clock, agents
}

// A successor that a majority of the executors follows takes leases at the others for
// ended no sooner than the last owner, which had a majority until then, may have let
// them end, and not much later.
func TestLeasesEndWithTheMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const executors = 10
		old, clock, olds := newCell(executors)
		old.confirm(clock.Boot(), leastAuthority)
		took := rapid.IntRange(0, executors).Draw(t, "taken")
		takeover := time.Duration(rapid.Int64Range(int64(600*time.Millisecond), int64(3*time.Second)).Draw(t, "takeover"))
		taken := make([]time.Duration, executors) // when the successor reaches each
		for i := range taken {
			taken[i] = 1 << 62
			if i < took {
				taken[i] = takeover + time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "reached"))
			}
		}
		began, end := clock.Boot(), time.Duration(0) // latest end of a lease at the last executor, by the old owner
		successor, other, news := newCell(executors)
		other.Advance(takeover)
		successor.began = other.Now()
		successor.settled = successor.settleTime(confirmedRow)
		successor.plan = plan.New(nil, plan.WithSettleDeadline(successor.began.Add(successor.settled)))
		for range 300 {
			clock.Advance(50 * time.Millisecond)
			now := clock.Boot() - began
			for i, a := range olds {
				if a.answered = clock.Boot(); now >= taken[i] {
					a.silent, a.answered = true, began+taken[i]
				}
			}
			if left := old.leaseLeft(); left > 0 && now < taken[executors-1] {
				end = max(end, now+left)
			}
			if now < takeover {
				continue
			}
			other.Advance(now - takeover - other.Now().Sub(successor.began))
			for i, a := range news {
				if now >= taken[i] && !a.heard {
					a.reported(other.Now(), 0, &platform.Report{Clock: time.Hour})
				}
			}
		}
		if took == executors {
			return // It reaches the last one, too.
		}
		settled := takeover + successor.settled
		if settled < end {
			t.Fatalf("taken for ended after %v; the last owner may have let them end after %v", settled, end)
		}
		if took >= 6 && settled > takeover+3*time.Second+7*time.Second+settleMargin {
			t.Fatalf("waits for %v", successor.settled)
		}
	})
}

// Without the store, leases are extended for long only while a majority follows.
func TestLeasesWithoutMajority(t *testing.T) {
	tests := map[string]struct {
		silent int // of ten executors
		passed time.Duration
		left   time.Duration
	}{
		"confirmed":                 {silent: 9, left: leaseTime},
		"all follow":                {passed: 3 * time.Second, left: leaseTime},
		"all follow, for long":      {passed: 8 * time.Second, left: 2 * time.Second},
		"a majority":                {silent: 4, passed: 3 * time.Second, left: leaseTime},
		"no majority":               {silent: 5, passed: 3 * time.Second, left: 3 * time.Second},
		"no majority, for too long": {silent: 5, passed: 7 * time.Second, left: -time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm, clock, agents := newCell(10)
			tm.confirm(clock.Boot(), leastAuthority)
			clock.Advance(tt.passed)
			for i, a := range agents {
				a.silent, a.answered = i < tt.silent, clock.Boot()
			}
			is.Equal(tm.leaseLeft(), tt.left)
		})
	}
}
