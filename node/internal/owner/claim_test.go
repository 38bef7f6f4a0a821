package owner

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/config"
	"github.com/balsamford/balsamford/node/internal/follow"
	"github.com/balsamford/balsamford/platform"
	"github.com/balsamford/balsamford/platform/fake"
)

// The store writes a claim late, and its response is lost. Until the host sees it, another owner
// may go on and start jobs that were accepted after the claim. So the host doesn't act on that
// claim: it claims again, and takes all jobs that were accepted before that for jobs which may
// run already.
func TestLateClaimIsNotActedOn(t *testing.T) {
	is := is.New(t)
	fakeStore := fake.NewStore()
	server := httptest.NewServer(fakeStore)
	t.Cleanup(server.Close)
	store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), storeTimeout)
	fakeStore.Put("op", "config", fake.Config())
	clock, logger := timer.New(), zap.NewNop()
	configs, b := config.New(logger), board.New(logger)
	rows := follow.New(store, clock, board.Table, board.Parts(), b, follow.WithGap(FollowGap))
	o := New(Deps{
		Host: "h", Process: "p", Bounds: func() platform.Bounds { return platform.Bounds{Lease: 6 * time.Second, Stop: time.Second} }, Store: store, Clock: clock, Board: b, Follower: rows,
		Configs: configs, Logger: logger,
	})
	late, version, err := o.claim(board.Owner{}, 0)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return clock.Run(ctx) })
	g.Go(func() error { return rows.Run(ctx) })
	g.Go(func() error {
		return follow.New(store, clock, platform.ConfigTable, []string{""}, configs).Run(ctx)
	})
	g.Go(func() error { return o.Run(ctx) })
	for end := time.Now().Add(10 * time.Second); o.currentTerm() == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	tm := o.currentTerm()
	is.True(tm != nil)
	is.Equal(tm.epoch, late.Epoch+1)
	is.True(version > 0)
	is.Equal(tm.settleTime, tm.initialSettleTime(board.Owner{Epoch: late.Epoch}))
	is.True(tm.noStartUntil > 0) // Another owner may not have seen the claim yet.
	cancel()
	is.NoErr(g.Wait())
}
