package owner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

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
