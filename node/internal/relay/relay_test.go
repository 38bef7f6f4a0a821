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

// stub is a store that fails as it is told. It counts its calls.
type stub struct {
	mu    sync.Mutex // guards the fields below
	err   error
	hang  chan struct{} // calls wait until it is closed; nil for none
	calls int
}

func (s *stub) set(err error, hang chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.hang = err, hang
}

func (s *stub) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *stub) call() error {
	s.mu.Lock()
	s.calls++
	err, hang := s.err, s.hang
	s.mu.Unlock()
	if hang != nil {
		<-hang
	}
	return err
}

func (s *stub) Write(*platform.Write) (int64, error) { return 7, s.call() }

func (s *stub) Read(_, _, _, _ string) ([]platform.Row, int64, error) {
	return []platform.Row{{Key: "k"}}, 7, s.call()
}

func (s *stub) Watch(string, int64, time.Duration) ([]platform.Row, int64, error) {
	return []platform.Row{{Key: "k"}}, 8, s.call()
}

// list is the hosts that there are.
type list []board.Host

func (l *list) Hosts() []board.Host { return append(list(nil), *l...) }

// pair starts two hosts and returns the first one's relay and client, and both
// ways to the store.
func pair(t *testing.T) (*Client, *stub, *stub) {
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
	own, other := &stub{}, &stub{}
	hosts := &list{}
	var relays []*Relay
	for name, s := range map[string]*stub{"a": own, "b": other} {
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
	return relays[0].Client(own), own, other
}

// Failures by which a host's own way to the store shows that it fails.
func failures() map[string]error {
	return map[string]error{
		"turned away": &platform.RefusedError{Status: 503},
		"too many":    &platform.RefusedError{Status: 429},
		"no dial":     &platform.DialError{},
		"reset":       &platform.LostError{},
	}
}

// While a host's own way to the store fails, its calls are made through another
// host, at once after the first; when it works again, by itself.
func TestCallsGoThroughAnotherHost(t *testing.T) {
	for name, failure := range failures() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, own, other := pair(t)
			own.set(failure, nil)
			version, err := c.Write(&platform.Write{})
			is.NoErr(err)
			is.Equal(version, int64(7))
			rows, _, err := c.Read("t", "", "", "")
			is.NoErr(err)
			is.Equal(len(rows), 1)
			_, version, err = c.Watch("t", 3, 0)
			is.NoErr(err)
			is.Equal(version, int64(8))
			is.Equal(own.count(), 1) // Its own way wasn't tried again.
			own.set(nil, nil)
			for end := time.Now().Add(10 * time.Second); c.relay.astray() && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			before := other.count()
			_, err = c.Write(&platform.Write{})
			is.NoErr(err)
			is.Equal(other.count(), before)
		})
	}
}

// A store that says nothing is noticed although the call doesn't end.
func TestSilentStore(t *testing.T) {
	is := is.New(t)
	c, own, _ := pair(t)
	hang := make(chan struct{})
	defer close(hang)
	own.set(nil, hang)
	version, err := c.Write(&platform.Write{})
	is.NoErr(err)
	is.Equal(version, int64(7))
}

// A call that nobody could make tells whether it may have been carried out: only a
// refusal by all says that nothing was done.
func TestOutcomeWithoutAnyWay(t *testing.T) {
	refused, lost := &platform.RefusedError{Status: 503}, &platform.LostError{}
	tests := map[string]struct {
		own, other error
		unknown    bool
	}{
		"both refuse":        {own: refused, other: refused},
		"own answer lost":    {own: lost, other: refused, unknown: true},
		"others answer lost": {own: refused, other: lost, unknown: true},
		"both lost":          {own: lost, other: lost, unknown: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, own, other := pair(t)
			own.set(tt.own, nil)
			other.set(tt.other, nil)
			_, err := c.Write(&platform.Write{})
			var unknown *platform.LostError
			is.True(err != nil)
			is.Equal(errors.As(err, &unknown), tt.unknown)
		})
	}
}

// What the store itself has settled is told as it is, by either way.
func TestSettledCallsAreNotRepeated(t *testing.T) {
	tests := map[string]error{"conflict": &platform.ConflictError{}, "history": &platform.HistoryError{Table: "t"}}
	for name, settled := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, own, other := pair(t)
			own.set(settled, nil)
			_, _, err := c.Watch("t", 1, 0)
			is.Equal(err, settled)
			is.Equal(other.count(), 0)
			own.set(&platform.RefusedError{Status: 503}, nil)
			other.set(settled, nil)
			_, _, err = c.Watch("t", 1, 0)
			is.Equal(err.Error(), settled.Error())
		})
	}
}

// While the store is away for all, calls don't multiply.
func TestOutageIsNotMultiplied(t *testing.T) {
	is := is.New(t)
	c, own, other := pair(t)
	own.set(&platform.RefusedError{Status: 503}, nil)
	other.set(&platform.RefusedError{Status: 503}, nil)
	for range 20 {
		_, err := c.Write(&platform.Write{})
		is.True(err != nil)
	}
	is.Equal(own.count(), 20)
	is.True(other.count() < 10)
}
