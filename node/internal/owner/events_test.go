package owner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
)

// Submissions and the board are polled separately, so a job's cancellation or end may
// arrive before its submission.
func TestSubmissionAfterCancellationOrEnd(t *testing.T) {
	job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1}}}
	tests := map[string]struct {
		rows  map[string]any
		known bool
		phase model.Phase
	}{
		"accepted":  {known: true},
		"cancelled": {rows: map[string]any{board.CancelKey(job.ID): "t"}, known: true, phase: model.Cancelled},
		"ended":     {rows: map[string]any{board.PhaseKey(job.ID): board.Phase{Phase: model.Done}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm, b := newTerm()
			putRow(t, b, board.AcceptKey(job.ID), board.Accepted{Queue: "q"})
			for key, v := range tt.rows {
				putRow(t, b, key, v)
			}
			tm.JobAccepted(job)
			_, phase, known := tm.plan.Phase(job.ID)
			is.Equal(known, tt.known)
			is.Equal(phase, tt.phase)
			is.Equal(len(tm.plan.Changes(1)) == 1, tt.phase == model.Cancelled) // The cancellation has to be recorded.
		})
	}
}
