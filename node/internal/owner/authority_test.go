package owner

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

// follower is an executor that answers looks, unless it follows another owner.
type follower struct {
	Executor
	lost bool
}

func (f *follower) Poll(platform.WatchOrder) (*platform.Report, error) {
	if f.lost {
		return nil, &platform.OrderError{Reason: platform.Fenced}
	}
	return &platform.Report{Clock: time.Hour}, nil
}

// unconfirmed is a board that the store doesn't confirm.
type unconfirmed struct{ Pacer }

func (unconfirmed) Confirmed() time.Duration { return -time.Hour }

// While the store is away, starts go on as soon as all executors have shown that they
// follow this owner, and not if one of them follows another. Their held calls show it
// only after a second.
func TestStartsGoOnWithoutTheStore(t *testing.T) {
	tests := map[string]struct {
		lost int // executors that follow another owner
		goes bool
	}{
		"all follow":       {goes: true},
		"one doesn't":      {lost: 1},
		"none do any more": {lost: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			tm, _ := newTerm()
			tm.owner.clock, tm.owner.pacer = clock, unconfirmed{}
			tm.confirm(clock.Boot(), leastAuthority)
			ctx, cancel := context.WithCancel(context.Background())
			tm.ctx = ctx
			var g errgroup.Group
			var agents []*agent
			for i := range 3 {
				tm.owner.connect = func(string, string) Executor { return &follower{lost: i < tt.lost} }
				a := newAgent(tm, model.Executor{ID: strconv.Itoa(i)})
				a.answered = clock.Boot()
				tm.agents[a.info.ID] = a
				agents = append(agents, a)
				g.Go(func() error { a.execute(); return nil })
			}
			is.True(tm.mayStart())
			clock.Advance(leastAuthority + time.Millisecond)
			tm.mu.Lock()
			is.True(!tm.mayStart())
			tm.pause(true)
			tm.mu.Unlock()
			asked := func(a *agent) bool { return a.silent || a.answered == clock.Boot() }
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				tm.mu.Lock()
				done := asked(agents[0]) && asked(agents[1]) && asked(agents[2])
				tm.mu.Unlock()
				if done {
					break
				}
			}
			tm.mu.Lock()
			is.Equal(tm.mayStart(), tt.goes)
			tm.mu.Unlock()
			cancel()
			is.NoErr(g.Wait())
		})
	}
}

// A successor takes over a silent owner only after that owner has stopped starting
// work by itself, whichever of its writes were done, and however long each of them
// was to hold.
func TestAuthorityEndsBeforeTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now, takeover time.Duration
		tm := &term{authority: leastAuthority}
		takeover = leastAuthority + takeoverMargin
		check := func() {
			if now >= takeover && now-tm.confirmed <= tm.authority {
				t.Fatalf("the owner acts at %v, a successor took over at %v", now, takeover)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "writes") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			check()
			typical := time.Duration(rapid.Int64Range(0, int64(800*time.Millisecond)).Draw(t, "typical"))
			asked, next := now, authorityFor(typical)
			tm.limit(next)
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "way there"))
			check()
			if now >= takeover {
				return // The successor's row is there: this write does nothing.
			}
			if !rapid.Bool().Draw(t, "done") {
				continue
			}
			takeover = now + next + takeoverMargin
			now += time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "way back"))
			check()
			if rapid.Bool().Draw(t, "answered") {
				tm.confirm(asked, next)
			}
		}
	})
}

// A store that answers at its usual rate, or many times as slowly, doesn't let an
// owner's authority run out between two heartbeats.
func TestAuthorityOutlastsHeartbeats(t *testing.T) {
	tests := map[string]time.Duration{"usual": 10 * time.Millisecond, "fifty times as slow": 400 * time.Millisecond}
	for name, typical := range tests {
		t.Run(name, func(t *testing.T) {
			if got := authorityFor(typical); got < beatPeriod+2*typical {
				t.Errorf("ownership holds for %v; a heartbeat each %v takes %v", got, beatPeriod, typical)
			}
			if beatPeriod*2 >= yieldAfter || beatPeriod >= probeAfter {
				t.Errorf("an owner writes each %v, is asked after %v and gives up after %v", beatPeriod, probeAfter, yieldAfter)
			}
		})
	}
}

// The answer to a held call doesn't undo what a later question has shown.
func TestHeldCallAnswersAfterLook(t *testing.T) {
	is := is.New(t)
	tm, _ := newTerm()
	clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
	tm.owner.clock, tm.ctx = clock, context.Background()
	tm.owner.connect = func(string, string) Executor { return &follower{} }
	a := newAgent(tm, model.Executor{ID: "e"})
	held := clock.Boot()
	clock.Advance(500 * time.Millisecond)
	looked := clock.Boot()
	is.True(a.reported(clock.Now(), looked, &platform.Report{Clock: time.Hour}))
	is.True(a.reported(clock.Now(), held, &platform.Report{Clock: time.Hour}))
	is.Equal(a.answered, looked)
}

// A start that is held back since ownership isn't confirmed keeps no work from its
// executor; one to an executor that doesn't answer does.
func TestUnsentStarts(t *testing.T) {
	tests := map[string]struct {
		silent  bool
		lease   time.Duration
		passed  time.Duration // since ownership was confirmed
		why     plan.Refusal
		refused bool
	}{
		"confirmed":       {lease: leaseTime},
		"not confirmed":   {lease: leaseTime, passed: leastAuthority + time.Millisecond, why: plan.RefusedLate, refused: true},
		"silent executor": {silent: true, lease: leaseTime, why: plan.RefusedUnsent, refused: true},
		"no lease":        {why: plan.RefusedUnsent, refused: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			tm, _ := newTerm()
			tm.owner.clock, tm.owner.pacer = clock, unconfirmed{}
			tm.confirm(clock.Boot(), leastAuthority)
			clock.Advance(tt.passed)
			why, refused := tm.unsent(&agent{term: tm, silent: tt.silent}, tt.lease)
			is.Equal(refused, tt.refused)
			is.Equal(why, tt.why)
		})
	}
}
