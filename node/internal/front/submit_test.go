package front

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// During a rolling upgrade, submissions are written to the table where an owner with an
// earlier format expects them.
func TestSubmissionsByFormat(t *testing.T) {
	tests := map[string]struct {
		format int
		tables []string
	}{
		"no owner":       {tables: []string{board.Table}},
		"earlier format": {format: board.SplitFormat - 1, tables: []string{board.Table}},
		"this format":    {format: board.Format, tables: []string{board.Table, board.Submitted}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := board.New(zap.NewNop())
			if tt.format > 0 {
				put, err := board.Put(board.Table, board.Main, board.OwnerKey, board.Owner{Host: "h", Epoch: 1, Format: tt.format})
				is.NoErr(err)
				b.Reset([]platform.Row{{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value, Version: 1}})
			}
			s := &Service{board: b}
			job := &model.Job{ID: "0123456789abcdef", Queue: "q", Team: "t"}
			rows, err := encodeRows(job.ID, board.PartOf(job.ID, 0), board.AcceptKey(job.ID), s.rowValues(job))
			is.NoErr(err)
			is.Equal(len(rows), len(tt.tables))
			for i, row := range rows {
				is.Equal(row.Table, tt.tables[i])
				is.Equal(row.Part, board.PartOf(job.ID, 0))
			}
			var a board.Accepted
			is.NoErr(board.Decode(platform.Row{Value: rows[0].Value}, &a))
			is.Equal(a.Job != nil, len(rows) == 1)
			is.Equal(a.Team, "t")
		})
	}
}
