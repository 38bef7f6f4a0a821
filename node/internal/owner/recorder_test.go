package owner

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
	"github.com/balsamford/balsamford/platform/fake"
)

// storeTimeout is the store client's timeout in these tests.
const storeTimeout = 2 * time.Second

// newRecorder returns a recorder of a term that has just begun, and its fake store.
func newRecorder(t *testing.T) (*recorder, *fake.Store) {
	t.Helper()
	is := is.New(t)
	fakeStore := fake.NewStore()
	server := httptest.NewServer(fakeStore)
	t.Cleanup(server.Close)
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return clock.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait() // It never fails.
	})
	o := New(Deps{
		Host: "h", Process: "p", Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"), storeTimeout),
		Clock: clock, Board: board.New(zap.NewNop()), Logger: zap.NewNop(),
	})
	claim, version, err := o.claim(board.Owner{}, 0)
	is.NoErr(err)
	tm := &term{owner: o, epoch: claim.Epoch, group: &errgroup.Group{}, observedWrites: make(chan observedWrite, observedWritesQueued), endsSent: make(map[string]bool), plan: plan.New(nil), cancel: func(error) {}}
	return &recorder{term: tm, row: claim, version: version}, fakeStore
}

// A write whose response is lost blocks the owner no longer than the write timeout, and the
// next writes find out that it was applied.
func TestLostResponseToWrite(t *testing.T) {
	is := is.New(t)
	r, fakeStore := newRecorder(t)
	is.NoErr(r.write(batch{}))
	fakeStore.SetSlow(storeTimeout / 2)
	began := time.Now()
	var timeout *WriteTimeoutError
	is.True(errors.As(r.write(batch{}), &timeout))
	is.True(time.Since(began) < storeTimeout/2)
	time.Sleep(storeTimeout) // The write is applied in the meantime.
	fakeStore.SetSlow(0)
	var conflict *platform.ConflictError
	is.True(errors.As(r.write(batch{}), &conflict)) // The conflicting row is its own.
	is.NoErr(r.write(batch{}))
}

// While a write is in flight, the board may show an earlier attempt. That doesn't count as a
// response to the later one, which may contain more.
func TestEarlierAttemptIsNoResponse(t *testing.T) {
	tests := map[string]struct {
		seq  int64
		done bool
	}{
		"later attempt":   {seq: 3, done: true},
		"earlier attempt": {seq: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, fakeStore := newRecorder(t)
			is.NoErr(r.write(batch{}))
			fakeStore.SetSlow(storeTimeout)
			is.True(r.write(batch{}) != nil)
			r.term.observedWrites <- observedWrite{seq: tt.seq, version: 77}
			err := r.write(batch{})
			is.Equal(err == nil, tt.done)
			if tt.done {
				is.Equal(r.version, int64(77))
			}
		})
	}
}

// A slow store isn't overloaded with retries: the timeout grows with each write that times
// out, and then follows the measured duration.
func TestWriteTimeoutWithSlowStore(t *testing.T) {
	is := is.New(t)
	r, fakeStore := newRecorder(t)
	is.NoErr(r.write(batch{}))
	fakeStore.SetSlow(storeTimeout * 3 / 10)
	attempts := 0
	for r.write(batch{}) != nil {
		attempts++
		is.True(attempts < 5)
	}
	is.NoErr(r.write(batch{})) // The first attempt succeeds.
}

// A row of another owner ends the term.
func TestAnotherOwnerEndsTheTerm(t *testing.T) {
	is := is.New(t)
	r, _ := newRecorder(t)
	other := New(Deps{Host: "h2", Process: "p2", Store: r.term.owner.store})
	_, _, err := other.claim(r.row, r.version)
	is.NoErr(err)
	var lost *OwnershipLostError
	is.True(errors.As(r.write(batch{}), &lost))
	is.Equal(lost.Host, "h2")
}

// silentStore is a Store whose calls get no response.
type silentStore struct{ Store }

func (silentStore) Write(*platform.Write) (int64, error) {
	time.Sleep(storeTimeout)
	return 0, &platform.LostError{}
}

func (silentStore) Read(_, _, _, _ string) ([]platform.Row, int64, error) {
	time.Sleep(storeTimeout)
	return nil, 0, &platform.LostError{}
}

// An owner that stops while the store doesn't answer gives up its resignation in time for
// the process to exit.
func TestResignationIsBoundedWhileStoreIsSilent(t *testing.T) {
	is := is.New(t)
	r, _ := newRecorder(t)
	r.term.owner.store = silentStore{}
	began := time.Now()
	r.resign()
	is.True(time.Since(began) < resignTimeout+storeTimeout/4)
	is.True(r.term.resigning) // No run starts, whatever became of the write.
}

// A job was submitted with the ID of one that had ended long ago, and never ran: the response to
// the write that deleted the rows of the earlier one had been lost, and the owner went on taking
// the job for that one.
func TestLostDeletionBlocksReusedID(t *testing.T) {
	is := is.New(t)
	r, fakeStore := newRecorder(t)
	tm := r.term
	job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1}}}
	now := tm.owner.clock.Now()
	is.True(tm.plan.AddJob(now, job, nil))
	is.True(tm.plan.Cancel(now, job.ID))
	for _, c := range tm.plan.Changes(1) {
		tm.plan.Recorded(c)
	}
	tm.plan.Decide(now.Add(time.Minute)) // Forgets the job.
	is.True(!tm.plan.AddJob(now, job, nil))
	putRow(t, tm.owner.board, board.PhaseKey(job.ID), board.Phase{Phase: model.Cancelled, Ended: 1})

	fakeStore.SetLoseResponses(true)
	is.True(r.write(batch{}) != nil)
	fakeStore.SetLoseResponses(false)
	tm.owner.board.Change([]platform.Row{{Table: board.Table, Part: board.Main, Key: board.PhaseKey(job.ID), Deleted: true}})
	for range 2 { // The first one learns of the write without a response.
		_ = r.write(batch{})
	}
	is.True(tm.plan.AddJob(now, job, nil))
}
