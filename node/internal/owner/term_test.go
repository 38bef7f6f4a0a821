package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

// failingFollower reports a board that can't be followed.
type failingFollower struct{ workingFollower }

func (failingFollower) Failing() bool { return true }

// A successor that couldn't read the board during an outage took the owner's row for new, and
// started tasks again that ran on executors whose entries had expired. The age of the row is
// that of its write, by the store's clock.
func TestRowReadAfterOutageCountsAsNew(t *testing.T) {
	const now = time.Hour // on the store's clock
	tests := map[string]struct {
		row     board.Owner
		noClock bool // this host has never read the store's clock
		recent  bool
	}{
		"owner was lost":                  {row: board.Owner{Host: "other", StoreTime: now - time.Second}, recent: true},
		"outage":                          {row: board.Owner{Host: "other", StoreTime: now - 4500*time.Millisecond}},
		"owner couldn't write":            {row: board.Owner{Host: "other", StoreTime: now - maxUnwritten}},
		"entries were incomplete":         {row: board.Owner{Host: "other", StoreTime: now - time.Second, ExecutorsMayBeMissing: true}},
		"claim without a write":           {row: board.Owner{Host: "other"}},
		"clock not read":                  {row: board.Owner{Host: "other", StoreTime: now - time.Second}, noClock: true},
		"this host restarted":             {row: board.Owner{Host: "h", StoreTime: now - 1900*time.Millisecond}, recent: true},
		"this host restarted after":       {row: board.Owner{Host: "h", StoreTime: now - minEntryTTL}},
		"this host claimed and restarted": {row: board.Owner{Host: "h"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock, b := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0))), board.New(zap.NewNop())
			o := New(Deps{Host: "h", Process: "p", Clock: clock, Board: b, Follower: failingFollower{}, Logger: zap.NewNop()})
			if !tt.noClock {
				o.storeClock = &fixedStoreClock{reading: platform.ClockReading{Now: now, Sent: clock.Boot(), Received: clock.Boot()}}
			}
			tt.row.Epoch, tt.row.Format = 3, board.Format
			putRow(t, b, board.OwnerKey, tt.row)
			_, _, _ = o.shouldTakeOver() // The board shows the row right now.
			is.Equal(o.ownedRecently(tt.row), tt.recent)
		})
	}
}

// Earlier jobs wait for executors to register again unless the last owner had certainly recorded each executor
// before its first run: otherwise tasks start again that run on executors without an entry.
func TestUnrecordedExecutorsAreAwaited(t *testing.T) {
	const written = time.Hour // on the store's clock
	tests := map[string]struct {
		row      board.Owner
		recorded bool
	}{
		"complete":                {row: board.Owner{Format: board.UsedFormat, StoreTime: written}, recorded: true},
		"an earlier format":       {row: board.Owner{Format: board.UsedFormat - 1, StoreTime: written}},
		"entries were incomplete": {row: board.Owner{Format: board.UsedFormat, StoreTime: written, ExecutorsMayBeMissing: true}},
		"claim without a write":   {row: board.Owner{Format: board.UsedFormat}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(recordsUsed(tt.row), tt.recorded)
		})
	}
}

// The first writes after an outage of the store declared the entries of executors complete,
// since no entry had changed yet that showed the outage. So did those of a new owner that
// hadn't read the entries.
func TestFirstWriteAfterOutageHidesMissingExecutors(t *testing.T) {
	tests := map[string]struct {
		sinceChange, sinceOutage time.Duration // of entries; 0 for never
		missing                  bool
	}{
		"entries change":               {sinceChange: time.Second, sinceOutage: time.Minute},
		"no entry changes":             {sinceChange: 5 * time.Second, sinceOutage: time.Minute, missing: true},
		"outage ended a moment ago":    {sinceChange: time.Second, sinceOutage: 2 * time.Second, missing: true},
		"entries haven't been read":    {missing: true},
		"outage ended long enough ago": {sinceChange: time.Second, sinceOutage: reregisterGrace},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tm, clock, _ := newTermWithExecutors(1)
			if tt.sinceChange > 0 {
				tm.lastEntryChange, tm.lastOutageEnd = clock.Now().Add(-tt.sinceChange), clock.Now().Add(-tt.sinceOutage)
			}
			is.New(t).Equal(tm.executorsMayBeMissing(), tt.missing)
		})
	}
}

// listAge is a followed table that is up to date as of a time.
type listAge struct{ at time.Time }

func (l listAge) SyncedAt() time.Time { return l.at }

// The store failed again right after a takeover, and its executors that hadn't registered again
// by then counted as gone once the time for it was over, though no answer of the store had
// shown that.
func TestSecondOutageHidesMissingExecutors(t *testing.T) {
	tests := map[string]struct {
		synced   time.Duration // since the beginning of the term
		complete bool
	}{
		"store failed again":         {synced: time.Second},
		"store answered long enough": {synced: reregisterGrace, complete: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm, clock, _ := newTermWithExecutors(0)
			tm.plan = plan.New(nil, plan.WithSettleDeadline(tm.began.Add(time.Minute)), plan.WithReregisterDeadline(tm.began.Add(reregisterGrace)))
			tm.entries = listAge{at: tm.began.Add(tt.synced)}
			clock.Advance(2 * reregisterGrace)
			tm.noteExecutorsListed()
			is.Equal(tm.plan.ZoneRunsKnown("z"), tt.complete)
		})
	}
}
