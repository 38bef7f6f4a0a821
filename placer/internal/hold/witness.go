package hold

import "context"

// Witness checks with the other placers whether one of them may be renewing the
// task leases of an endpoint. This is possible while this placer can't reach an
// endpoint that it owns: another placer may have reached it and taken it over.
type Witness interface {
	// Abandoned reports whether every placer that could have taken over the
	// endpoint confirms that it hasn't owned it for Keeper.MaxLeaseTime, the longest
	// time that leases last after a renewal.
	Abandoned(ctx context.Context, endpoint string) bool
}

// noPeers is the Witness of a placer without peers.
type noPeers struct{}

// Abandoned implements Witness.
func (noPeers) Abandoned(context.Context, string) bool { return true }
