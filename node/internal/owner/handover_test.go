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

// blockingExecutor is an executor whose Watch blocks until released is closed.
type blockingExecutor struct {
	Executor
	polled   chan struct{}
	released chan struct{}
}

func (e *blockingExecutor) Watch(platform.WatchOrder) (*platform.Report, error) {
	select {
	case e.polled <- struct{}{}:
	default:
	}
	<-e.released
	return nil, &platform.LostError{Call: "watch"}
}

func (e *blockingExecutor) Poll(platform.WatchOrder) (*platform.Report, error) {
	<-e.released
	return nil, &platform.LostError{Call: "poll"}
}

func (e *blockingExecutor) Close() {}

// A process that stops resigns at once, without waiting for the long polls that executors
// hold open.
func TestStopHandsOverBeforeCallsEnd(t *testing.T) {
	is := is.New(t)
	fakeStore := fake.NewStore()
	server := httptest.NewServer(fakeStore)
	t.Cleanup(server.Close)
	store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), storeTimeout)
	fakeStore.Put("op", "config", fake.Config())
	fakeStore.Put(platform.ExecutorTable, "i-1", fake.NewExecutor("i-1", fake.NewChecker()).Entry(fake.Service, "127.0.0.1:1"))
	clock, logger := timer.New(), zap.NewNop()
	configs, b := config.New(logger), board.New(logger)
	rows := follow.New(store, clock, board.Table, board.Parts(), b, follow.WithGap(FollowGap))
	executor := &blockingExecutor{polled: make(chan struct{}, 1), released: make(chan struct{})}
	o := New(Deps{
		Host: "h", Process: "p", Bounds: func() platform.Bounds { return platform.Bounds{Lease: 6 * time.Second, Stop: time.Second} }, Store: store, Clock: clock, Board: b, Follower: rows,
		Configs: configs, Connect: func(string, string) Executor { return executor }, Logger: logger,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ownerCtx, stop := context.WithCancel(ctx)
	var g errgroup.Group
	g.Go(func() error { return clock.Run(ctx) })
	g.Go(func() error { return rows.Run(ctx) })
	g.Go(func() error {
		return follow.New(store, clock, platform.ConfigTable, []string{""}, configs).Run(ctx)
	})
	g.Go(func() error { return o.Run(ownerCtx) })
	<-executor.polled
	stop()
	resigned := func() bool {
		var row board.Owner
		value := fakeStore.Get(board.Table, board.Main, board.OwnerKey)
		return value != nil && board.Decode(platform.Row{Value: value}, &row) == nil && row.Resigned
	}
	for end := time.Now().Add(10 * time.Second); !resigned() && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.True(resigned())
	close(executor.released)
	cancel()
	is.NoErr(g.Wait())
}
