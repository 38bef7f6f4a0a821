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
	// FollowGap is the least time between two polls of the board on a host that may
	// have to take the cell over soon.
	FollowGap = 100 * time.Millisecond
	// idleGap is the least time between two polls of the board on all other hosts.
	// They query the owner for newer state, and may report counts that are two seconds
	// old.
	idleGap = 1500 * time.Millisecond
	// feederGap is the least time between two polls of the board on a host from which other
	// hosts of its zone get the changes.
	feederGap = 300 * time.Millisecond
	// ownerGap is the least time between two polls of the board on the owner.
	ownerGap = 50 * time.Millisecond
	// runNumbersPerEpoch is how far each epoch raises the run numbers, so that a new
	// owner's runs have higher numbers than runs of earlier owners that it doesn't
	// know of.
	runNumbersPerEpoch = 64
	// minEntryTTL is the least time for which entries are present after the store has failed. An
	// entry lasts three heartbeats of at least one second, the last of which may be one heartbeat
	// old by then.
	minEntryTTL = 2 * time.Second
	// maxUnwritten is how long the last owner may have written nothing before a takeover for
	// executors' entries still to count as complete. The last successor of an owner that is lost
	// claims within it. After a longer time the owner was alive and couldn't write, or the store
	// was away, and entries may have expired since.
	maxUnwritten = 1500 * time.Millisecond
	// stopReportDelay is how long after its stop time a stopped run's end may take to
	// appear in a report.
	stopReportDelay = 300 * time.Millisecond
)

// term is one period in which this host owns the cell, under one epoch.
type term struct {
	owner          *Owner
	epoch          int64
	began          time.Time
	bounds         platform.Bounds
	settleTime     time.Duration      // time from began until runs unknown to this owner have ended on executors that don't respond
	noStartUntil   time.Duration      // boot time before which no run may start
	wakeDecider    chan struct{}      // signalled after an event that may lead to a decision
	wakeRecorder   chan struct{}      // signalled when there is something to record
	observedWrites chan observedWrite // writes of this term that the board shows
	cancel         context.CancelCauseFunc
	ctx            context.Context // parent of everything that the term starts
	group          *errgroup.Group

	mu                sync.Mutex // guards the fields below
	plan              *plan.State
	lag               lagMeter      // of the decision loop
	longestDecision   time.Duration // since logLoad was last called
	sessions          map[string]*session
	used              *usedExecutors
	config            *model.Config
	lastOutageEnd     time.Time                // when the last store outage ended, judged by the changes of entries
	lastEntryChange   time.Time                // when any entry last changed
	lossyUntil        time.Time                // until when responses of executors are expected to get lost
	lastLostResponse  time.Time                // when a response of an executor was last lost
	waitsLogged       time.Time                // when long waits were last logged
	deferred          deferredLog              // jobs that were deferred and aren't logged yet
	waste             wasteLog                 // work that was lost and isn't logged yet
	paused            bool                     // no run may start
	fences            map[string]int64         // by executor, how often its fencing token was raised
	leaseEndStoreTime map[string]time.Duration // by silent executor, the store time by which all its leases have ended
	recordedLeaseEnds map[string]time.Duration // by executor, the earliest end of its leases that the stored record may name, in store time
	leaseEndHostTime  map[string]time.Time     // by executor that the last owner had closed, the local time by which its leases have ended
	frozen            bool                     // the state is being handed over: nothing starts and reports aren't taken into account
	resignInDoubt     bool                     // a resignation may have been written, so that another host may take over
	handover          *handoverRequest         // nil if none is wanted
	handoverFailures  int                      // hand-overs that have failed
	noHandoverBefore  time.Time                // before it the cell isn't given to a better host, since that has failed
	chosen            []successor              // successorHosts with what they replied
	resigning         bool                     // ownership is being handed over; no run may start
	writeConfirmed    time.Duration            // boot time at which the last write that confirmed ownership was sent
	authority         time.Duration            // how long runs may start after writeConfirmed
	successorHosts    []string                 // hosts that should take over, in order
	loaded            bool                     // the plan contains the state recorded by earlier owners
	oversize          []string                 // jobs whose records were left out last for their size, sorted
	unaccepted        map[string]time.Time     // when cancellations of jobs that aren't accepted were first seen, by job
	recordedEnds      map[string]model.Phase   // final phases that this term has recorded, by job
	usedComplete      bool                     // the stored record of used executors has all that may have runs
	entriesLoaded     bool                     // the executor table has been read
	entries           syncState                // of the executor table; nil before it is followed
	settleShortened   bool                     // settleTime was shortened, since a majority has responded
	writeAheadZone    string                   // zone in which runs are recorded before they start, may be empty
	evacuated         []string                 // zones that are being evacuated, as the plan knows
	unknownZones      map[string]bool          // those of them in which no executor is known
	heldStarts        map[string][]plan.Start  // starts that wait for their record, by job
	endsSent          map[string]bool          // jobs whose end was sent to the store with unknown outcome so far
	made              madeForecast             // the last forecast
	untrimmed         []string                 // ended jobs without runs whose submissions aren't deleted yet
	lastTrim          time.Time                // when trimSubmissions last wrote
}

// observedWrite is a write of this term's owner that the board shows.
type observedWrite struct {
	seq     int64
	version int64 // of the owner's row
}

// rowSize returns the largest size of a row, in bytes.
func (t *term) rowSize() int {
	if t.bounds.RowSize > 0 {
		return t.bounds.RowSize
	}
	return platform.DefaultRowSize
}

// observedWritesQueued bounds the observed writes that the recorder hasn't read. The
// recorder has one write in flight at a time.
const observedWritesQueued = 4

// runTerm runs a term until ownership is lost or ctx ends. before is the row of the
// previous owner; claim is this host's row, which has the given version. state is what the previous owner
// handed over, nil for nothing. The end of ctx asks for a hand-over; the term ends after it.
func (o *Owner) runTerm(ctx context.Context, before, claim board.Owner, version int64, state *heldState) {
	now := o.clock.Now()
	o.metrics.epoch.Update(claim.Epoch)
	o.metrics.terms.Inc(1)
	defer o.metrics.reset()
	stop := ctx
	ctx, end := context.WithCancelCause(context.WithoutCancel(ctx))
	defer end(nil)
	g, gctx := errgroup.WithContext(ctx)
	t := &term{
		owner: o, epoch: claim.Epoch, began: now, bounds: o.bounds(), wakeDecider: make(chan struct{}, 1), wakeRecorder: make(chan struct{}, 1), observedWrites: make(chan observedWrite, observedWritesQueued), cancel: end, group: g,
		sessions: make(map[string]*session), fences: make(map[string]int64), leaseEndStoreTime: make(map[string]time.Duration), leaseEndHostTime: make(map[string]time.Time), recordedLeaseEnds: make(map[string]time.Duration), recordedEnds: make(map[string]model.Phase), endsSent: make(map[string]bool), heldStarts: make(map[string][]plan.Start), writeConfirmed: o.clock.Boot(), authority: claim.Authority, config: o.configs.Config(),
	}
	t.used = newUsedExecutors(t.rowSize())
	t.settleTime, t.writeAheadZone = t.initialSettleTime(before), o.writeAheadZone()
	reregisterBy := now
	if !o.ownedRecently(before) {
		reregisterBy = now.Add(reregisterGrace)
	}
	t.usedComplete = recordsUsed(before)
	age, _ := o.rowAge(before)
	o.logger.Info("ownership taken", zap.Int64("epoch", claim.Epoch), zap.String("from", before.Host), zap.Bool("resigned", before.Resigned),
		zap.Duration("age", age), zap.Bool("incomplete", before.ExecutorsMayBeMissing), zap.Duration("grace", reregisterBy.Sub(now)))
	if before.Epoch > 0 && !before.Resigned && before.Host != o.host {
		t.noStartUntil = o.clock.Boot() + boardAuthority // That owner may not have seen the takeover yet.
	}
	newPlan := func() *plan.State {
		return plan.New(t.config, plan.WithRemoteSlowdown(t.bounds.Far), plan.WithStopTime(t.bounds.Stop+stopReportDelay), plan.WithRunNumberBase(int(claim.Epoch-1)*runNumbersPerEpoch), plan.WithSettleDeadline(now.Add(t.settleTime)), plan.WithReregisterDeadline(reregisterBy), plan.WithWriteAheadZone(before.WriteAheadZone), plan.WithRecordSize(t.rowSize()),
			plan.WithQuota(t.bounds.ShareWindow, t.bounds.ShareSlack))
	}
	t.plan, t.ctx = newPlan(), gctx
	rec := &recorder{term: t, row: claim, version: version}
	restored := t.useState(rec, state)
	if !restored {
		t.plan = newPlan()
	}
	o.setTerm(t)
	defer o.setTerm(nil)
	defer context.AfterFunc(stop, t.stopTerm)()
	g.Go(func() error {
		if restored {
			t.begin(gctx)
		} else if err := t.load(gctx, version, o.submissions); err != nil {
			return err
		}
		return t.decide(gctx)
	})
	g.Go(func() error { return rec.run(gctx) })
	g.Go(func() error { return t.updateSuccessors(gctx) })
	o.boardFollower.SetGap(ownerGap)
	err := g.Wait()
	o.board.Listen(nil)
	o.submissions.rows.Listen(nil)
	o.submissions.follower.SetGap(submissionsGap)
	o.boardGap = 0 // updateBoardGap has to set it again.
	t.closeClients()
	o.logger.Info("ownership ended", zap.Int64("epoch", t.epoch), zap.NamedError("cause", context.Cause(ctx)), zap.Error(err))
}

// ownedRecently reports whether the owner of row wrote it a moment ago, while
// executors' entries were complete. If so, an executor without an entry didn't lose
// it in a store outage, and that owner gave it no new work. A row that only claims ownership
// says nothing about entries.
func (o *Owner) ownedRecently(row board.Owner) bool {
	age, known := o.rowAge(row)
	if !known || row.ExecutorsMayBeMissing {
		return false
	}
	if row.Host == o.host { // This host restarted, and the store may have been available until then.
		return age < minEntryTTL
	}
	return age < maxUnwritten
}

// recordsUsed reports whether the owner of row had recorded all executors on which it or an earlier owner may have
// started runs. It had done so before each first run, however long ago it wrote the row; executors that it didn't find
// when it took over are excepted, for which it says that some may be missing. A row that only claims ownership
// doesn't tell.
func recordsUsed(row board.Owner) bool {
	return row.Format >= board.UsedFormat && row.StoreTime != 0 && !row.ExecutorsMayBeMissing
}

// rowAge returns the greatest time that may have passed since the owner's row was written, and
// false if that isn't known.
func (o *Owner) rowAge(row board.Owner) (time.Duration, bool) {
	_, latest, ok := o.storeTime()
	if !ok || row.StoreTime == 0 {
		return 0, false
	}
	return latest - row.StoreTime, true
}

func (o *Owner) setTerm(t *term) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.term = t
}

// confirm sets when a write that confirmed ownership was sent, in boot time, and for how
// long after that runs may start.
func (t *term) confirm(at, authority time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writeConfirmed, t.authority = at, authority
}

// closeClients closes the clients of all executors.
func (t *term) closeClients() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, sess := range t.sessions {
		sess.client.Close()
	}
}

// signal wakes the receiver of c without blocking. c has a buffer of one, so that a
// signal isn't lost while the receiver is busy.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
