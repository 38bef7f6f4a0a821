package owner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/follow"
	"github.com/balsamford/balsamford/platform"
)

const (
	// boardPoll is how often a new owner looks whether its board is up to date.
	boardPoll = 5 * time.Millisecond
	// loadPause follows a failed read of the cell's rows.
	loadPause = 150 * time.Millisecond
	// serversGap is the least time between two looks for executors' changes.
	serversGap = 300 * time.Millisecond
)

// settleTime returns how long runs that an earlier owner started may go on at
// executors that don't answer.
func (t *term) settleTime(before board.Owner) time.Duration {
	switch {
	case before.Epoch == 0:
		return 0
	case before.Resigned || before.Host == t.owner.host:
		return t.bounds.Lease + settleMargin
	}
	return t.bounds.Lease + unconfirmedTime + settleMargin
}

// load takes over what earlier owners recorded and begins to deal with executors.
// The board and the submissions have to be complete up to the term's first write, so
// that they show all jobs that were accepted before: runs of unknown jobs are stopped,
// and jobs that come later haven't begun.
func (t *term) load(ctx context.Context, version int64, copied *copied) error {
	o := t.owner
	var records map[string]*model.Progress
	var closed board.Closed
	for {
		if o.pacer.Version() >= version && copied.follower.Version() >= version {
			var err error
			if records, err = t.readRecords(&closed); err == nil {
				break
			}
			o.logger.Warn("records can't be read", zap.Int64("epoch", t.epoch), zap.Error(err))
			_ = o.clock.Sleep(ctx, loadPause)
		}
		_ = o.clock.Sleep(ctx, boardPoll)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	jobs, cancelled := o.board.Listen(t)
	jobs = append(jobs, copied.rows.Listen(t)...)
	copied.follower.SetGap(ownSubmissionsGap)
	now := o.clock.Now()
	for _, a := range submissions(o.board.Accepted(), jobs) {
		if a.Job == nil {
			t.plan.Submitted(a.Team, a.Sent)
			continue
		}
		progress := records[a.Job.ID]
		if progress == nil {
			progress = &model.Progress{}
		}
		t.plan.AddJob(now, a.Job, progress)
	}
	for _, id := range cancelled {
		t.plan.Cancel(now, id)
	}
	t.inherit(closed, now)
	t.loaded = true
	o.logger.Info("records read", zap.Int64("epoch", t.epoch), zap.Int("jobs", len(jobs)), zap.Int("records", len(records)), zap.Int("cancelled", len(cancelled)),
		zap.Int("closed", len(closed.Executors)))
	servers := follow.New(o.store, o.clock, platform.ExecutorTable, []string{""}, &serverRows{term: t}, follow.WithGap(serversGap), follow.WithLogger(o.logger))
	t.group.Go(func() error { return servers.Run(ctx) })
	return nil
}

// submissions returns what was accepted, in order, since teams' shares go by that;
// those that have ended have no Job.
func submissions(accepted map[string]board.Accepted, jobs []*model.Job) []board.Accepted {
	out := make([]board.Accepted, 0, len(accepted))
	for _, j := range jobs {
		out = append(out, board.Accepted{Queue: j.Queue, Team: j.Team, Job: j, Sent: j.Sent})
		delete(accepted, j.ID)
	}
	for _, a := range accepted {
		if a.Job == nil && !a.Sent.IsZero() {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b board.Accepted) int { return a.Sent.Compare(b.Sent) })
	return out
}

// readRecords reads the phases and the progress of all jobs, and the executors that
// were closed. An ended job may have no progress any more while the job itself isn't
// deleted yet.
func (t *term) readRecords(closed *board.Closed) (map[string]*model.Progress, error) {
	store := t.owner.store
	rows, _, err := store.Read(board.Progress, board.Main, "", "")
	if err != nil {
		return nil, err
	}
	phases, _, err := store.Read(board.Table, board.Main, "", "")
	if err != nil {
		return nil, err
	}
	records := make(map[string]*model.Progress, len(rows))
	for _, row := range rows {
		if row.Key == board.ClosedKey {
			if err := board.Decode(row, closed); err != nil {
				t.owner.logger.Error("closed executors left out", zap.Error(err))
			}
			continue
		}
		p := &model.Progress{}
		if err := board.Decode(row, p); err != nil {
			t.owner.logger.Error("progress left out", zap.Error(err))
			continue
		}
		records[row.Key] = p
	}
	for _, row := range phases {
		var p board.Phase
		id, ok := board.PhaseJob(row.Key)
		if !ok || records[id] != nil {
			continue
		}
		if err := board.Decode(row, &p); err != nil {
			t.owner.logger.Error("phase left out", zap.Error(err))
			continue
		}
		records[id] = &model.Progress{Phase: p.Phase}
	}
	return records, nil
}
