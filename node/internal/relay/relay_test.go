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

// fakeStore is a Store whose calls return err, after hang is closed. It counts its calls.
type fakeStore struct {
	mu    sync.Mutex // guards the fields below
	err   error
	hang  chan struct{} // calls block until it is closed, unless nil
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
	if hang != nil {
		<-hang
	}
	return err
}

func (s *fakeStore) Write(*platform.Write) (int64, error) { return 7, s.call() }

func (s *fakeStore) Read(_, _, _, _ string) ([]platform.Row, int64, error) {
	return []platform.Row{{Key: "k"}}, 7, s.call()
}

func (s *fakeStore) Watch(string, int64, time.Duration) ([]platform.Row, int64, error) {
	return []platform.Row{{Key: "k"}}, 8, s.call()
}

// hostList implements Hosts.
type hostList []board.Host

func (l *hostList) Hosts() []board.Host { return append(hostList(nil), *l...) }

// startPair starts two hosts. It returns the first one's client, the store that this
// client calls directly, and the store of the other host.
func startPair(t *testing.T) (*Client, *fakeStore, *fakeStore) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	t.Cleanup(func() {
		cancel()
		_ = g.Wait() // It never fails.
	})
	clock := timer.New()
	g.Go(func() error { return clock.Run(ctx) })
	direct, other := &fakeStore{}, &fakeStore{}
	hosts := &hostList{}
	var relays []*Relay
	for name, s := range map[string]*fakeStore{"a": direct, "b": other} {
		private, err := link.NewPrivate()
		is.NoErr(err)
		node := link.New(name, private)
		r := New(name, "z", node, clock, hosts, s, zap.NewNop(), metrics.NewRegistry())
		is.NoErr(node.Listen("127.0.0.1:0"))
		g.Go(func() error { return node.Run(ctx) })
		g.Go(func() error { return r.Run(ctx) })
		*hosts = append(*hosts, board.Host{Name: name, Zone: "z", Link: node.Address()})
		if name == "a" {
			relays = append(relays, r)
		}
	}
	return relays[0].Client(direct), direct, other
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
