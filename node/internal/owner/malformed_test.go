package owner

import (
	"context"
	"math"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// A malformed notification is ignored, and what it holds besides is used.
func TestMalformedNotificationIsIgnored(t *testing.T) {
	is := is.New(t)
	tm, _ := newTerm()
	tm.loaded, tm.owner.logger, tm.ctx = true, zap.NewNop(), context.Background()
	job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1}}}
	tm.applyNotification(&notification{Jobs: []*model.Job{nil, job}, Cancelled: []string{"", "unknown"}})
	is.Equal(tm.plan.Jobs(), 1)
}

// A job that can't be scheduled, from the store or from another host, ended the owner's process, and
// then that of each successor.
func TestInvalidJobEndsProcess(t *testing.T) {
	tests := map[string][]model.Step{
		"after a step that doesn't exist": {{Count: 1, After: []int{7}}},
		"after a negative step":           {{Count: 1}, {Count: 1, After: []int{-1}}},
		"after itself":                    {{Count: 1, After: []int{0}}},
		"fewer than no tasks":             {{Count: -1}},
		"tasks without end":               {{Count: 1 << 60}},
		"tasks beyond an integer":         {{Count: math.MaxInt}, {Count: math.MaxInt}, {Count: 2}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm, b := newTerm()
			tm.loaded, tm.owner.logger, tm.ctx = true, zap.NewNop(), context.Background()
			b.Listen(tm)
			submissions := board.NewSubmissions(zap.NewNop())
			submissions.Listen(tm)
			bad := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: steps}
			tm.applyNotification(&notification{Jobs: []*model.Job{bad}})
			putRow(t, b, board.AcceptKey(bad.ID), &board.Accepted{Queue: "q", Job: bad})
			put, err := board.Put(board.Submitted, board.Main, bad.ID, bad)
			is.NoErr(err)
			submissions.Change([]platform.Row{{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value, Version: 1}})
			is.Equal(len(submissions.Listen(nil)), 0)
			applied := notificationFor(tm.owner, &createRequest{ID: bad.ID, Submitted: put.Value})
			is.Equal(len(applied.Jobs), 0)
			good := &model.Job{ID: "0123456789abcde0", Queue: "q", Steps: []model.Step{{Count: 1}}}
			tm.applyNotification(&notification{Jobs: []*model.Job{bad, good}})
			tm.plan.Decide(tm.owner.clock.Now())
			is.Equal(tm.plan.Jobs(), 1)
		})
	}
}
