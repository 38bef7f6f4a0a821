package owner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

const (
	// FollowGap is the least time between two looks for changes of the board of a
	// host that may have to take the cell over soon.
	FollowGap = 100 * time.Millisecond
	// idleGap is the same for all others. They ask the owner for what is newer, and
	// may tell counts that are two seconds old.
	idleGap = 1500 * time.Millisecond
	// ownerGap is the least time between two looks for new jobs.
	ownerGap = 50 * time.Millisecond
	// runsPerEpoch keeps the numbers of this owner's runs above those of runs of
	// earlier owners that it hasn't heard of.
	runsPerEpoch = 64
	// entryLife is less than the time that the entry of an executor lasts without
	// being renewed: three heartbeats of a second or more.
	entryLife = 2500 * time.Millisecond
	// stopSlack is how much later than it should a stopped run's end may be listed.
	stopSlack = 300 * time.Millisecond
)

// term is one ownership of the cell.
type term struct {
	owner      *Owner
	epoch      int64
	began      time.Time
	bounds     platform.Bounds
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
	steady    time.Time                // since when executors write their entries without a gap
	beat      time.Time                // last change of an entry
	lossy     time.Time                // until when answers of executors are expected to get lost
	lastLoss  time.Time                // when the last one did
	logged    time.Time                // when long waits were last logged
	paused    bool                     // no run may start
	lapseAt   map[string]time.Duration // by silent executor, when leases there have ended, on the store's clock
	lapseBy   map[string]time.Time     // the same of executors that the last owner had closed, on this host's
	leaving   bool                     // ownership is being handed over: nothing starts any more
	confirmed time.Duration            // when ownership was last known to hold, on the clock that includes suspensions
	authority time.Duration            // how long it holds from then, by the owner's row
	heirs     []string                 // hosts that take over first
	loaded    bool                     // what was recorded is in the plan
	ends      map[string]model.Phase   // of jobs whose end this term has recorded
	listed    bool                     // all executors that have an entry are known
	settling  bool                     // a majority of them has answered this owner
	zone      string                   // in which each run is recorded before it starts; empty for none
	held      map[string][]plan.Start  // by job, starts that aren't recorded yet
	sent      map[string]bool          // jobs whose end was sent to the store and isn't known to be recorded
	over      []string                 // jobs of which nothing runs any more, whose submissions are still there
	trimmed   time.Time                // when such submissions were last deleted
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
	o.counts.epoch.Update(claim.Epoch)
	o.counts.terms.Inc(1)
	defer o.counts.clear()
	o.logger.Info("ownership taken", zap.Int64("epoch", claim.Epoch), zap.String("from", before.Host), zap.Bool("resigned", before.Resigned))
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	g, gctx := errgroup.WithContext(ctx)
	t := &term{
		owner: o, epoch: claim.Epoch, began: now, bounds: o.bounds(), wake: make(chan struct{}, 1), record: make(chan struct{}, 1), seen: make(chan sight, sightsKept), end: end, group: g,
		agents: make(map[string]*agent), lapseAt: make(map[string]time.Duration), lapseBy: make(map[string]time.Time), ends: make(map[string]model.Phase), sent: make(map[string]bool), held: make(map[string][]plan.Start), confirmed: o.clock.Boot(), authority: claim.Authority, config: o.configs.Config(),
	}
	t.settled, t.zone = t.settleTime(before), o.heldZone()
	relist := now
	if !o.recent(before) {
		relist = now.Add(relistTime)
	}
	if before.Epoch > 0 && !before.Resigned && before.Host != o.host {
		t.quietUntil = o.clock.Boot() + boardTime // It may not have seen yet that it is succeeded.
	}
	t.plan = plan.New(t.config, plan.WithFar(t.bounds.Far), plan.WithStopTime(t.bounds.Stop+stopSlack), plan.WithBase(int(claim.Epoch-1)*runsPerEpoch), plan.WithSettle(now.Add(t.settled)), plan.WithRelist(relist), plan.WithRecorded(before.Zone),
		plan.WithShare(t.bounds.ShareWindow, t.bounds.ShareSlack))
	t.ctx = gctx
	rec := &recorder{term: t, row: claim, version: version}
	o.setTerm(t)
	defer o.setTerm(nil)
	g.Go(func() error {
		if err := t.load(gctx, version, o.copied); err != nil {
			return err
		}
		return t.decide(gctx)
	})
	g.Go(func() error { return rec.run(gctx) })
	g.Go(func() error { return t.watchSuccessors(gctx) })
	o.pacer.SetGap(ownerGap)
	err := g.Wait()
	o.board.Listen(nil)
	o.copied.rows.Listen(nil)
	o.copied.follower.SetGap(submissionsGap)
	o.gap = 0 // It has to be set anew.
	t.close()
	o.logger.Info("ownership ended", zap.Int64("epoch", t.epoch), zap.NamedError("cause", context.Cause(ctx)), zap.Error(err))
}

// recent reports whether an owner wrote its row a moment ago, while executors' entries
// were complete: those that lack one now have lost it for their own reasons, and
// that owner gave them no new work.
func (o *Owner) recent(row board.Owner) bool {
	if row.ExecutorsMayBeMissing {
		return false
	}
	if row.Host == o.host { // This process may have started after that.
		age := o.clock.Boot() - row.Written
		return row.Written > 0 && age >= 0 && age < entryLife
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.seen.IsZero() && o.clock.Now().Sub(o.seen) < entryLife
}

func (o *Owner) setTerm(t *term) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.term = t
}

// confirm notes that ownership held at a time, and for how long from then.
func (t *term) confirm(at, authority time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed, t.authority = at, authority
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
