package board

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/platform"
)

// submitted returns the row of a job's submission.
func submitted(t *testing.T, id string, version int64) platform.Row {
	t.Helper()
	put, err := Put(Submitted, PartOf(id, 0), id, &model.Job{ID: id})
	if err != nil {
		t.Fatal(err)
	}
	return platform.Row{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value, Version: version}
}

// A new owner has the submissions that there are, and hears of each later one; the row
// of its claim is none.
func TestSubmissions(t *testing.T) {
	is := is.New(t)
	s := NewSubmissions(zap.NewNop())
	gone := submitted(t, "b", 5)
	gone.Deleted = true
	damaged := submitted(t, "c", 6)
	damaged.Value = []byte("?")
	s.Reset([]platform.Row{submitted(t, "a", 1), submitted(t, "b", 2)})
	s.Change([]platform.Row{gone, damaged, {Table: Submitted, Part: Main, Key: ClaimKey, Value: []byte{1}, Version: 7}})
	h := &heard{}
	jobs := s.Listen(h)
	is.Equal(len(jobs), 1)
	is.Equal(jobs[0].ID, "a")
	s.Change([]platform.Row{submitted(t, "d", 8), {Table: Submitted, Part: Main, Key: ClaimKey, Version: 9, Deleted: true}})
	is.Equal(h.accepted, []string{"d"})
	s.Reset([]platform.Row{submitted(t, "e", 10)})
	is.Equal(h.accepted, []string{"d", "e"})
	is.Equal(len(s.Listen(nil)), 1)
}
