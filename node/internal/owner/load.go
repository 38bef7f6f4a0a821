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
	// boardPollInterval is how often a new owner checks whether its board is up to date.
	boardPollInterval = 5 * time.Millisecond
	// loadBackoff is the pause after a failed read of the recorded rows.
	loadBackoff = 150 * time.Millisecond
	// entriesGap is the least time between two polls of the executor table.
	entriesGap = 300 * time.Millisecond
)

// initialSettleTime returns how long runs that an earlier owner started may continue on executors
// that don't respond. before is the row of the previous owner.
func (t *term) initialSettleTime(before board.Owner) time.Duration {
	switch {
	case before.Epoch == 0:
		return 0
	case before.Resigned || before.Host == t.owner.host:
		return t.bounds.Lease + settleMargin
	}
	return t.bounds.Lease + unconfirmedExtension + settleMargin
}

// load restores the state that earlier owners recorded and begins to follow the executor
// table. It first waits until the board and the submissions are complete up to the term's
// first write, which has the given version. They then include every job that was accepted
// before. This matters because runs of unknown jobs are stopped; jobs that are accepted
// later have no runs yet.
func (t *term) load(ctx context.Context, version int64, submissions *submissionsCopy) error {
	o := t.owner
	var records map[string]*model.Progress
	var closed board.Closed
	used := make(map[int]board.Used)
	for {
		if o.boardFollower.Version() >= version && submissions.follower.Version() >= version {
			var err error
			if records, err = t.readRecords(&closed, used); err == nil {
				break
			}
			o.logger.Warn("reading records failed", zap.Int64("epoch", t.epoch), zap.Error(err))
			_ = o.clock.Sleep(ctx, loadBackoff)
		}
		_ = o.clock.Sleep(ctx, boardPollInterval)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	jobs, cancelled := o.board.Listen(t)
	jobs = append(jobs, submissions.rows.Listen(t)...)
	submissions.follower.SetGap(ownSubmissionsGap)
	now := o.clock.Now()
	for _, a := range submissionsInOrder(o.board.Accepted(), jobs) {
		if a.Job == nil {
			t.plan.ChargeQuota(a.Team, a.Sent)
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
	t.restoreClosed(closed, now)
	for n, row := range used {
		t.used.restore(n, row.Executors)
	}
	if t.usedComplete {
		t.plan.ExecutorsRecorded()
	}
	t.loaded = true
	o.logger.Info("records read", zap.Int64("epoch", t.epoch), zap.Int("jobs", len(jobs)), zap.Int("records", len(records)), zap.Int("cancelled", len(cancelled)),
		zap.Int("closed", len(closed.Executors)), zap.Int("unconfigured", t.plan.Unconfigured()))
	t.followEntries(ctx)
	return nil
}

// begin starts a term that has the state of the last owner.
func (t *term) begin(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loaded = true
	t.owner.submissions.follower.SetGap(ownSubmissionsGap)
	for _, sess := range t.sessions {
		sess.run()
	}
	t.followEntries(ctx)
	signal(t.wakeDecider)
	signal(t.wakeRecorder)
}

// followEntries begins to follow the executor table. The term's mu is held.
func (t *term) followEntries(ctx context.Context) {
	o := t.owner
	entries := follow.New(o.store, o.clock, platform.ExecutorTable, []string{""}, &executorEntries{term: t}, follow.WithGap(entriesGap), follow.WithLogger(o.logger))
	t.entries = entries
	t.group.Go(func() error { return entries.Run(ctx) })
}

// syncState tells up to when a table's changes have been received; follow.Follower implements
// it.
type syncState interface {
	SyncedAt() time.Time
}

// noteExecutorsListed tells the plan how old the list of executors is. The term's mu is held.
func (t *term) noteExecutorsListed() {
	if !t.entriesLoaded || t.entries == nil {
		return
	}
	if at := t.entries.SyncedAt(); at.After(t.began) {
		t.plan.AllExecutorsListed(at)
	}
}

// submissionsInOrder returns the accepted jobs in order of acceptance, since teams' quotas
// depend on the order. Jobs that have ended have a nil Job.
func submissionsInOrder(accepted map[string]board.Accepted, jobs []*model.Job) []board.Accepted {
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

// readRecords reads the phases and the progress of all jobs, and the closed and the used executors. The
// progress row of an ended job may be deleted before the job's other rows; its phase is used
// then.
func (t *term) readRecords(closed *board.Closed, used map[int]board.Used) (map[string]*model.Progress, error) {
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
				t.owner.logger.Error("skipping closed executors: row not decoded", zap.Error(err))
			}
			continue
		}
		if n, ok := board.UsedNumber(row.Key); ok {
			var u board.Used
			if err := board.Decode(row, &u); err != nil {
				t.owner.logger.Error("skipping used executors: row not decoded", zap.Error(err))
				t.usedComplete = false
				continue
			}
			used[n] = u
			continue
		}
		p := &model.Progress{}
		if err := board.Decode(row, p); err != nil {
			t.owner.logger.Error("skipping progress: row not decoded", zap.Error(err))
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
			t.owner.logger.Error("skipping phase: row not decoded", zap.Error(err))
			continue
		}
		records[id] = &model.Progress{Phase: p.Phase}
	}
	return records, nil
}
