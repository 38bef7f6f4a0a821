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

// steadyPacer follows a board without fail.
type steadyPacer struct{}

func (steadyPacer) SetGap(time.Duration)     {}
func (steadyPacer) Confirmed() time.Duration { return 0 }
func (steadyPacer) Version() int64           { return 0 }
func (steadyPacer) Failing() bool            { return false }

// While a cell is rolled from one program to the next, the later one takes it over
// from the earlier one, and the earlier one doesn't take it back.
func TestCellGoesToTheLaterProgram(t *testing.T) {
	tests := map[string]struct {
		format int
		takes  bool
	}{
		"rows of an earlier program": {format: 0, takes: true},
		"rows of this program":       {format: board.Format, takes: true},
		"rows of a later program":    {format: board.Format + 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock, b := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0))), board.New(zap.NewNop())
			o := New(Parts{Host: "h", Process: "p", Clock: clock, Board: b, Pacer: steadyPacer{}, Logger: zap.NewNop()})
			put, err := board.Put(board.Table, board.Main, board.OwnerKey, board.Owner{Host: "other", Epoch: 3, Resigned: true, Format: tt.format})
			is.NoErr(err)
			b.Reset([]platform.Row{{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value, Version: 7}})
			_, _, _ = o.vacant() // It sees the row for the first time.
			clock.Advance(time.Minute)
			_, version, takes := o.vacant()
			is.Equal(version, int64(7))
			is.Equal(takes, tt.takes)
		})
	}
}
