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
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

// newTerm returns a term that has loaded nothing and the board of its host.
func newTerm() (*term, *board.Board) {
	b := board.New(zap.NewNop())
	o := New(Parts{Host: "h", Process: "p", Clock: timer.New(), Board: b, Logger: zap.NewNop()})
	t := &term{owner: o, epoch: 1, plan: plan.New(nil), agents: make(map[string]*agent), ends: make(map[string]model.Phase), lapseAt: make(map[string]time.Duration), lapseBy: make(map[string]time.Time), sent: make(map[string]bool), group: &errgroup.Group{}, wake: make(chan struct{}, 1)}
	o.setTerm(t)
	return t, b
}

// show puts a row on the board.
func show(t *testing.T, b *board.Board, key string, v any) {
	t.Helper()
	put, err := board.Put(board.Table, board.Main, key, v)
	if err != nil {
		t.Fatal(err)
	}
	b.Change([]platform.Row{{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value, Version: 1}})
}

// A job that another host has just stored joins the plan, but neither before what
// was recorded is in it, since the job may have been there and begun, nor once it
// has ended, since its submission was repeated then.
func TestNewsOfJobs(t *testing.T) {
	job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1}}}
	tests := map[string]struct {
		loaded bool
		show   func(t *testing.T, b *board.Board)
		known  bool
	}{
		"new":         {loaded: true, known: true},
		"not loaded":  {},
		"on board":    {loaded: true, known: true, show: func(t *testing.T, b *board.Board) { show(t, b, board.AcceptKey(job.ID), board.Accepted{Job: job}) }},
		"ended":       {loaded: true, show: ended(job)},
		"just ending": {loaded: true, show: ending(job)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm, b := newTerm()
			tm.loaded = tt.loaded
			if tt.show != nil {
				tt.show(t, b)
			}
			tm.hear(&news{Jobs: []*model.Job{job}})
			_, _, known := tm.plan.Phase(job.ID)
			is.Equal(known, tt.known)
		})
	}
}

func ended(job *model.Job) func(t *testing.T, b *board.Board) {
	return func(t *testing.T, b *board.Board) {
		show(t, b, board.AcceptKey(job.ID), board.Accepted{})
		show(t, b, board.PhaseKey(job.ID), board.Phase{Phase: model.Done})
	}
}

func ending(job *model.Job) func(t *testing.T, b *board.Board) {
	return func(t *testing.T, b *board.Board) {
		show(t, b, board.AcceptKey(job.ID), board.Accepted{Job: job})
		show(t, b, board.PhaseKey(job.ID), board.Phase{Phase: model.Done})
	}
}

// silentStore answers no write.
type silentStore struct{ Store }

func (silentStore) Write(*platform.Write) (int64, error) {
	return 0, &platform.LostError{Call: "store write"}
}

// Clients are told that a job has ended only once that is recorded: a successor
// could run it again otherwise.
func TestStateTellsRecordedEnds(t *testing.T) {
	is := is.New(t)
	tm, _ := newTerm()
	tm.loaded = true
	job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1}}}
	is.Equal(tm.state(job.ID).Known, false)
	_, known := tm.owner.State(job.ID)
	is.Equal(known, false) // The store is looked at then.
	tm.hear(&news{Jobs: []*model.Job{job}})
	is.Equal(tm.state(job.ID), State{Known: true, Queue: "q", Phase: model.Queued})
	now := time.Now()
	tm.plan.SetExecutor(model.Executor{ID: "e"})
	tm.plan.Reported(now, "e", plan.Report{RequestedAt: now, Ends: []model.End{{Seq: 1, Task: model.Task{Job: job.ID}, Number: 1}}})
	is.Equal(tm.state(job.ID).Phase, model.Running) // It has ended and isn't recorded.
	tm.owner.store = &silentStore{}
	r := &recorder{term: tm}
	b := batch{changes: tm.plan.Changes(1)}
	is.True(r.write(b) != nil)
	is.Equal(tm.state(job.ID).Known, false) // It may be recorded.
	r.keep(b)
	is.Equal(tm.state(job.ID).Phase, model.Done)
}
