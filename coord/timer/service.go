package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// idleWait is how long Run sleeps when nothing is subscribed.
const idleWait = time.Minute

// Service calls subscribers back when their time has come. Those that can wait a
// little longer, in Every and Sleep, are called together, because each time that
// an idle process wakes costs it more than the callback does. The callbacks run
// one after another on the goroutine that calls Run or Advance, so they have
// to be short and must not block. All methods may be called concurrently.
type Service struct {
	manual bool
	began  time.Time // from which shared moments are counted
	wake   chan struct{}

	mu      sync.Mutex // guards the fields below
	now     time.Time  // manual time only
	elapsed time.Duration
	seq     uint64
	queue   entries
}

// New returns a Service on the machine's clock, to be driven by Run.
func New(opts ...Option) *Service {
	s := &Service{began: time.Now(), wake: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Now returns the current time. On the machine's clock it carries Go's
// monotonic reading.
func (s *Service) Now() time.Time {
	if !s.manual {
		return time.Now()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// Boot returns the time since the machine started, with the time that it was
// suspended included. Terms and leases are counted on it, because a process
// that slept through its term must notice that.
func (s *Service) Boot() time.Duration {
	if s.manual {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.elapsed
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// After calls f once, d from now.
func (s *Service) After(d time.Duration, f func()) *Timer {
	return s.subscribe(d, 0, 0, f)
}

// Every calls f each time that period has passed, first one period from now or
// up to the grain of period later.
func (s *Service) Every(period time.Duration, f func()) *Timer {
	return s.subscribe(period, period, grain(period), f)
}

// Sleep returns nil after d or up to the grain of a part of d later, or the
// context's error if that ends first.
func (s *Service) Sleep(ctx context.Context, d time.Duration) error {
	done := make(chan struct{})
	t := s.subscribe(d, 0, grain(d/sleepParts), func() { close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		t.Stop()
		return context.Cause(ctx)
	}
}

// Run drives the service until ctx ends. It always returns nil, so that it
// can be a member of a group.
func (s *Service) Run(ctx context.Context) error {
	alarm := time.NewTimer(idleWait)
	defer alarm.Stop()
	for {
		alarm.Reset(s.runDue())
		select {
		case <-ctx.Done():
			return nil
		case <-alarm.C:
		case <-s.wake:
		}
	}
}

// Advance moves manual time forward by d and runs all that falls due, each
// callback at its own moment and in order.
func (s *Service) Advance(d time.Duration) {
	s.mu.Lock()
	end := s.now.Add(d)
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if len(s.queue) == 0 || s.queue[0].due.After(end) {
			s.elapsed += end.Sub(s.now)
			s.now = end
			s.mu.Unlock()
			return
		}
		if due := s.queue[0].due; due.After(s.now) {
			s.elapsed += due.Sub(s.now)
			s.now = due
		}
		f := s.popLocked(s.now)
		s.mu.Unlock()
		f()
	}
}

// Pending returns how many subscriptions wait.
func (s *Service) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

func (s *Service) subscribe(d, period, grain time.Duration, f func()) *Timer {
	t := &Timer{service: s, period: period, grain: grain, call: f}
	s.mu.Lock()
	base := s.now
	if !s.manual {
		base = time.Now()
	}
	s.seq++
	t.due, t.seq = s.shared(base.Add(d), grain), s.seq
	heap.Push(&s.queue, t)
	first := s.queue[0] == t
	s.mu.Unlock()
	if first {
		s.signal()
	}
	return t
}

// shared returns the first moment from due on that all timers of that grain
// share. Manual time has none, so that tests know each moment.
func (s *Service) shared(due time.Time, grain time.Duration) time.Time {
	if s.manual || grain == 0 {
		return due
	}
	return due.Add(late(due.Sub(s.began), grain))
}

func (s *Service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runDue runs all that is due and returns the wait until the next one.
func (s *Service) runDue() time.Duration {
	for {
		s.mu.Lock()
		if len(s.queue) == 0 {
			s.mu.Unlock()
			return idleWait
		}
		now := time.Now()
		if wait := s.queue[0].due.Sub(now); wait > 0 {
			s.mu.Unlock()
			return wait
		}
		f := s.popLocked(now)
		s.mu.Unlock()
		f()
	}
}

// popLocked takes the first timer and subscribes it again if it repeats. A
// repeating timer that fell behind skips the periods that it missed.
func (s *Service) popLocked(now time.Time) func() {
	t := s.queue[0]
	if t.period <= 0 {
		heap.Pop(&s.queue)
		return t.call
	}
	t.due = t.due.Add(t.period)
	if !t.due.After(now) {
		t.due = s.shared(now.Add(t.period), t.grain)
	}
	heap.Fix(&s.queue, 0)
	return t.call
}
