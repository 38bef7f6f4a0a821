package front

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// strictStore is a Store that refuses transactions above the limits of the platform's pages.
type strictStore struct {
	Store
	writes int
}

func (s *strictStore) Write(w *platform.Write) (int64, error) {
	size := 0
	for _, p := range w.Puts {
		if len(p.Value) > platform.DefaultRowSize {
			return 0, &platform.RefusedError{Call: "store write", Status: 413}
		}
		size += platform.PutSize(len(p.Value))
	}
	if size > 1_000_000 || w.Size() > platform.MaxEntries {
		return 0, &platform.RefusedError{Call: "store write", Status: 413}
	}
	s.writes++
	return 1, nil
}

// Submissions that together exceed the store's limit of a transaction were written in one, and all
// of them refused.
func TestLargeSubmissionsFailTogether(t *testing.T) {
	is := is.New(t)
	store := &strictStore{}
	w := newWriter(store, zap.NewNop())
	var items []*item
	for i := range 30 {
		it, err := w.enqueue([]platform.Put{{Table: board.Table, Key: strconv.Itoa(i), Value: []byte("a")}, {Table: board.Submitted, Key: strconv.Itoa(i), Value: make([]byte, platform.DefaultRowSize)}})
		is.NoErr(err)
		items = append(items, it)
	}
	_, err := w.enqueue([]platform.Put{{Table: board.Table, Key: "too large", Value: make([]byte, platform.MaxPutSize)}})
	var refused *platform.RefusedError
	is.True(errors.As(err, &refused))
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return w.run(ctx) })
	for _, it := range items {
		is.NoErr(<-it.done)
	}
	cancel()
	is.NoErr(g.Wait())
	is.True(store.writes >= 3)
}

// A submission whose row is larger than the store allows was tried, and counted as the store's
// refusal, so that the client sent it again.
func TestSubmissionOutgrowsRow(t *testing.T) {
	tests := map[string]struct {
		label  string
		reject bool
	}{
		"short label": {label: "a"},
		"long label":  {label: strings.Repeat("a", platform.DefaultRowSize), reject: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Service{board: board.New(zap.NewNop())}
			job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1, Label: tt.label}}}
			rows, err := encodeRows(job.ID, board.PartOf(job.ID, 0), board.AcceptKey(job.ID), s.rowValues(job))
			is.NoErr(err)
			var size *RowSizeError
			is.Equal(errors.As(checkSize(rows, platform.DefaultRowSize), &size), tt.reject)
		})
	}
}
