package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// workingFollower reports a board that is followed without failures.
type workingFollower struct{}

func (workingFollower) SetGap(time.Duration)      {}
func (workingFollower) SyncedBoot() time.Duration { return 0 }
func (workingFollower) Version() int64            { return 0 }
func (workingFollower) Failing() bool             { return false }

// During a rolling upgrade, a host with a newer row format takes over from an older one, and
// the older one doesn't take the cell back.
func TestNewerFormatOwnsTheCell(t *testing.T) {
	tests := map[string]struct {
		format int
		takes  bool
	}{
		"earlier format": {format: 0, takes: true},
		"same format":    {format: board.Format, takes: true},
		"later format":   {format: board.Format + 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock, b := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0))), board.New(zap.NewNop())
			o := New(Deps{Host: "h", Process: "p", Clock: clock, Board: b, Follower: workingFollower{}, Logger: zap.NewNop()})
			put, err := board.Put(board.Table, board.Main, board.OwnerKey, board.Owner{Host: "other", Epoch: 3, Resigned: true, Format: tt.format})
			is.NoErr(err)
			b.Reset([]platform.Row{{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value, Version: 7}})
			_, _, _ = o.shouldTakeOver() // The first call sees the row's version.
			clock.Advance(time.Minute)
			_, version, takes := o.shouldTakeOver()
			is.Equal(version, int64(7))
			is.Equal(takes, tt.takes)
		})
	}
}
