package front

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/platform"
)

// heldStore is a Store whose writes succeed once release is closed.
type heldStore struct {
	Store
	started chan struct{} // receives a value when a write begins
	release chan struct{}
}

func (s *heldStore) Write(*platform.Write) (int64, error) {
	s.started <- struct{}{}
	<-s.release
	return 1, nil
}

// A client whose rows are still queued when the process stops must get an answer. Without
// one its handler never returns, and the process doesn't exit within its grace time.
func TestQueuedRowsAreRefusedAtStop(t *testing.T) {
	is := is.New(t)
	store := &heldStore{started: make(chan struct{}, 1), release: make(chan struct{})}
	w := newWriter(store, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return w.run(ctx) })
	put := func(key string) *item {
		it, err := w.enqueue([]platform.Put{{Table: "t", Key: key}})
		is.NoErr(err)
		return it
	}
	inFlight := put("a")
	<-store.started
	queued := put("b")
	cancel()
	close(store.release)
	outcome := func(it *item) error {
		select {
		case err := <-it.done:
			return err
		case <-time.After(5 * time.Second):
			t.Fatal("no outcome")
		}
		return nil
	}
	is.NoErr(outcome(inFlight))
	var refused *platform.RefusedError
	if err := outcome(queued); err != nil { // It may have been written before the stop was noticed.
		is.True(errors.As(err, &refused))
	}
	is.NoErr(g.Wait())
	_, err := w.enqueue([]platform.Put{{Table: "t", Key: "c"}})
	is.True(errors.As(err, &refused)) // nothing would write it
}
