package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/config"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

// newTerm returns a term that has loaded nothing, and its host's board.
func newTerm() (*term, *board.Board) {
	b := board.New(zap.NewNop())
	o := New(Deps{Host: "h", Process: "p", Clock: timer.New(), Board: b, Configs: config.New(zap.NewNop()), Logger: zap.NewNop()})
	t := &term{owner: o, epoch: 1, plan: plan.New(nil), sessions: make(map[string]*session), used: newUsedExecutors(platform.DefaultRowSize), fences: make(map[string]int64), recordedEnds: make(map[string]model.Phase), leaseEndStoreTime: make(map[string]time.Duration), leaseEndHostTime: make(map[string]time.Time), recordedLeaseEnds: make(map[string]time.Duration), endsSent: make(map[string]bool), group: &errgroup.Group{}, wakeDecider: make(chan struct{}, 1), wakeRecorder: make(chan struct{}, 1)}
	o.setTerm(t)
	return t, b
}

// recordUsed stores the record of used executors.
func recordUsed(tm *term) { tm.usedWritten(tm.updateUsed(maxUsedRows)) }

// pollAt returns a poll of a session that is sent at the given time, which is sentBoot in boot time.
func pollAt(sess *session, sentAt time.Time, sentBoot time.Duration) poll {
	return poll{sentAt: sentAt, sentBoot: sentBoot, born: sess.born, token: sess.fence.token}
}

// putRow puts a row on the board.
func putRow(t *testing.T, b *board.Board, key string, v any) {
	t.Helper()
	put, err := board.Put(board.Table, board.Main, key, v)
	if err != nil {
		t.Fatal(err)
	}
	b.Change([]platform.Row{{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value, Version: 1}})
}

// A job in a notification joins the plan, with two exceptions. Until the term has loaded the
// recorded state, the job may be a known one with recorded progress. If the board shows its
// end, the notification is for a repeated submission.
func TestJobNotifications(t *testing.T) {
	job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1}}}
	tests := map[string]struct {
		loaded bool
		show   func(t *testing.T, b *board.Board)
		known  bool
	}{
		"new":          {loaded: true, known: true},
		"not loaded":   {},
		"on the board": {loaded: true, known: true, show: func(t *testing.T, b *board.Board) { putRow(t, b, board.AcceptKey(job.ID), board.Accepted{Job: job}) }},
		"ended":        {loaded: true, show: ended(job)},
		"just ending":  {loaded: true, show: ending(job)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm, b := newTerm()
			tm.loaded = tt.loaded
			if tt.show != nil {
				tt.show(t, b)
			}
			tm.applyNotification(&notification{Jobs: []*model.Job{job}})
			_, _, known := tm.plan.Phase(job.ID)
			is.Equal(known, tt.known)
		})
	}
}

func ended(job *model.Job) func(t *testing.T, b *board.Board) {
	return func(t *testing.T, b *board.Board) {
		putRow(t, b, board.AcceptKey(job.ID), board.Accepted{})
		putRow(t, b, board.PhaseKey(job.ID), board.Phase{Phase: model.Done})
	}
}

func ending(job *model.Job) func(t *testing.T, b *board.Board) {
	return func(t *testing.T, b *board.Board) {
		putRow(t, b, board.AcceptKey(job.ID), board.Accepted{Job: job})
		putRow(t, b, board.PhaseKey(job.ID), board.Phase{Phase: model.Done})
	}
}

// lostResponseStore loses the response to every write.
type lostResponseStore struct{ Store }

func (lostResponseStore) Write(*platform.Write) (int64, error) {
	return 0, &platform.LostError{Call: "store write"}
}

// The state of a job shows its end only once the end is recorded. Otherwise a successor
// could run the job again after clients have seen its end.
func TestStateReportsRecordedEnds(t *testing.T) {
	is := is.New(t)
	tm, _ := newTerm()
	tm.loaded = true
	tm.confirm(tm.owner.clock.Boot(), time.Minute)
	job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1}}}
	is.Equal(tm.state(job.ID).Known, false)
	_, known := tm.owner.State(job.ID)
	is.Equal(known, false) // Callers read the store then.
	tm.applyNotification(&notification{Jobs: []*model.Job{job}})
	is.Equal(tm.state(job.ID), JobState{Known: true, Queue: "q", Phase: model.Queued})
	now := time.Now()
	tm.plan.SetExecutor(model.Executor{ID: "e"})
	tm.plan.Reported(now, "e", plan.Report{RequestedAt: now, Ends: []model.End{{Seq: 1, Task: model.Task{Job: job.ID}, Number: 1}}})
	is.Equal(tm.state(job.ID).Phase, model.Running) // It has ended, but that isn't recorded.
	tm.owner.store = &lostResponseStore{}
	r := &recorder{term: tm}
	b := batch{changes: tm.plan.Changes(1)}
	is.True(r.write(b) != nil)
	is.Equal(tm.state(job.ID).Known, false) // The end may be recorded.
	r.markRecorded(b)
	is.Equal(tm.state(job.ID).Phase, model.Done)
}

// An owner that was paused doesn't know the state of a job from its own plan, since another
// host may have recorded the job's end meanwhile.
func TestPausedOwnerShowsEndedJobAsRunning(t *testing.T) {
	is := is.New(t)
	clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
	tm, _ := newTerm()
	tm.loaded, tm.owner.clock, tm.owner.boardFollower = true, clock, unconfirmedBoard{}
	tm.confirm(clock.Boot(), minAuthority)
	job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1}}}
	tm.applyNotification(&notification{Jobs: []*model.Job{job}})
	is.Equal(tm.state(job.ID), JobState{Known: true, Queue: "q", Phase: model.Queued})
	clock.Advance(minAuthority + time.Millisecond)
	is.Equal(tm.state(job.ID), JobState{})
	tm.confirm(clock.Boot(), minAuthority)
	is.True(tm.state(job.ID).Known)
}

// A new owner doesn't know the state of a job before it has read the records, since its board
// may lack the job's end.
func TestNewOwnerShowsEndedJobAsQueued(t *testing.T) {
	is := is.New(t)
	tm, b := newTerm()
	tm.confirm(tm.owner.clock.Boot(), time.Minute)
	const id = "0123456789abcdef"
	putRow(t, b, board.AcceptKey(id), board.Accepted{Queue: "q"})
	is.Equal(tm.state(id), JobState{})
	tm.loaded = true
	is.Equal(tm.state(id), JobState{Known: true, Queue: "q", Phase: model.Queued})
	putRow(t, b, board.PhaseKey(id), board.Phase{Phase: model.Done})
	tm.loaded = false
	is.Equal(tm.state(id).Phase, model.Done) // An end on the board is final.
}
