package board

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/platform"
)

// submissionRow returns the row of a job's submission.
func submissionRow(t *testing.T, id string, version int64) platform.Row {
	t.Helper()
	put, err := Put(Submitted, PartOf(id, 0), id, &model.Job{ID: id})
	if err != nil {
		t.Fatal(err)
	}
	return platform.Row{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value, Version: version}
}

// Listen returns the present submissions, and the listener receives each later one. The
// claim row in the same table is not a submission, and rows that can't be decoded are
// ignored.
func TestSubmissions(t *testing.T) {
	is := is.New(t)
	s := NewSubmissions(zap.NewNop())
	deleted := submissionRow(t, "b", 5)
	deleted.Deleted = true
	damaged := submissionRow(t, "c", 6)
	damaged.Value = []byte("?")
	s.Reset([]platform.Row{submissionRow(t, "a", 1), submissionRow(t, "b", 2)})
	s.Change([]platform.Row{deleted, damaged, {Table: Submitted, Part: Main, Key: ClaimKey, Value: []byte{1}, Version: 7}})
	l := &recordingListener{}
	jobs := s.Listen(l)
	is.Equal(len(jobs), 1)
	is.Equal(jobs[0].ID, "a")
	s.Change([]platform.Row{submissionRow(t, "d", 8), {Table: Submitted, Part: Main, Key: ClaimKey, Version: 9, Deleted: true}})
	is.Equal(l.accepted, []string{"d"})
	s.Reset([]platform.Row{submissionRow(t, "e", 10)})
	is.Equal(l.accepted, []string{"d", "e"})
	is.Equal(len(s.Listen(nil)), 1)
}

// readingListener reads all submissions whenever it receives one.
type readingListener struct {
	submissions *Submissions
	least       int // of the submissions read
}

func (l *readingListener) JobAccepted(*model.Job) {
	l.submissions.mu.Lock()
	defer l.submissions.mu.Unlock()
	l.least = min(l.least, len(l.submissions.jobs))
}

// While the submissions were read anew, a host that took over read a part of them, and the others'
// jobs stood still until their next change.
func TestResetShowsPartOfSubmissions(t *testing.T) {
	is := is.New(t)
	s := NewSubmissions(zap.NewNop())
	rows := []platform.Row{submissionRow(t, "a", 1), submissionRow(t, "b", 2), submissionRow(t, "c", 3)}
	s.Reset(rows)
	l := &readingListener{submissions: s, least: len(rows)}
	s.Listen(l)
	s.Reset(rows)
	is.Equal(l.least, len(rows))
}
