package owner

import (
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
)

// OwnerChanged implements board.Listener.
func (t *term) OwnerChanged(row board.Owner, version int64) {
	if row.Epoch > t.epoch || (row.Epoch == t.epoch && row.Process != t.owner.process) {
		t.end(&LostError{Epoch: t.epoch, Host: row.Host})
		return
	}
	if row.Epoch < t.epoch {
		return
	}
	select {
	case t.seen <- sight{seq: row.Seq, version: version}:
	default: // The recorder waits for none of them.
	}
}

// JobAccepted implements board.Listener. The job may be cancelled already, or a late
// submission of one that has ended.
func (t *term) JobAccepted(j *model.Job) {
	if e, _ := t.owner.board.Job(j.ID); e.Phase.Final() {
		return
	}
	now := t.owner.clock.Now()
	t.mu.Lock()
	added := t.plan.AddJob(now, j, nil)
	t.mu.Unlock()
	if !added {
		return
	}
	notify(t.wake)
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
		notify(t.wake)
	}
}
