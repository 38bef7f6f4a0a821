package owner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

const (
	// takeoverMargin is how much longer than an owner may act by its last write it
	// is waited for: for clocks' rates, and for a packet on its way.
	takeoverMargin = 200 * time.Millisecond
	// stuckAfter is how long an owner that answers may write nothing until
	// another host takes over.
	stuckAfter = 2 * time.Second
	// firstDelay lets all hosts of a new deployment register before the first
	// owner is found among them.
	firstDelay = 700 * time.Millisecond
	// rankDelay separates the hosts that would take over.
	rankDelay = 150 * time.Millisecond
	// checkPeriod is how often it is looked whether to take over.
	checkPeriod = 100 * time.Millisecond
	// claimPause follows a claim that failed.
	claimPause = 300 * time.Millisecond
)

// Owner takes and keeps ownership of the cell. It may be used concurrently.
type Owner struct {
	host     string
	zone     string
	process  string
	bounds   func() platform.Bounds
	store    Store
	ticks    StoreClock // nil for none
	clock    *timer.Service
	board    *board.Board
	pacer    Pacer
	configs  Configs
	advisers Advisers
	connect  func(id, address string) Executor
	logger   *zap.Logger
	counts   *counts

	owning atomic.Bool
	ready  atomic.Bool   // it waits for ownership
	ruled  int64         // epoch of the last term; Run alone uses it
	gap    time.Duration // at which the board is followed; Run alone uses it
	told   int64         // epoch of a later program that was told of; Run alone uses it
	mute   int64         // version of its row at which an owner didn't answer; Run alone uses it
	copied *copied       // nil while no copy of the submissions is kept; Run alone uses it

	node   *link.Node    // nil before Mount
	offers chan handover // ownership that its owner hands to this host
	news   chan news     // to be told to the owner
	keeper Keeper        // creates rows for other hosts

	mu      sync.Mutex // guards the fields below
	term    *term      // the present one, nil if this host doesn't own the cell
	seen    time.Time  // when the owner's row was last seen to change
	version int64      // of the row then
	// muteUntil is until when the owner of epoch muteEpoch isn't asked.
	muteUntil time.Time
	muteEpoch int64
}

// Parts is what an Owner is built from.
type Parts struct {
	Host       string
	Zone       string
	Process    string                 // tells this process from others of the host
	Bounds     func() platform.Bounds // in force; a term keeps those that it begins with
	Store      Store
	StoreClock StoreClock // nil for none
	Clock      *timer.Service
	Board      *board.Board
	Pacer      Pacer // of the board
	Configs    Configs
	Advisers   Advisers
	Connect    func(id, address string) Executor
	Logger     *zap.Logger
	Registry   metrics.Registry // nil for one of its own
}

// New returns an Owner that owns nothing yet.
func New(p Parts) *Owner {
	if p.Registry == nil {
		p.Registry = metrics.NewRegistry()
	}
	return &Owner{
		host: p.Host, zone: p.Zone, process: p.Process, bounds: p.Bounds, store: p.Store, ticks: p.StoreClock, clock: p.Clock, board: p.Board, pacer: p.Pacer, configs: p.Configs,
		advisers: p.Advisers, connect: p.Connect, logger: p.Logger, counts: newCounts(p.Registry), offers: make(chan handover, 1), news: make(chan news, newsQueued),
	}
}

// Owning reports whether this host owns the cell.
func (o *Owner) Owning() bool { return o.owning.Load() }

// Run takes ownership whenever the cell has no live owner, until ctx ends.
// Ownership is handed over then. It always returns nil.
func (o *Owner) Run(ctx context.Context) error {
	var g errgroup.Group
	defer func() { _ = g.Wait() }() // It never fails.
	for ctx.Err() == nil {
		o.copySubmissions(ctx, &g, o.attend() || o.strong())
		offer := o.await(ctx)
		if ctx.Err() != nil || o.configs.Config() == nil {
			continue
		}
		if offer != nil {
			o.accept(ctx, &g, offer)
			continue
		}
		if row, version := o.board.Owner(); row.Process == o.process && !row.Resigned && row.Epoch > o.ruled {
			o.begin(ctx, &g, board.Owner{Epoch: row.Epoch - 1}, row, version) // The answer to a claim was lost.
			continue
		}
		row, version, ok := o.vacant()
		if !ok {
			continue
		}
		if !o.take(ctx, &g, row, version) {
			_ = o.clock.Sleep(ctx, claimPause)
		}
	}
	return nil
}

// attend has the board followed as closely as this host's part in the cell needs. It
// reports whether the host may have to take the cell over soon.
func (o *Owner) attend() bool {
	row, version := o.board.Owner()
	next := version == 0 || row.Resigned || len(row.Successors) == 0 || slices.Contains(row.Successors, o.host)
	gap := idleGap
	if next {
		gap = FollowGap
	}
	if gap != o.gap {
		o.gap = gap
		o.pacer.SetGap(gap)
	}
	return next
}

// take claims ownership and runs a term. It reports whether the claim succeeded.
func (o *Owner) take(ctx context.Context, g *errgroup.Group, row board.Owner, version int64) bool {
	claim, version, err := o.claim(row, version)
	if err != nil {
		o.logger.Info("ownership not taken", zap.Int64("epoch", claim.Epoch), zap.Error(err))
		return false
	}
	o.begin(ctx, g, row, claim, version)
	return true
}

// begin runs a term.
func (o *Owner) begin(ctx context.Context, g *errgroup.Group, before, claim board.Owner, version int64) {
	o.copySubmissions(ctx, g, true)
	o.copied.follower.SetGap(ownerGap)
	o.ruled = claim.Epoch
	o.owning.Store(true)
	o.rule(ctx, before, claim, version)
	o.owning.Store(false)
}

// vacant returns the owner's row if this host should take over now.
func (o *Owner) vacant() (board.Owner, int64, bool) {
	row, version := o.board.Owner()
	now := o.clock.Now()
	o.mu.Lock()
	if version != o.version || o.seen.IsZero() || o.pacer.Failing() {
		o.version, o.seen = version, now // A board that can't be followed shows nothing.
	}
	quiet := now.Sub(o.seen)
	o.mu.Unlock()
	if row.Format > board.Format {
		o.foreign(row)
		return row, version, false
	}
	if row.Host == o.host && row.Process != o.process {
		return row, version, true // An earlier process of this host.
	}
	delay := time.Duration(o.rank(row)) * rankDelay
	authority := max(row.Authority, leastAuthority)
	if version == 0 {
		return row, version, quiet >= firstDelay+delay
	}
	if row.Resigned {
		return row, version, quiet >= delay
	}
	if quiet < probeAfter+delay {
		return row, version, false
	}
	switch o.examine(row, version) {
	case yielding:
		return row, version, true
	case silent:
		return row, version, quiet >= authority+takeoverMargin+delay
	case alive:
	}
	return row, version, quiet >= max(stuckAfter, authority+takeoverMargin)+delay
}

// foreign tells once that a later program owns the cell, whose rows this one must not
// rewrite.
func (o *Owner) foreign(row board.Owner) {
	if o.told != row.Epoch {
		o.told = row.Epoch
		o.logger.Warn("cell is left to a later program", zap.String("owner", row.Host), zap.Int64("epoch", row.Epoch), zap.Int("format", row.Format))
	}
}

// ownerRow is the condition that the owner's row has a version.
func ownerRow(version int64) platform.Condition {
	return platform.Condition{Table: board.Table, Part: board.Main, Key: board.OwnerKey, Version: version}
}

// claim takes ownership if the owner's row still has version.
func (o *Owner) claim(row board.Owner, version int64) (board.Owner, int64, error) {
	next := board.Owner{Host: o.host, Process: o.process, Epoch: row.Epoch + 1, Authority: leastAuthority, Format: board.Format}
	put, err := board.Put(board.Table, board.Main, board.OwnerKey, next)
	if err != nil {
		return next, 0, err
	}
	mark, err := board.Put(board.Submitted, board.Main, board.ClaimKey, next.Epoch)
	if err != nil {
		return next, 0, err
	}
	w := platform.Write{Conditions: []platform.Condition{ownerRow(version)}, Puts: []platform.Put{put, mark}}
	got, err := o.store.Write(&w)
	return next, got, err
}
