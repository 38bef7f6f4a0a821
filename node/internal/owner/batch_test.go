package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

// A burst changes more jobs than one write can hold. Each write then holds as many as the
// store allows, and the ends of jobs, for which clients wait, go first.
func TestWritesAreFullUnderLoad(t *testing.T) {
	tests := map[string]struct {
		changed int // jobs with a new phase
		ended   int // of these, cancelled ones
		records int // changes in the first write
		partial bool
	}{
		"few":               {changed: 10, ended: 3, records: 10},
		"more than fit":     {changed: 300, ended: 20, records: maxChangeRows / 2, partial: true},
		"exactly what fits": {changed: maxChangeRows / 2, records: maxChangeRows / 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New()
			tm, _ := newTerm()
			tm.plan = plan.New(nil)
			for i := range tt.changed {
				id := fmt.Sprintf("%016x", i)
				tm.plan.AddJob(clock.Now(), &model.Job{ID: id, Queue: "q", Steps: []model.Step{{Count: 1}}}, &model.Progress{})
				tm.plan.Reported(clock.Now(), "none", plan.Report{})
				tm.plan.SetExecutor(model.Executor{ID: "e", Service: "s"})
				tm.plan.Reported(clock.Now(), "e", plan.Report{Runs: []model.Run{{Task: model.Task{Job: id}, Number: 1}}})
				if i < tt.ended {
					tm.plan.Cancel(clock.Now(), id)
				}
			}
			r := &recorder{term: tm}
			b := r.collect()
			is.Equal(len(b.changes), tt.records)
			is.Equal(b.partial, tt.partial)
			for i := range tt.ended {
				is.Equal(b.changes[i].Progress.Phase, model.Cancelled)
			}
			w := platform.Write{Conditions: make([]platform.Condition, 1), Puts: make([]platform.Put, 1)}
			for _, c := range b.changes {
				is.NoErr(r.addChange(&w, c))
			}
			is.True(w.Size() <= platform.MaxEntries)
			if !tt.partial {
				return
			}
			r.markRecorded(b)
			is.Equal(len(r.collect().changes), maxChangeRows/2) // The rest is still to be recorded.
		})
	}
}

// Changes that together exceed the store's limit of a transaction were put in one write, and
// nothing was recorded for anyone. A record that is too large for a row is left out.
func TestLargeRecordHoldsUpOthers(t *testing.T) {
	tests := map[string]struct {
		rowSize  int
		jobs     int
		runs     int // of each job
		changes  int // in the first write, at least
		oversize int
		partial  bool
	}{
		"small":             {rowSize: platform.DefaultRowSize, jobs: 10, runs: 5, changes: 10},
		"large together":    {rowSize: platform.DefaultRowSize, jobs: 40, runs: 1500, changes: 5, partial: true},
		"too large for one": {rowSize: 4096, jobs: 3, runs: 1500, oversize: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New()
			tm, _ := newTerm()
			tm.plan, tm.bounds.RowSize, tm.owner.logger = plan.New(nil), tt.rowSize, zap.NewNop()
			tm.plan.SetExecutor(model.Executor{ID: "e", Service: "s"})
			var rep plan.Report
			for i := range tt.jobs {
				id := fmt.Sprintf("%016x", i)
				tm.plan.AddJob(clock.Now(), &model.Job{ID: id, Queue: "q", Steps: []model.Step{{Count: tt.runs}}}, &model.Progress{})
				for n := range tt.runs {
					rep.Runs = append(rep.Runs, model.Run{Task: model.Task{Job: id, Index: n}, Number: 1})
				}
			}
			tm.plan.Reported(clock.Now(), "e", rep)
			b := (&recorder{term: tm}).collect()
			is.True(len(b.changes) >= tt.changes)
			is.Equal(len(b.oversize), tt.oversize)
			is.Equal(b.partial, tt.partial)
			w := platform.Write{}
			size := 0
			for _, c := range b.changes {
				is.NoErr((&recorder{term: tm}).addChange(&w, c))
			}
			for _, p := range w.Puts {
				is.True(len(p.Value) <= tt.rowSize)
				size += platform.PutSize(len(p.Value))
			}
			is.True(size <= platform.MaxPutSize)
		})
	}
}

// A record was written while its executor began another life. The numbers of ends start anew
// there, so that ends which weren't recorded were acknowledged, and lost with the owner.
func TestRecordOfEarlierLifeAcknowledgesEnds(t *testing.T) {
	tests := map[string]struct {
		restart  bool
		recorded int64
	}{
		"same life":    {recorded: 7},
		"another life": {restart: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm, _, sessions := newTermWithExecutors(1)
			sess, r := sessions[0], &recorder{term: tm}
			sess.born = time.Unix(1_800_000_000, 0)
			sess.takenSeq = 7
			b := r.collect()
			if tt.restart {
				tm.owner.logger = zap.NewNop()
				sess.beginLife(sess.born.Add(time.Minute))
				sess.takenSeq = 3
			}
			r.markRecorded(b)
			is.Equal(sess.recordedSeq, tt.recorded)
		})
	}
}
