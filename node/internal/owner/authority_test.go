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

// lookExecutor is an executor that responds to Look, unless it follows another owner.
type lookExecutor struct {
	Executor
	fenced bool
}

func (e *lookExecutor) Poll(platform.WatchOrder) (*platform.Report, error) {
	if e.fenced {
		return nil, &platform.OrderError{Reason: platform.Fenced}
	}
	return &platform.Report{Clock: time.Hour}, nil
}

// unconfirmedBoard is a board that the store hasn't confirmed for a long time.
type unconfirmedBoard struct{ BoardFollower }

func (unconfirmedBoard) SyncedBoot() time.Duration { return -time.Hour }

// During a store outage, starts resume as soon as all executors have shown by a Look that
// they still follow this owner, and stay paused if one follows another owner. Waiting for
// their long polls would take up to a second.
func TestStartsResumeWithoutTheStore(t *testing.T) {
	tests := map[string]struct {
		fenced  int // number of executors that follow another owner
		resumes bool
	}{
		"all follow":  {resumes: true},
		"one doesn't": {fenced: 1},
		"none follow": {fenced: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			tm, _ := newTerm()
			tm.owner.clock, tm.owner.boardFollower = clock, unconfirmedBoard{}
			tm.confirm(clock.Boot(), minAuthority)
			ctx, cancel := context.WithCancel(context.Background())
			tm.ctx = ctx
			var g errgroup.Group
			var sessions []*session
			for i := range 3 {
				tm.owner.connect = func(string, string) Executor { return &lookExecutor{fenced: i < tt.fenced} }
				sess := newSession(tm, model.Executor{ID: strconv.Itoa(i)})
				sess.lastResponse = clock.Boot()
				tm.sessions[sess.info.ID] = sess
				sessions = append(sessions, sess)
				g.Go(func() error { sess.execute(); return nil })
			}
			is.True(tm.mayStart())
			clock.Advance(minAuthority + time.Millisecond)
			tm.mu.Lock()
			is.True(!tm.mayStart())
			tm.setPaused(true)
			tm.mu.Unlock()
			polled := func(sess *session) bool { return sess.silent || sess.lastResponse == clock.Boot() }
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				tm.mu.Lock()
				done := polled(sessions[0]) && polled(sessions[1]) && polled(sessions[2])
				tm.mu.Unlock()
				if done {
					break
				}
			}
			tm.mu.Lock()
			is.Equal(tm.mayStart(), tt.resumes)
			tm.mu.Unlock()
			cancel()
			is.NoErr(g.Wait())
		})
	}
}

// The authority of a silent owner ends before a successor takes over, whichever of the
// owner's writes were applied and whatever authority each of them had.
func TestAuthorityEndsBeforeTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now, takeover time.Duration
		tm := &term{authority: minAuthority}
		takeover = minAuthority + takeoverMargin
		check := func() {
			if now >= takeover && now-tm.writeConfirmed <= tm.authority {
				t.Fatalf("at %v the owner may still start runs, but a successor took over at %v", now, takeover)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "writes") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			check()
			typical := time.Duration(rapid.Int64Range(0, int64(800*time.Millisecond)).Draw(t, "typical"))
			asked, next := now, authorityFor(typical)
			tm.limitAuthority(next)
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "way there"))
			check()
			if now >= takeover {
				return // The successor has rewritten the row, so this write has no effect.
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

// The authority doesn't run out between two heartbeats, even if the store is many times
// slower than usual.
func TestAuthorityOutlastsHeartbeats(t *testing.T) {
	tests := map[string]time.Duration{"usual": 10 * time.Millisecond, "fifty times as slow": 400 * time.Millisecond}
	for name, typical := range tests {
		t.Run(name, func(t *testing.T) {
			if got := authorityFor(typical); got < heartbeatInterval+2*typical {
				t.Errorf("authority of %v is too short for heartbeats every %v that take %v", got, heartbeatInterval, typical)
			}
			if heartbeatInterval*2 >= yieldAfter || heartbeatInterval >= probeAfter {
				t.Errorf("heartbeats every %v are too slow for probes after %v and yielding after %v", heartbeatInterval, probeAfter, yieldAfter)
			}
		})
	}
}

// The late response to a long poll doesn't undo what a later Look has shown.
func TestLongPollAnswersAfterLook(t *testing.T) {
	is := is.New(t)
	tm, _ := newTerm()
	clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
	tm.owner.clock, tm.ctx = clock, context.Background()
	tm.owner.connect = func(string, string) Executor { return &lookExecutor{} }
	sess := newSession(tm, model.Executor{ID: "e"})
	longPollSent := clock.Boot()
	clock.Advance(500 * time.Millisecond)
	lookSent := clock.Boot()
	is.True(sess.handleReport(pollAt(sess, clock.Now(), lookSent), &platform.Report{Clock: time.Hour}))
	is.True(sess.handleReport(pollAt(sess, clock.Now(), longPollSent), &platform.Report{Clock: time.Hour}))
	is.Equal(sess.lastResponse, lookSent)
}

// A start that is refused because ownership isn't confirmed doesn't count against the
// executor; a start on an executor that doesn't respond does.
func TestRefusedStarts(t *testing.T) {
	tests := map[string]struct {
		silent  bool
		lease   time.Duration
		passed  time.Duration // time since ownership was confirmed
		why     plan.Refusal
		refused bool
	}{
		"confirmed":       {lease: leaseDuration},
		"not confirmed":   {lease: leaseDuration, passed: minAuthority + time.Millisecond, why: plan.RefusedLate, refused: true},
		"silent executor": {silent: true, lease: leaseDuration, why: plan.RefusedUnsent, refused: true},
		"no lease":        {why: plan.RefusedUnsent, refused: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			tm, _ := newTerm()
			tm.owner.clock, tm.owner.boardFollower = clock, unconfirmedBoard{}
			tm.confirm(clock.Boot(), minAuthority)
			clock.Advance(tt.passed)
			why, refused := tm.checkStart(&session{term: tm, silent: tt.silent, ctx: context.Background()}, tt.lease)
			is.Equal(refused, tt.refused)
			is.Equal(why, tt.why)
		})
	}
}
