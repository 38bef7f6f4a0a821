package owner

import (
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
)

// OwnerChanged implements board.Listener. It ends the term if another process owns the
// cell.
func (t *term) OwnerChanged(row board.Owner, version int64) {
	if row.Epoch > t.epoch || (row.Epoch == t.epoch && row.Process != t.owner.process) {
		t.cancel(&OwnershipLostError{Epoch: t.epoch, Host: row.Host})
		return
	}
	if row.Epoch < t.epoch {
		return
	}
	select {
	case t.observedWrites <- observedWrite{seq: row.Seq, version: version}:
	default: // The recorder isn't waiting for one.
	}
}

// JobAccepted implements board.Listener. The job may be cancelled already, or may be a
// late submission of a job that has ended.
func (t *term) JobAccepted(j *model.Job) {
	e, _ := t.owner.board.Job(j.ID)
	if e.Phase.Final() {
		return
	}
	now := t.owner.clock.Now()
	t.mu.Lock()
	added := t.plan.AddJob(now, j, nil)
	if added && e.Cancelled {
		t.plan.Cancel(now, j.ID) // No decision may start its tasks before that.
	}
	t.mu.Unlock()
	if !added {
		return
	}
	signal(t.wakeDecider)
	if e.Cancelled {
		t.owner.logger.Info("job cancelled", zap.String("id", j.ID), zap.Int64("epoch", t.epoch))
		return
	}
	if e, _ := t.owner.board.Job(j.ID); e.Cancelled {
		t.JobCancelled(j.ID)
	}
}

// JobCancelled implements board.Listener.
func (t *term) JobCancelled(id string) {
	now := t.owner.clock.Now()
	t.mu.Lock()
	known := t.plan.Cancel(now, id)
	t.mu.Unlock()
	if known {
		t.owner.logger.Info("job cancelled", zap.String("id", id), zap.Int64("epoch", t.epoch))
		signal(t.wakeDecider)
	}
}
