package owner

import (
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// jobRows gives submitted jobs to the plan.
type jobRows struct {
	term    *term
	records map[string]*model.Progress // of earlier owners, until the jobs are read
}

// Reset implements follow.Handler. Jobs that are there from the beginning may
// have runs that only executors know.
func (r *jobRows) Reset(rows []platform.Row) {
	for _, row := range rows {
		progress := r.records[row.Key]
		if progress == nil {
			progress = &model.Progress{}
		}
		r.add(row, progress)
	}
	r.records = nil
	t := r.term
	cancelled := t.owner.board.Cancelled()
	for _, id := range cancelled {
		t.JobCancelled(id)
	}
	t.loaded.Do(t.followExecutors)
	notify(t.wake)
}

// Change implements follow.Handler.
func (r *jobRows) Change(rows []platform.Row) {
	for _, row := range rows {
		if !row.Deleted {
			r.add(row, nil)
		}
	}
	notify(r.term.wake)
}

func (r *jobRows) add(row platform.Row, progress *model.Progress) {
	t := r.term
	j := &model.Job{}
	if err := board.Decode(row, j); err != nil {
		t.owner.logger.Error("job left out", zap.String("id", row.Key), zap.Error(err))
		return
	}
	now := t.owner.clock.Now()
	t.mu.Lock()
	t.plan.AddJob(now, j, progress)
	t.mu.Unlock()
	if e, ok := t.owner.board.Job(j.ID); ok && e.Cancelled {
		t.JobCancelled(j.ID)
	}
}
