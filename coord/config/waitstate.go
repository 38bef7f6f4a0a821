package config

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// waitState tracks which processes have applied one version, for one Wait.
type waitState struct {
	waiter *Waiter
	head   Head
	// olderExpiry is when a process stops accepting keys of older versions at the
	// latest, on the timer's Boot, unless the writers' answers have extended its
	// confirmation.
	olderExpiry time.Duration
	listed      []Peer // processes listed after the write; nil until the list has been read
	roll        Roll   // read after the write, together with listed

	mu        sync.Mutex // guards the fields below, by process name
	confirmed map[string]ack
	inFlight  map[string]bool
}

// poll announces the head to all processes that have not confirmed it and
// returns the progress. The error is the platform's; the progress is valid even
// then.
func (r *waitState) poll(ctx context.Context) (Progress, error) {
	w := r.waiter
	err := r.readListed(ctx)
	peers := r.peers()
	r.announceAll(ctx, peers)
	out := Progress{Version: r.head.Version}
	missing := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if r.hasConfirmed(p.Name) {
			out.Confirmed = append(out.Confirmed, p.Name)
			continue
		}
		out.Missing = append(out.Missing, p.Name)
		missing = append(missing, p)
	}
	end, certain := r.lapseTime(missing)
	out.Lapse = max(0, end-w.timers.Boot())
	slices.Sort(out.Confirmed)
	slices.Sort(out.Missing)
	out.Accepted = certain && out.Lapse == 0 || r.listed != nil && len(out.Missing) == 0
	if !out.Accepted && !certain {
		out.Waits = []string{noCommonWriter}
	}
	if out.Accepted {
		out.Waits = r.unsettled(ctx)
		out.Accepted = len(out.Waits) == 0
	}
	return out, err
}

// readListed reads the listed processes and the roll, once, after the write.
// The wait needn't cover a process that is listed later: it reads the head
// later still, and so sees the new version.
func (r *waitState) readListed(ctx context.Context) error {
	if r.listed != nil {
		return nil
	}
	peers, err := r.waiter.members(ctx)
	if err != nil {
		return err
	}
	roll, _, err := readRoll(ctx, r.waiter.platform)
	if err != nil {
		return err
	}
	r.listed, r.roll = peers, roll
	return nil
}

// peers returns this process and the listed ones, or those of the roster while
// the list can't be read. An unlisted process accepts no keys, so the wait
// needn't cover it.
func (r *waitState) peers() []Peer {
	f := r.waiter.follower
	out := append([]Peer{f.self()}, r.listed...)
	if r.listed == nil {
		out = append(out, f.roster.Peers()...)
	}
	slices.SortStableFunc(out, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return slices.CompactFunc(out, func(a, b Peer) bool { return a.Name == b.Name })
}

// announceAll sends the head to all processes that have not confirmed it, and
// waits a limited time for the replies. A slower call goes on in the
// background, and its peer isn't called again until it ends: a call to a paused
// or dead host may take long, regardless of its context.
func (r *waitState) announceAll(ctx context.Context, peers []Peer) {
	w := r.waiter
	untilExpiry := r.olderExpiry - w.timers.Boot()
	ctx, cancel := w.follower.timeout(ctx, max(min(w.follower.peerTimeout(), untilExpiry), pollInterval))
	var running sync.WaitGroup
	for _, p := range peers {
		if !r.beginCall(p.Name) {
			continue
		}
		running.Add(1)
		started := w.calls.TryGo(func() error {
			defer running.Done()
			defer r.endCall(p.Name)
			r.announce(ctx, p)
			return nil
		})
		if !started {
			r.endCall(p.Name)
			running.Done()
		}
	}
	done := make(chan struct{})
	w.polls.Go(func() error {
		defer cancel()
		running.Wait()
		close(done)
		return nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// beginCall marks a call to a process as in flight and returns true, or returns
// false if the process has confirmed or a call is in flight already.
func (r *waitState) beginCall(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, done := r.confirmed[name]; done || r.inFlight[name] {
		return false
	}
	r.inFlight[name] = true
	return true
}

func (r *waitState) endCall(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, name)
}

func (r *waitState) hasConfirmed(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, done := r.confirmed[name]
	return done
}

// announce sends the head to one process and records whether the process has
// applied it.
func (r *waitState) announce(ctx context.Context, p Peer) {
	f := r.waiter.follower
	in := Announcement{Head: r.head, Address: f.address}
	if p.Name == f.name {
		f.handleTell(ctx, Announcement{Head: r.head})
		r.confirm(p.Name, f.Status())
		return
	}
	if f.caller == nil {
		return
	}
	f.counts.tells.Inc(1)
	var out Status
	if f.caller.Call(ctx, p.Address, wire.VerbTell, in, &out) == nil {
		r.confirm(p.Name, out)
	}
}

// confirm records that a process has applied the version, or a newer one. It
// ignores a reply under another name, which comes from another process at the
// same address, and one with other content under the same version.
func (r *waitState) confirm(name string, s Status) {
	if s.Name != name || s.Head.Version < r.head.Version || s.Head.Version == r.head.Version && s.Head.Digest != r.head.Digest {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed[name] = ack{run: s.Run, at: r.waiter.timers.Boot()}
}

// unsettled returns the Settler's reasons why the version isn't in force yet. A
// failure of the Settler counts as a reason.
func (r *waitState) unsettled(ctx context.Context) []string {
	w := r.waiter
	snap := w.follower.Current()
	if w.settler == nil || snap == nil {
		return nil
	}
	waits, err := w.settler.Unsettled(ctx, snap)
	if err != nil {
		return []string{err.Error()}
	}
	return waits
}
