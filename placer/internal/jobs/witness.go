package jobs

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/roster"
)

// Abandoned implements hold.Witness. A placer that lives has to answer. One
// that is dead or suspended can't renew anything, so it counts once it has
// been silent for as long as leases can last.
func (d *Driver) Abandoned(ctx context.Context, endpoint string) bool {
	for _, m := range d.members.Peers() {
		if m.Zone == d.zone && !d.notHeldBy(ctx, m, endpoint) {
			return false
		}
	}
	return true
}

// Span returns how long leases may hold at most after their last renewal.
func (d *Driver) Span() time.Duration { return d.owner.Span() }

// Adopted reports whether each known endpoint is owned by a live placer of the
// zone, which has counted what runs there.
func (d *Driver) Adopted(ctx context.Context) bool {
	owned := make(map[string]bool)
	for _, name := range d.owner.Owned() {
		owned[name] = true
	}
	for _, m := range d.peers() {
		out, err := d.callPeer(ctx, m, &peerRequest{Owned: true})
		if err != nil {
			return false
		}
		for _, name := range out.Endpoints {
			owned[name] = true
		}
	}
	for _, name := range d.owner.Known() {
		if !owned[name] {
			return false
		}
	}
	return true
}

// Promise implements fence.Others: every other placer that is known, alive or
// not, could take the term and has to promise.
func (d *Driver) Promise(ctx context.Context, endpoint string, length time.Duration) bool {
	for _, m := range d.members.Peers() {
		if m.Zone != d.zone {
			continue
		}
		if out, err := d.callPeer(ctx, m, &peerRequest{Endpoint: endpoint, Promise: length}); err != nil || !out.Done {
			return false
		}
	}
	return true
}

func (d *Driver) notHeldBy(ctx context.Context, m roster.Member, endpoint string) bool {
	if d.members.Silent(m.Name) >= d.owner.Span() {
		return true
	}
	out, err := d.callPeer(ctx, m, &peerRequest{Endpoint: endpoint, Held: true})
	return err == nil && !out.Done
}
