package config

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/wire"
)

// Final is the last answer of a writer that has left: it knows of no version
// newer than Version and never publishes again. Other processes use it in place
// of the writer's answers to Questions.
type Final struct {
	Run     string `cbor:"run"`
	Version uint64 `cbor:"version"`
}

// ownFinal returns the last answer of this process. ok is false if the process
// hasn't left yet: it might still publish.
func (f *Follower) ownFinal() (Final, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Final{Run: f.run, Version: f.newestKnown}, f.left
}

// sendFinal sends the last answer of this process to all others.
func (f *Follower) sendFinal(ctx context.Context) {
	final, ok := f.ownFinal()
	if !ok || f.caller == nil {
		return
	}
	var g errgroup.Group
	g.SetLimit(maxTells)
	for _, p := range f.roster.Peers() {
		if p.Name == f.name {
			continue
		}
		g.Go(func() error {
			ctx, cancel := f.timeout(ctx, f.peerTimeout())
			defer cancel()
			f.counts.tells.Inc(1)
			var out Status
			_ = f.caller.Call(ctx, p.Address, wire.VerbTell, Announcement{Head: f.Head(), Address: f.address, Finals: []Final{final}}, &out)
			return nil
		})
	}
	_ = g.Wait()
}

// learnFinals stores the last answers of runs that are on the roll.
func (f *Follower) learnFinals(finals []Final) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, final := range finals {
		if f.rollRead.roll.has(final.Run) {
			f.finals[final.Run] = final
		}
	}
}

// finalsLocked returns all known last answers.
func (f *Follower) finalsLocked() []Final {
	var out []Final
	for _, final := range f.finals {
		out = append(out, final)
	}
	return out
}
