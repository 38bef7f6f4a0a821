package roster

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
)

// Caller sends a message to the process at address and receives its answer into
// out. *link.Node implements it.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Pacer waits for d or until ctx ends, and then returns an error. *timer.Service
// implements it.
type Pacer interface {
	Sleep(ctx context.Context, d time.Duration) error
}

// parallelBeats is the maximum number of concurrent heartbeats of Beat.
const parallelBeats = 16

// Beat sends a heartbeat to each peer and merges the answers, which count as the
// peers' own heartbeats. It returns when each heartbeat has been answered, has
// failed or has timed out.
func (r *Roster) Beat(ctx context.Context, caller Caller, timeout time.Duration) {
	var g errgroup.Group
	g.SetLimit(parallelBeats)
	for _, m := range r.Peers() {
		c := call{to: m, heartbeat: heartbeat{Self: r.Self()}}
		g.Go(func() error { r.exchange(ctx, caller, timeout, c); return nil })
	}
	_ = g.Wait()
}

// Run sends heartbeats every period, or earlier while there are updates to
// spread or a member is silent, until ctx ends. It always returns nil. period
// also bounds each call.
func (r *Roster) Run(ctx context.Context, caller Caller, pacer Pacer, period time.Duration) error {
	var g errgroup.Group
	defer func() { _ = g.Wait() }()
	for {
		r.round(ctx, caller, period, func(f func()) { g.Go(func() error { f(); return nil }) })
		if !r.waitRound(ctx, pacer, period) {
			return nil
		}
	}
}

// round starts one round of heartbeats. start runs each of them.
func (r *Roster) round(ctx context.Context, caller Caller, period time.Duration, start func(func())) {
	for _, c := range r.plan(period) {
		start(func() {
			r.exchange(ctx, caller, period, c)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.known[c.to.Name].inFlight = false
		})
	}
}

// waitRound waits until the next round is due. It returns false if ctx has ended.
func (r *Roster) waitRound(ctx context.Context, pacer Pacer, period time.Duration) bool {
	waitCtx, wake := context.WithCancel(ctx)
	defer wake()
	if r.setWake(wake) {
		err := pacer.Sleep(waitCtx, period)
		r.setWake(nil)
		if err == nil || ctx.Err() != nil {
			return ctx.Err() == nil
		}
	}
	return pacer.Sleep(ctx, period/earlyRounds) == nil
}

// setWake sets the function that ends the wait when there are updates, and
// reports whether to wait for a whole period.
func (r *Roster) setWake(wake context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake = wake
	return !r.urgentLocked(r.clock.Boot())
}

// exchange sends one heartbeat and handles the answer. If the digests differ, it
// also sends the whole member list.
func (r *Roster) exchange(ctx context.Context, caller Caller, timeout time.Duration, c call) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var in answer
	if err := caller.Call(ctx, c.to.Link, wire.VerbBeat, &c.heartbeat, &in); err != nil {
		return
	}
	if !r.handleAnswer(c, &in) {
		return
	}
	full := heartbeat{Self: r.Self(), News: r.list()}
	_ = caller.Call(ctx, c.to.Link, wire.VerbBeat, &full, &in)
}

// handleAnswer merges the answer to a heartbeat and reports whether the peer needs
// the whole member list.
func (r *Roster) handleAnswer(c call, in *answer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeatLocked(in.Self)
	for _, u := range in.News {
		r.mergeLocked(u)
	}
	now := r.clock.Boot()
	for _, name := range c.Asked {
		e := r.known[name]
		e.lastHelped = now
		if ago, ok := in.Heard[name]; ok && ago < r.suspectAfter() {
			e.watchedSince = max(e.watchedSince, now-ago)
		}
	}
	return in.Whole
}

// list returns updates about all members.
func (r *Roster) list() []update {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listLocked(r.clock.Boot())
}

// Handle serves wire.VerbBeat: it receives a heartbeat and answers it. The error
// is that of the stream.
func (r *Roster) Handle(_ context.Context, s *link.Stream) error {
	var m heartbeat
	if err := s.Recv(&m); err != nil {
		return err
	}
	return s.Send(r.serve(&m))
}

// serve merges a heartbeat and returns the answer.
func (r *Roster) serve(m *heartbeat) *answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Boot()
	accepted := r.heartbeatLocked(m.Self)
	for _, u := range m.News {
		r.mergeLocked(u)
	}
	out := &answer{Self: r.self, Heard: make(map[string]time.Duration)}
	for _, name := range m.Asked {
		if e := r.known[name]; e != nil && e.alive && e.heardDirectly {
			out.Heard[name] = now - e.lastHeard
		}
	}
	if m.Digest != 0 && m.Digest != r.digestLocked() {
		out.News, out.Whole = r.listLocked(now), true
		return out
	}
	out.News = r.nextUpdatesLocked(now)
	if e := r.known[m.Self.Name]; !accepted && e != nil {
		out.News = append(out.News, e.update(now)) // The sender has to refute that it is dead.
	}
	return out
}
