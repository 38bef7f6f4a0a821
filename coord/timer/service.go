package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// idleWait is how long Run sleeps if no timer is scheduled. A new timer wakes it.
const idleWait = time.Minute

// Service schedules callbacks. Timers of Every and Sleep may fire slightly late
// and are coalesced, because waking an idle process costs more than running a
// callback. Callbacks run one at a time on the goroutine that calls Run or
// Advance, so they must be short and must not block. All methods may be called
// concurrently.
type Service struct {
	manual bool
	origin time.Time     // multiples of the coalescing intervals count from here
	wake   chan struct{} // signals Run that the earliest timer has changed

	mu      sync.Mutex    // guards the fields below
	now     time.Time     // manual time
	elapsed time.Duration // manual time since the start
	seq     uint64        // of the latest timer
	timers  timerHeap
}

// New returns a Service that uses the machine's clock. Its timers fire only while
// Run is running.
func New(opts ...Option) *Service {
	s := &Service{origin: time.Now(), wake: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Now returns the current time. On the machine's clock it includes a monotonic
// clock reading.
func (s *Service) Now() time.Time {
	if !s.manual {
		return time.Now()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// Boot returns the time since the machine booted, including time suspended
// (CLOCK_BOOTTIME); with manual time, the time since the start. Leases and
// ownership terms are measured with it, because a process must notice that its
// lease expired while the machine was suspended.
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

// After calls f once after d. It isn't coalesced with other timers.
func (s *Service) After(d time.Duration, f func()) *Timer {
	return s.schedule(d, 0, 0, f)
}

// Every calls f once per period until the timer is stopped, for the first time
// after one period. All calls may be shifted by less than the smaller of period
// and 50 ms. Calls that are missed because callbacks take too long are skipped.
func (s *Service) Every(period time.Duration, f func()) *Timer {
	return s.schedule(period, period, coalescingInterval(period), f)
}

// Sleep returns nil after d, or the cause of ctx's end if that comes first. It may
// last longer by less than the smaller of d/16 and 50 ms.
func (s *Service) Sleep(ctx context.Context, d time.Duration) error {
	done := make(chan struct{})
	t := s.schedule(d, 0, coalescingInterval(d/sleepSlackDivisor), func() { close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		t.Stop()
		return context.Cause(ctx)
	}
}

// Run runs the callbacks of timers until ctx ends. It always returns nil, so that
// it can run in an errgroup.Group.
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

// Advance advances manual time by d. It runs the callbacks that become due in
// order; Now returns the due time during each. It must be used with WithManual
// only.
func (s *Service) Advance(d time.Duration) {
	s.mu.Lock()
	end := s.now.Add(d)
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if len(s.timers) == 0 || s.timers[0].due.After(end) {
			s.elapsed += end.Sub(s.now)
			s.now = end
			s.mu.Unlock()
			return
		}
		if due := s.timers[0].due; due.After(s.now) {
			s.elapsed += due.Sub(s.now)
			s.now = due
		}
		f := s.popLocked(s.now)
		s.mu.Unlock()
		f()
	}
}

// Pending returns the number of scheduled timers.
func (s *Service) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.timers)
}

// schedule adds a timer that fires after d, and then every period unless that is
// 0. interval is its coalescing interval, 0 for none.
func (s *Service) schedule(d, period, interval time.Duration, f func()) *Timer {
	t := &Timer{service: s, period: period, interval: interval, call: f}
	s.mu.Lock()
	base := s.now
	if !s.manual {
		base = time.Now()
	}
	s.seq++
	t.due, t.seq = s.nextTick(base.Add(d), interval), s.seq
	heap.Push(&s.timers, t)
	first := s.timers[0] == t
	s.mu.Unlock()
	if first {
		s.wakeRun()
	}
	return t
}

// nextTick returns the first multiple of interval that isn't before due. Manual
// time isn't coalesced, so that tests know exactly when a timer fires.
func (s *Service) nextTick(due time.Time, interval time.Duration) time.Time {
	if s.manual || interval == 0 {
		return due
	}
	return due.Add(untilTick(due.Sub(s.origin), interval))
}

// wakeRun signals Run that the earliest timer has changed.
func (s *Service) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runDue runs the callbacks that are due and returns the time until the next.
func (s *Service) runDue() time.Duration {
	for {
		s.mu.Lock()
		if len(s.timers) == 0 {
			s.mu.Unlock()
			return idleWait
		}
		now := time.Now()
		if wait := s.timers[0].due.Sub(now); wait > 0 {
			s.mu.Unlock()
			return wait
		}
		f := s.popLocked(now)
		s.mu.Unlock()
		f()
	}
}

// popLocked removes the earliest timer, or reschedules it if it is periodic, and
// returns its callback. A periodic timer that has fallen behind skips the missed
// periods.
func (s *Service) popLocked(now time.Time) func() {
	t := s.timers[0]
	if t.period <= 0 {
		heap.Pop(&s.timers)
		return t.call
	}
	t.due = t.due.Add(t.period)
	if !t.due.After(now) {
		t.due = s.nextTick(now.Add(t.period), t.interval)
	}
	heap.Fix(&s.timers, 0)
	return t.call
}
