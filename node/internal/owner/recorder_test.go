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

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
	"github.com/balsamford/balsamford/platform/fake"
)

// storeTimeout is how long the store's client waits for an answer in these tests.
const storeTimeout = 2 * time.Second

// newRecorder returns a recorder of a term that has just begun, and its store.
func newRecorder(t *testing.T) (*recorder, *fake.Store) {
	t.Helper()
	is := is.New(t)
	f := fake.NewStore()
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return clock.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait() // It never fails.
	})
	o := New(Parts{
		Host: "h", Process: "p", Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"), storeTimeout),
		Clock: clock, Board: board.New(zap.NewNop()), Logger: zap.NewNop(),
	})
	claim, version, err := o.claim(board.Owner{}, 0)
	is.NoErr(err)
	tm := &term{owner: o, epoch: claim.Epoch, group: &errgroup.Group{}, seen: make(chan sight, sightsKept), sent: make(map[string]bool), plan: plan.New(nil), end: func(error) {}}
	return &recorder{term: tm, row: claim, version: version}, f
}

// A write whose answer is lost holds the owner up no longer than its patience, and
// the next ones find out that it was done.
func TestLostAnswerOfRecord(t *testing.T) {
	is := is.New(t)
	r, f := newRecorder(t)
	is.NoErr(r.write(batch{}))
	f.SetSlow(storeTimeout / 2)
	began := time.Now()
	var impatient *PatienceError
	is.True(errors.As(r.write(batch{}), &impatient))
	is.True(time.Since(began) < storeTimeout/2)
	time.Sleep(storeTimeout) // The write is done late.
	f.SetSlow(0)
	var conflict *platform.ConflictError
	is.True(errors.As(r.write(batch{}), &conflict)) // Its own row is there.
	is.NoErr(r.write(batch{}))
}

// The board may show an earlier try while a later one is under way: that is no
// answer to the later one, which may hold more.
func TestEarlierTryIsNoAnswer(t *testing.T) {
	tests := map[string]struct {
		seq  int64
		done bool
	}{
		"the later try":   {seq: 3, done: true},
		"the earlier try": {seq: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, f := newRecorder(t)
			is.NoErr(r.write(batch{}))
			f.SetSlow(storeTimeout)
			is.True(r.write(batch{}) != nil)
			r.term.seen <- sight{seq: tt.seq, version: 77}
			err := r.write(batch{})
			is.Equal(err == nil, tt.done)
			if tt.done {
				is.Equal(r.version, int64(77))
			}
		})
	}
}

// A slow store isn't asked more and more: patience grows with each vain wait, and
// is then what its answers take.
func TestPatienceWithSlowStore(t *testing.T) {
	is := is.New(t)
	r, f := newRecorder(t)
	is.NoErr(r.write(batch{}))
	f.SetSlow(storeTimeout * 3 / 10)
	tries := 0
	for r.write(batch{}) != nil {
		tries++
		is.True(tries < 5)
	}
	is.NoErr(r.write(batch{})) // At the first try.
}

// Another host's row ends the term.
func TestAnotherOwnerEndsTheTerm(t *testing.T) {
	is := is.New(t)
	r, _ := newRecorder(t)
	other := New(Parts{Host: "h2", Process: "p2", Store: r.term.owner.store})
	_, _, err := other.claim(r.row, r.version)
	is.NoErr(err)
	var lost *LostError
	is.True(errors.As(r.write(batch{}), &lost))
	is.Equal(lost.Host, "h2")
}
