package timer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

func TestAdvance(t *testing.T) {
	start := time.Unix(0, 0)
	tests := map[string]struct {
		step time.Duration
		want int
	}{
		"before the first period": {step: 9 * time.Second, want: 0},
		"at the first period":     {step: 10 * time.Second, want: 1},
		"three periods at once":   {step: 35 * time.Second, want: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(WithManual(start))
			calls := 0
			s.Every(10*time.Second, func() { calls++ })
			s.Advance(tt.step)
			is.Equal(calls, tt.want)
			is.Equal(s.Now(), start.Add(tt.step))
			is.Equal(s.Boot(), tt.step)
		})
	}
}

func TestStop(t *testing.T) {
	is := is.New(t)
	s := New(WithManual(time.Unix(0, 0)))
	calls := 0
	first := s.After(time.Second, func() { calls++ })
	second := s.After(2*time.Second, func() { calls++ })
	is.True(first.Stop())
	is.True(!first.Stop())
	s.Advance(3 * time.Second)
	is.Equal(calls, 1)
	is.True(!second.Stop())
}

func TestCallbackMaySubscribe(t *testing.T) {
	is := is.New(t)
	s := New(WithManual(time.Unix(0, 0)))
	var at time.Duration
	s.After(time.Second, func() {
		s.After(time.Second, func() { at = s.Boot() })
	})
	s.Advance(5 * time.Second)
	is.Equal(at, 2*time.Second)
}

func TestRun(t *testing.T) {
	is := is.New(t)
	s := New()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.Run(ctx) })
	is.NoErr(s.Sleep(ctx, time.Millisecond))
	cancel()
	is.NoErr(g.Wait())
	is.Equal(s.Sleep(ctx, time.Hour), context.Canceled)
	is.Equal(s.Pending(), 0)
}
