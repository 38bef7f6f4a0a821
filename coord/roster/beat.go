package roster

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
)

// Caller sends one message to a process and receives its answer; a
// *link.Node is one.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Pacer waits; a *timer.Service is one.
type Pacer interface {
	Sleep(ctx context.Context, d time.Duration) error
}

// parallelBeats bounds how many heartbeats of Beat are under way at a time.
const parallelBeats = 16

// Beat sends a heartbeat to each peer and takes each answer as theirs. It
// returns when all have been answered or timeout has passed for them.
func (r *Roster) Beat(ctx context.Context, caller Caller, timeout time.Duration) {
	var g errgroup.Group
	g.SetLimit(parallelBeats)
	for _, m := range r.Peers() {
		c := call{to: m, message: message{Self: r.Self()}}
		g.Go(func() error { r.exchange(ctx, caller, timeout, c); return nil })
	}
	_ = g.Wait()
}

// Run sends heartbeats every period, or earlier while there is news, until
// ctx ends. It always returns nil.
func (r *Roster) Run(ctx context.Context, caller Caller, pacer Pacer, period time.Duration) error {
	var g errgroup.Group
	defer func() { _ = g.Wait() }()
	for {
		r.round(ctx, caller, period, func(f func()) { g.Go(func() error { f(); return nil }) })
		if !r.rest(ctx, pacer, period) {
			return nil
		}
	}
}

// round begins the heartbeats of one round; start runs each of them.
func (r *Roster) round(ctx context.Context, caller Caller, period time.Duration, start func(func())) {
	for _, c := range r.plan(period) {
		start(func() {
			r.exchange(ctx, caller, period, c)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.known[c.to.Name].busy = false
		})
	}
}

// rest waits until the next round is due and reports whether there is one.
func (r *Roster) rest(ctx context.Context, pacer Pacer, period time.Duration) bool {
	nap, wake := context.WithCancel(ctx)
	defer wake()
	if r.nap(wake) {
		err := pacer.Sleep(nap, period)
		r.nap(nil)
		if err == nil || ctx.Err() != nil {
			return ctx.Err() == nil
		}
	}
	return pacer.Sleep(ctx, period/quickParts) == nil
}

// nap sets what news ends the wait with, and reports whether to wait.
func (r *Roster) nap(wake context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake = wake
	return !r.urgentLocked(r.clock.Boot())
}

// exchange sends one heartbeat and takes the answer.
func (r *Roster) exchange(ctx context.Context, caller Caller, timeout time.Duration, c call) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var in answer
	if err := caller.Call(ctx, c.to.Link, wire.VerbBeat, &c.message, &in); err != nil {
		return
	}
	if !r.answered(c, &in) {
		return
	}
	whole := message{Self: r.Self(), News: r.list()}
	_ = caller.Call(ctx, c.to.Link, wire.VerbBeat, &whole, &in)
}

// answered takes the answer to a heartbeat and reports whether the other
// member needs the whole list.
func (r *Roster) answered(c call, in *answer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heardLocked(in.Self)
	for _, w := range in.News {
		r.takeLocked(w)
	}
	now := r.clock.Boot()
	for _, name := range c.Asked {
		e := r.known[name]
		e.helped = now
		if ago, ok := in.Heard[name]; ok && ago < r.suspect() {
			e.watch = max(e.watch, now-ago)
		}
	}
	return in.Whole
}

func (r *Roster) list() []word {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listLocked(r.clock.Boot())
}

// Handle serves wire.VerbBeat: it takes the heartbeat and answers with one.
func (r *Roster) Handle(_ context.Context, s *link.Stream) error {
	var m message
	if err := s.Recv(&m); err != nil {
		return err
	}
	return s.Send(r.serve(&m))
}

// serve takes a heartbeat and returns the answer.
func (r *Roster) serve(m *message) *answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Boot()
	taken := r.heardLocked(m.Self)
	for _, w := range m.News {
		r.takeLocked(w)
	}
	out := &answer{Self: r.self, Heard: make(map[string]time.Duration)}
	for _, name := range m.Asked {
		if e := r.known[name]; e != nil && e.alive && e.direct {
			out.Heard[name] = now - e.heard
		}
	}
	if m.Digest != 0 && m.Digest != r.digestLocked() {
		out.News, out.Whole = r.listLocked(now), true
		return out
	}
	out.News = r.newsLocked(now)
	if e := r.known[m.Self.Name]; !taken && e != nil {
		out.News = append(out.News, e.word(now)) // It has to refute its death.
	}
	return out
}
