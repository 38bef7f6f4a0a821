package advice

import "time"

// queue holds what is known of a host's calls to the adviser, which handles them one at a time.
// The zero value is an idle host.
type queue struct {
	calls   []booking // without an answer, in the order in which they are handled
	last    int       // number of the last booking
	until   time.Time // earlier calls occupy the host until then
	failed  time.Time // a call has failed, and the host gets none before that while others are there
	busy    time.Time // the adviser has refused a call, and the host gets none before that
	started time.Time // when the first of calls began, if nothing else was in its way
}

// booking is a call that is expected to take a time.
type booking struct {
	number   int
	estimate time.Duration
}

// freeAt returns when the host is expected to have handled its calls. A call that is overdue is
// expected to end at any moment.
func (q *queue) freeAt(now time.Time) time.Time {
	at := now
	for i, c := range q.calls {
		if i == 0 {
			at = later(at, q.started.Add(c.estimate))
			continue
		}
		at = at.Add(c.estimate)
	}
	return later(at, q.until)
}

// book adds a call and returns its number and when it is expected to be done.
func (q *queue) book(now time.Time, estimate time.Duration) (int, time.Time) {
	at := q.freeAt(now)
	if len(q.calls) == 0 {
		q.started = at
	}
	q.last++
	q.calls = append(q.calls, booking{number: q.last, estimate: estimate})
	return q.last, at.Add(estimate)
}

// done removes a call that has been handled or that the adviser won't handle. If it was the first
// one, the next one begins now.
func (q *queue) done(now time.Time, number int) {
	for i, c := range q.calls {
		if c.number != number {
			continue
		}
		q.calls = append(q.calls[:i], q.calls[i+1:]...)
		if i == 0 {
			q.started = now
		}
		return
	}
}

// occupy notes that earlier calls occupy the host until a time.
func (q *queue) occupy(until time.Time) { q.until = later(q.until, until) }

// fail notes that a call has failed.
func (q *queue) fail(now time.Time, err error) {
	if d := backoff(err); d == busyBackoff {
		q.busy = later(q.busy, now.Add(d))
	} else {
		q.failed = later(q.failed, now.Add(d))
	}
}

// before reports whether a request should rather go to this host than to another one.
func (q *queue) before(o *queue, now time.Time) bool {
	if a, b := q.busy.After(now), o.busy.After(now); a != b {
		return b
	}
	if a, b := q.failed.After(now), o.failed.After(now); a != b {
		return b
	}
	return q.freeAt(now).Before(o.freeAt(now))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
