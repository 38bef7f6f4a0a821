package jobs

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/roster"
)

// Abandoned implements hold.Witness. A live placer has to confirm that it hasn't kept
// the endpoint's leases alive. One that is dead or suspended can't renew leases, so
// it needs no answer once it has been silent for Owner.MaxLeaseTime.
func (d *Driver) Abandoned(ctx context.Context, endpoint string) bool {
	for _, m := range d.members.Peers() {
		if m.Zone == d.zone && !d.notHeldBy(ctx, m, endpoint) {
			return false
		}
	}
	return true
}

// MaxLeaseTime returns the longest time for which a lease can be valid after its last renewal.
func (d *Driver) MaxLeaseTime() time.Duration { return d.owner.MaxLeaseTime() }

// Adopted reports whether each known endpoint is owned by a live placer of the zone,
// which then has counted the tasks running there.
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

// Promise implements fence.Others. Every other known placer of the zone has to
// promise, even if it isn't alive, since it could take over the term.
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

// notHeldBy reports whether a placer can't have kept the endpoint's leases alive
// within the last Owner.MaxLeaseTime.
func (d *Driver) notHeldBy(ctx context.Context, m roster.Member, endpoint string) bool {
	if d.members.Silent(m.Name) >= d.owner.MaxLeaseTime() {
		return true
	}
	out, err := d.callPeer(ctx, m, &peerRequest{Endpoint: endpoint, Held: true})
	return err == nil && !out.Done
}
