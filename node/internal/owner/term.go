package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/follow"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

const (
	// decideGap is the least time between two decisions, so that events that come
	// together are decided on together.
	decideGap = 10 * time.Millisecond
	// decidePeriod is how often is decided without an event, for what falls due.
	decidePeriod = 100 * time.Millisecond
	// waitsPeriod is how often long waits are looked for.
	waitsPeriod = time.Second
	// serversGap is the least time between two looks for executors' changes.
	serversGap = 300 * time.Millisecond
	// FollowGap is the least time between two looks for changes of the board of a
	// host that doesn't own the cell.
	FollowGap = 200 * time.Millisecond
	// ownerGap is the least time between two looks for new jobs.
	ownerGap = 25 * time.Millisecond
	// boardPoll is how often a new owner looks whether its board is up to date.
	boardPoll = 5 * time.Millisecond
	// runsPerEpoch keeps the numbers of this owner's runs above those of runs of
	// earlier owners that it hasn't heard of.
	runsPerEpoch = 64
	// stopSlack is how much later than it should a stopped run's end may be listed.
	stopSlack = 300 * time.Millisecond
	// loadPause follows a failed read of the cell's rows.
	loadPause = 150 * time.Millisecond
)

// term is one ownership of the cell.
type term struct {
	owner      *Owner
	epoch      int64
	began      time.Time
	settled    time.Duration // from began until nothing unknown runs at executors that don't answer
	quietUntil time.Duration // until when no run may start, on the clock that includes suspensions
	wake       chan struct{} // something happened that calls for a decision
	record     chan struct{} // something is to be recorded
	seen       chan sight    // writes of this term that the board shows
	end        context.CancelCauseFunc
	ctx        context.Context // of all that the term has started
	group      *errgroup.Group

	mu        sync.Mutex // guards the fields below
	plan      *plan.State
	agents    map[string]*agent
	config    *model.Config
	steady    time.Time     // since when executors write their entries without a gap
	beat      time.Time     // last change of an entry
	told      time.Time     // when long waits were last logged
	paused    bool          // no run may start
	confirmed time.Duration // when ownership was last known to hold, on the clock that includes suspensions
}

// sight is a write of the owner as the board shows it.
type sight struct {
	seq     int64
	version int64 // of the owner's row
}

// sightsKept bounds the writes that the board shows and the recorder hasn't
// looked at; it has one under way at a time.
const sightsKept = 4

// rule runs a term until it is lost or ctx ends.
func (o *Owner) rule(ctx context.Context, before, claim board.Owner, version int64) {
	now := o.clock.Now()
	o.logger.Info("ownership taken", zap.Int64("epoch", claim.Epoch), zap.String("from", before.Host), zap.Bool("resigned", before.Resigned))
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	g, gctx := errgroup.WithContext(ctx)
	t := &term{
		owner: o, epoch: claim.Epoch, began: now, wake: make(chan struct{}, 1), record: make(chan struct{}, 1), seen: make(chan sight, sightsKept), end: end, group: g,
		agents: make(map[string]*agent), confirmed: o.clock.Boot(), config: o.configs.Config(),
	}
	t.settled = t.settleTime(before)
	if before.Epoch > 0 && !before.Resigned && before.Host != o.host {
		t.quietUntil = o.clock.Boot() + boardTime // It may not have seen yet that it is succeeded.
	}
	t.plan = plan.New(t.config, plan.WithFar(o.bounds.Far), plan.WithStopTime(o.bounds.Stop+stopSlack), plan.WithBase(int(claim.Epoch-1)*runsPerEpoch), plan.WithSettle(now.Add(t.settled)))
	t.ctx = gctx
	rec := &recorder{term: t, row: claim, version: version}
	o.setTerm(t)
	defer o.setTerm(nil)
	g.Go(func() error {
		if err := t.load(gctx, version); err != nil {
			return err
		}
		return t.decide(gctx)
	})
	g.Go(func() error { return rec.run(gctx) })
	o.pacer.SetGap(ownerGap)
	err := g.Wait()
	o.board.Listen(nil)
	o.pacer.SetGap(FollowGap)
	t.close()
	cause := context.Cause(ctx)
	var lost *LostError
	var yield *YieldError
	if ctx.Err() != nil && !errors.As(cause, &lost) && !errors.As(cause, &yield) && !errors.As(err, &lost) {
		rec.resign()
	}
	o.logger.Info("ownership ended", zap.Int64("epoch", t.epoch), zap.NamedError("cause", cause), zap.Error(err))
}

func (o *Owner) setTerm(t *term) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.term = t
}

// settleTime returns how long runs that an earlier owner started may go on at
// executors that don't answer.
func (t *term) settleTime(before board.Owner) time.Duration {
	switch {
	case before.Epoch == 0:
		return 0
	case before.Resigned || before.Host == t.owner.host:
		return t.owner.bounds.Lease + settleMargin
	}
	return t.owner.bounds.Lease + unconfirmedTime + settleMargin
}

// load takes over what earlier owners recorded and begins to deal with executors.
// The board has to show the term's first write, so that it shows all jobs that
// were accepted before: runs of unknown jobs are stopped.
func (t *term) load(ctx context.Context, version int64) error {
	o := t.owner
	var records map[string]*model.Progress
	for {
		_, seen := o.board.Owner()
		if seen >= version {
			var err error
			if records, err = t.readRecords(); err == nil {
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
	now := o.clock.Now()
	for _, j := range jobs {
		progress := records[j.ID]
		if progress == nil {
			progress = &model.Progress{}
		}
		t.plan.AddJob(now, j, progress)
	}
	for _, id := range cancelled {
		t.plan.Cancel(now, id)
	}
	o.logger.Info("records read", zap.Int64("epoch", t.epoch), zap.Int("jobs", len(jobs)), zap.Int("records", len(records)), zap.Int("cancelled", len(cancelled)))
	servers := follow.New(o.store, o.clock, platform.ExecutorTable, []string{""}, &serverRows{term: t}, follow.WithGap(serversGap), follow.WithLogger(o.logger))
	t.group.Go(func() error { return servers.Run(ctx) })
	return nil
}

// readRecords reads the phases and the progress of all jobs. An ended job may
// have no progress any more while the job itself isn't deleted yet.
func (t *term) readRecords() (map[string]*model.Progress, error) {
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

// decide asks the plan for orders whenever something has happened.
func (t *term) decide(ctx context.Context) error {
	tick := t.owner.clock.Every(decidePeriod, func() { notify(t.wake) })
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-t.wake:
		}
		t.decideOnce()
		_ = t.owner.clock.Sleep(ctx, decideGap)
	}
}

func (t *term) decideOnce() {
	now := t.owner.clock.Now()
	t.mu.Lock()
	if c := t.owner.configs.Config(); c != t.config {
		t.config = c
		t.plan.Configure(c)
	}
	t.pause(!t.mayStart())
	t.plan.SetTurns(max(1, len(t.owner.board.Hosts())))
	orders := t.plan.Decide(now)
	var waits []plan.Wait
	if now.Sub(t.told) > waitsPeriod {
		t.told = now
		waits = t.plan.Waits(now)
		for _, a := range t.agents {
			a.retire(now)
		}
	}
	for _, s := range orders.Starts {
		if a := t.agents[s.Executor]; a != nil {
			a.give(order{start: &s})
		}
	}
	for _, s := range orders.Stops {
		if a := t.agents[s.Executor]; a != nil {
			a.give(order{stop: &s})
		}
	}
	for _, p := range orders.Paces {
		if a := t.agents[p.Executor]; a != nil {
			a.give(order{pace: &p})
		}
	}
	t.mu.Unlock()
	for i := range waits {
		t.tellWait(&waits[i], now)
	}
	for _, a := range orders.Asks {
		t.group.Go(func() error { t.ask(a); return nil })
	}
	notify(t.record)
}

// tellWait logs why a stage waits.
func (t *term) tellWait(w *plan.Wait, now time.Time) {
	t.owner.logger.Info("step waits", zap.String("id", w.Step.Job), zap.Int("occur", w.Step.Occur), zap.Int("step", w.Step.Step),
		zap.String("reason", w.Reason), zap.Int("tasks", w.Waiting), zap.Duration("for", now.Sub(w.Since)), zap.Int("usable", w.Usable),
		zap.Int("allowed", w.Allowed), zap.Int("roomy", w.Roomy), zap.Bool("asking", w.Asking), zap.Int64("epoch", t.epoch))
}

// ask carries out a question to the placement adviser.
func (t *term) ask(a plan.Ask) {
	advice, err := t.owner.advisers.Ask(a.Step, a.Executors, a.Takes)
	now := t.owner.clock.Now()
	t.mu.Lock()
	if err != nil {
		t.plan.Unadvised(a.Step)
	} else {
		t.plan.Advised(a.Step, a.Executors, advice.Tickets, now.Add(advice.Valid))
	}
	t.mu.Unlock()
	if err != nil {
		t.owner.logger.Info("no advice", zap.String("job", a.Step.Job), zap.Int("step", a.Step.Step), zap.Int("executors", len(a.Executors)), zap.Error(err))
		return
	}
	notify(t.wake)
}

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

// JobAccepted implements board.Listener.
func (t *term) JobAccepted(j *model.Job) {
	now := t.owner.clock.Now()
	t.mu.Lock()
	added := t.plan.AddJob(now, j, nil)
	t.mu.Unlock()
	if added {
		notify(t.wake)
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

// confirm notes that ownership held at a time.
func (t *term) confirm(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed = at
}

// close ends the connections.
func (t *term) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.agents {
		a.client.Close()
	}
}

// notify wakes a loop that may be busy.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
