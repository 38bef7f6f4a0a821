package advice

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// hostList implements Hosts.
type hostList []board.Host

func (l *hostList) Hosts() []board.Host { return *l }

// fakeAdviser answers err, or an empty advice, once hang is closed unless it is nil.
type fakeAdviser struct {
	mu    sync.Mutex // guards the fields below
	err   error
	hang  chan struct{}
	calls int
}

func (a *fakeAdviser) Ask(model.StepID, []string, time.Duration) (*platform.Advice, error) {
	a.mu.Lock()
	a.calls++
	err, hang := a.err, a.hang
	a.mu.Unlock()
	if hang != nil {
		<-hang
	}
	return &platform.Advice{}, err
}

func (a *fakeAdviser) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

func (a *fakeAdviser) set(err error, hang chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err, a.hang = err, hang
}

// startHosts starts hosts and returns their balancers and advisers, and functions that end each host's
// link.
func startHosts(t *testing.T, names ...string) ([]*Balancer, []*fakeAdviser, []context.CancelFunc) {
	t.Helper()
	is := is.New(t)
	var g errgroup.Group
	var balancers []*Balancer
	var advisers []*fakeAdviser
	var stops []context.CancelFunc
	clock, hosts := timer.New(), &hostList{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = g.Wait() // It never fails.
	})
	g.Go(func() error { return clock.Run(ctx) })
	for _, name := range names {
		private, err := link.NewPrivate()
		is.NoErr(err)
		node, a := link.New(name, private), &fakeAdviser{}
		balancers, advisers = append(balancers, New(name, node, a, clock, hosts)), append(advisers, a)
		is.NoErr(node.Listen("127.0.0.1:0"))
		nodeCtx, stop := context.WithCancel(ctx)
		stops = append(stops, stop)
		g.Go(func() error { return node.Run(nodeCtx) })
		*hosts = append(*hosts, board.Host{Name: name, Link: node.Address()})
	}
	return balancers, advisers, stops
}

// A call that failed left its booking, or replaced that of other calls, so that hosts stayed idle or got
// calls that had to wait.
func TestQueueFollowsCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	q := &queue{}
	first, due := q.book(now, time.Second)
	is.Equal(due, now.Add(time.Second))
	second, due := q.book(now, time.Second)
	is.Equal(due, now.Add(2*time.Second))
	q.book(now, time.Second)
	q.done(now, second) // It failed.
	is.Equal(q.freeAt(now), now.Add(2*time.Second))
	now = now.Add(1500 * time.Millisecond)
	is.Equal(q.freeAt(now), now.Add(time.Second)) // The first one is overdue.
	q.done(now, first)
	q.done(now, first)
	is.Equal(q.freeAt(now), now.Add(time.Second))
	q.occupy(now.Add(5 * time.Second))
	is.Equal(q.freeAt(now), now.Add(5*time.Second))
}

// A host whose call has failed got the next calls all the same, since it was free first.
func TestFailedHostIsAvoided(t *testing.T) {
	tests := map[string]struct {
		err   error
		calls int // of the host that failed, out of four requests
		last  int // of that host while no other host is there
	}{
		"too many calls wait":     {err: &platform.RefusedError{Status: http.StatusTooManyRequests}, calls: 1},
		"adviser fails":           {err: &platform.RefusedError{Status: http.StatusServiceUnavailable}, calls: 1, last: 1},
		"answer is lost":          {err: &platform.LostError{}, calls: 1, last: 1},
		"request itself is wrong": {err: &platform.RefusedError{Status: http.StatusBadRequest}, calls: 4, last: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, a, _ := startHosts(t, "a", "b")
			a[0].set(tt.err, nil)
			for range 4 {
				_, _ = b[0].Ask(model.StepID{Job: "j"}, []string{"e"}, time.Second)
			}
			is.Equal(a[0].count(), tt.calls)
			is.Equal(a[1].count(), 4-tt.calls)
			b[0].hosts = &hostList{}
			before := a[0].count()
			_, _ = b[0].Ask(model.StepID{Job: "j"}, []string{"e"}, time.Second)
			is.Equal(a[0].count()-before, tt.last)
		})
	}
}

// After a change of owner, the new one sent requests to hosts that were occupied by calls for the
// earlier one, and waited behind these.
func TestCallsOfEarlierOwnerOccupyHost(t *testing.T) {
	is := is.New(t)
	b, a, _ := startHosts(t, "a", "b", "c")
	hang := make(chan struct{})
	a[2].set(nil, hang)
	var g errgroup.Group
	b[0].mu.Lock()
	b[0].own.occupy(time.Now().Add(time.Hour))
	b[0].queues["b"] = &queue{until: time.Now().Add(time.Hour)}
	b[0].mu.Unlock()
	g.Go(func() error { // The earlier owner's request goes to "c".
		_, err := b[0].Ask(model.StepID{Job: "j"}, []string{"e"}, 30*time.Second)
		return err
	})
	for a[2].count() == 0 {
		time.Sleep(time.Millisecond)
	}
	b[1].mu.Lock()
	b[1].own.occupy(time.Now().Add(500 * time.Millisecond))
	b[1].mu.Unlock()
	_, err := b[1].Ask(model.StepID{Job: "k"}, []string{"e"}, 100*time.Millisecond)
	is.NoErr(err)
	is.Equal(a[2].count(), 1) // It refused.
	is.Equal(a[0].count()+a[1].count(), 1)
	close(hang)
	is.NoErr(g.Wait())
}

// The link to a host is cut, or the host is killed, while a request is on its way. The request must
// fail and the host get no other one for a while.
func TestLinkIsCutDuringRequest(t *testing.T) {
	is := is.New(t)
	b, a, stops := startHosts(t, "a", "b")
	hang := make(chan struct{})
	defer close(hang)
	a[1].set(nil, hang)
	b[0].mu.Lock()
	b[0].own.occupy(time.Now().Add(10 * time.Second))
	b[0].mu.Unlock()
	var g errgroup.Group
	g.Go(func() error {
		_, err := b[0].Ask(model.StepID{Job: "j"}, []string{"e"}, 100*time.Millisecond)
		return err
	})
	for a[1].count() == 0 {
		time.Sleep(time.Millisecond)
	}
	stops[1]()
	is.True(g.Wait() != nil)
	b[0].mu.Lock()
	defer b[0].mu.Unlock()
	is.Equal(len(b[0].queues["b"].calls), 0)
	is.True(b[0].queues["b"].failed.After(time.Now()))
}
