package owner

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
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
