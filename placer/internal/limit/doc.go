// Package limit counts a placer's running tasks against the upper limits of
// teams. It implements sched.Limit with coord/parts: a placer holds a part of
// each limit and exchanges parts with its peers and the platform.
//
// Setup: Create one Keeper and pass it to sched.WithLimit. Its name consists of
// the placer's name and the epoch of its process, so that a restarted placer has
// a new name. Call Configure whenever the limits change. Call Settle once before
// the first endpoint is opened.
//
// Every 200 ms, send the requests that Asks returns to the peers of the zone
// with wire.VerbPart. Answer such a request with Serve. Pass the response to
// Accept, and send the confirmation that it returns, if any; the response to a
// confirmation can be ignored.
//
// Every few seconds, and while a team stays in Wants, call Settle with the
// platform's table. It reads only the rows that are due. If it returns an error,
// the parts held don't change.
//
// When a peer is dead and all its endpoints have new owners, one placer calls
// ReleaseDead with the names of all live placers of the zone, and calls it again
// later if it returns an error.
package limit
