package relay

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// hungCallTimeout is how long a call to a store that hangs waits for an answer.
const hungCallTimeout = 1500 * time.Millisecond

// fakeStore is a Store whose calls return err, after hang is closed or hungCallTimeout is
// over. It counts its calls.
type fakeStore struct {
	mu    sync.Mutex // guards the fields below
	err   error
	hang  chan struct{} // calls block until it is closed, unless nil
	quiet bool          // Watch returns no rows
	calls int
}

func (s *fakeStore) set(err error, hang chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.hang = err, hang
}

func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) call() error {
	s.mu.Lock()
	s.calls++
	err, hang := s.err, s.hang
	s.mu.Unlock()
	if hang == nil {
		return err
	}
	select {
	case <-hang:
		return err
	case <-time.After(hungCallTimeout):
		return &platform.LostError{}
	}
}

func (s *fakeStore) Write(*platform.Write) (int64, error) { return 7, s.call() }

func (s *fakeStore) Read(_, _, _, _ string) ([]platform.Row, int64, error) {
	return []platform.Row{{Key: "k"}}, 7, s.call()
}

func (s *fakeStore) Watch(string, int64, time.Duration) ([]platform.Row, int64, error) {
	s.mu.Lock()
	quiet := s.quiet
	s.mu.Unlock()
	if quiet {
		return nil, 8, s.call()
	}
	return []platform.Row{{Key: "k"}}, 8, s.call()
}

// hostList implements Hosts.
type hostList []board.Host

func (l *hostList) Hosts() []board.Host { return append(hostList(nil), *l...) }

// startPair starts two hosts. It returns the first one's client, the store that this
// client calls directly, and the store of the other host.
func startPair(t *testing.T) (*Client, *fakeStore, *fakeStore) {
	t.Helper()
	c, direct, others := startHosts(t, 1)
	return c, direct, others[0]
}

// startHosts starts a host and n others in its availability zone. It returns the first
// one's client, the store that this client calls directly, and the stores of the others in
// the order in which the first host finds them.
func startHosts(t *testing.T, n int) (*Client, *fakeStore, []*fakeStore) {
	t.Helper()
	return startHostsUntil(context.Background(), t, n)
}

// startHostsUntil starts hosts as startHosts does. They stop when ctx ends.
func startHostsUntil(ctx context.Context, t *testing.T, n int) (*Client, *fakeStore, []*fakeStore) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	t.Cleanup(func() {
		cancel()
		_ = g.Wait() // It never fails.
	})
	clock := timer.New()
	g.Go(func() error { return clock.Run(ctx) })
	hosts := &hostList{}
	start := func(name string) (*Relay, *fakeStore) {
		private, err := link.NewPrivate()
		is.NoErr(err)
		node, s := link.New(name, private), &fakeStore{}
		r := New(name, "z", node, clock, hosts, s, zap.NewNop(), metrics.NewRegistry())
		is.NoErr(node.Listen("127.0.0.1:0"))
		g.Go(func() error { return node.Run(ctx) })
		g.Go(func() error { return r.Run(ctx) })
		*hosts = append(*hosts, board.Host{Name: name, Zone: "z", Link: node.Address()})
		return r, s
	}
	var others []*fakeStore
	for i := range n {
		_, s := start(string(rune('b' + i)))
		others = append(others, s)
	}
	r, direct := start("a")
	return r.Client(direct), direct, others
}

// failures returns the errors of a store that a host can't use directly.
func failures() map[string]error {
	return map[string]error{
		"unavailable": &platform.RefusedError{Status: 503},
		"overloaded":  &platform.RefusedError{Status: 429},
		"dial failed": &platform.DialError{},
		"lost answer": &platform.LostError{},
	}
}

// While direct access to the store fails, calls go through another host, and after the
// first one without trying direct access before. Once a probe succeeds, calls are made
// directly again.
func TestCallsGoThroughAnotherHost(t *testing.T) {
	for name, failure := range failures() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, direct, other := startPair(t)
			direct.set(failure, nil)
			version, err := c.Write(&platform.Write{})
			is.NoErr(err)
			is.Equal(version, int64(7))
			rows, _, err := c.Read("t", "", "", "")
			is.NoErr(err)
			is.Equal(len(rows), 1)
			_, version, err = c.Watch("t", 3, 0)
			is.NoErr(err)
			is.Equal(version, int64(8))
			is.Equal(direct.count(), 1) // No direct call after the first.
			direct.set(nil, nil)
			for end := time.Now().Add(10 * time.Second); c.relay.bypassing() && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			before := other.count()
			_, err = c.Write(&platform.Write{})
			is.NoErr(err)
			is.Equal(other.count(), before)
		})
	}
}

// A call to a store that hangs is hedged through another host.
func TestHungStore(t *testing.T) {
	is := is.New(t)
	c, direct, _ := startPair(t)
	hang := make(chan struct{})
	defer close(hang)
	direct.set(nil, hang)
	version, err := c.Write(&platform.Write{})
	is.NoErr(err)
	is.Equal(version, int64(7))
}

// When a call fails on all hosts, it is reported as refused only if all of them were
// refused; otherwise its outcome is unknown.
func TestOutcomeWhenAllHostsFail(t *testing.T) {
	refused, lost := &platform.RefusedError{Status: 503}, &platform.LostError{}
	tests := map[string]struct {
		direct, other error
		unknown       bool
	}{
		"both refuse":           {direct: refused, other: refused},
		"direct answer lost":    {direct: lost, other: refused, unknown: true},
		"forwarded answer lost": {direct: refused, other: lost, unknown: true},
		"both lost":             {direct: lost, other: lost, unknown: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, direct, other := startPair(t)
			direct.set(tt.direct, nil)
			other.set(tt.other, nil)
			_, err := c.Write(&platform.Write{})
			var unknown *platform.LostError
			is.True(err != nil)
			is.Equal(errors.As(err, &unknown), tt.unknown)
		})
	}
}

// Conflicts and lost history are final: they are returned as they are, from direct and
// from forwarded calls, and the call isn't repeated.
func TestDecidedCallsAreNotRepeated(t *testing.T) {
	tests := map[string]error{"conflict": &platform.ConflictError{}, "history": &platform.HistoryError{Table: "t"}}
	for name, storeErr := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, direct, other := startPair(t)
			direct.set(storeErr, nil)
			_, _, err := c.Watch("t", 1, 0)
			is.Equal(err, storeErr)
			is.Equal(other.count(), 0)
			direct.set(&platform.RefusedError{Status: 503}, nil)
			other.set(storeErr, nil)
			_, _, err = c.Watch("t", 1, 0)
			is.Equal(err.Error(), storeErr.Error())
		})
	}
}

// While the store is unavailable for all hosts, not every failed call is forwarded, so
// that forwarding doesn't multiply the load.
func TestOutageDoesNotMultiplyCalls(t *testing.T) {
	is := is.New(t)
	c, direct, other := startPair(t)
	direct.set(&platform.RefusedError{Status: 503}, nil)
	other.set(&platform.RefusedError{Status: 503}, nil)
	for range 20 {
		_, err := c.Write(&platform.Write{})
		is.True(err != nil)
	}
	is.Equal(direct.count(), 20)
	is.True(other.count() < 10)
}

// applyTime is the time within which a confirmed configuration has to be in force.
const applyTime = 2 * time.Second

// pollWait is how long followers let the store hold a long poll.
const pollWait = time.Second

// hangStores makes the calls of stores hang until the test ends, as those of hosts that
// are cut off do.
func hangStores(t *testing.T, stores ...*fakeStore) {
	t.Helper()
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	for _, s := range stores {
		s.set(nil, hang)
	}
}

// A host whose direct access works again gets a change in time, although the hosts that
// its long poll was forwarded to no longer answer.
func TestChangeIsLateBehindHungHosts(t *testing.T) {
	is := is.New(t)
	c, direct, others := startHosts(t, 2)
	direct.set(&platform.RefusedError{Status: 503}, nil)
	_, _, err := c.Read("t", "", "", "")
	is.NoErr(err)
	is.True(c.relay.bypassing())
	time.Sleep(minProbeInterval)
	hangStores(t, others...)
	direct.set(nil, nil)
	began := time.Now()
	rows, _, err := c.Watch("t", 1, pollWait)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.True(time.Since(began) < applyTime)
}

// A host without direct access gets a change in time through the one host that answers.
func TestChangeIsLateWithOneHostLeft(t *testing.T) {
	is := is.New(t)
	c, direct, others := startHosts(t, 4)
	hangStores(t, append(others[:3:3], direct)...)
	began := time.Now()
	var rows []platform.Row
	for len(rows) == 0 && time.Since(began) < applyTime {
		rows, _, _ = c.Watch("t", 1, 0) // It fails until it gets to the right host.
	}
	is.Equal(len(rows), 1)
	is.True(time.Since(began) < applyTime)
}

// followGap is the time that a follower of the configuration lets pass between two polls.
const followGap = 200 * time.Millisecond

// A host that loses direct access while a long poll is under way, and finds three hung
// hosts first, gets a change in time that was made just after its poll before.
func TestChangeIsLateWhenDirectAccessIsLost(t *testing.T) {
	is := is.New(t)
	c, direct, others := startHosts(t, 4)
	hangStores(t, append(others[:3:3], direct)...)
	began := time.Now()
	rows, _, err := c.Watch("t", 1, pollWait)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.True(time.Since(began) < applyTime-followGap)
}

// A host without direct access that finds hung hosts first gets to the one that answers.
func TestHungHostsAreTriedFirstAgain(t *testing.T) {
	is := is.New(t)
	c, direct, others := startHosts(t, 7)
	hangStores(t, append(others[:6:6], direct)...)
	var rows []platform.Row
	var err error
	for range 3 { // Each call fails or excludes some hosts.
		rows, _, err = c.Watch("t", 1, 0)
	}
	is.NoErr(err)
	is.Equal(len(rows), 1)
	c.relay.mu.Lock()
	via := c.relay.viaHost
	c.relay.mu.Unlock()
	is.Equal(c.relay.forwardHosts(1)[0].Name, via)
}

// The pause after no other host reached the store ends, although calls come during it.
func TestForwardPauseNeverEnds(t *testing.T) {
	is := is.New(t)
	c, direct, other := startPair(t)
	direct.set(&platform.RefusedError{Status: 503}, nil)
	other.set(&platform.RefusedError{Status: 503}, nil)
	_, _, err := c.Read("t", "", "", "")
	is.True(err != nil)
	other.set(nil, nil)
	for end := time.Now().Add(2 * forwardPause); err != nil && time.Now().Before(end); time.Sleep(forwardPause / 10) {
		_, _, err = c.Read("t", "", "", "")
	}
	is.NoErr(err)
}

// A forwarded call that ends after direct access was restored is no evidence that it fails
// again.
func TestRestoredAccessIsTakenForFailed(t *testing.T) {
	is := is.New(t)
	c, direct, other := startPair(t)
	direct.set(&platform.RefusedError{Status: 503}, nil)
	_, _, err := c.Read("t", "", "", "")
	is.NoErr(err)
	time.Sleep(minProbeInterval - 100*time.Millisecond)
	hang := make(chan struct{})
	other.set(nil, hang)
	direct.set(nil, nil)
	var g errgroup.Group
	g.Go(func() error {
		_, err := c.Write(&platform.Write{})
		return err
	})
	for end := time.Now().Add(10 * time.Second); c.relay.bypassing() && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	close(hang)
	is.NoErr(g.Wait())
	is.True(!c.relay.bypassing())
}

// A forwarded long poll ends when the host stops, although its clock stops as well.
func TestStopHangsInForwardedPoll(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	c, direct, others := startHostsUntil(ctx, t, 1)
	direct.set(&platform.RefusedError{Status: 503}, nil)
	others[0].quiet = true
	_, _, err := c.Read("t", "", "", "")
	is.NoErr(err)
	polled, ended := others[0].count(), make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		defer close(ended)
		_, _, err := c.Watch("t", 8, pollWait)
		return err
	})
	for others[0].count() == polled {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(forwardedPollInterval / 5) // The poll is answered, and the next one waits.
	cancel()
	select {
	case <-ended:
	case <-time.After(2 * pollWait):
		t.Fatal("the poll hasn't ended")
	}
}
