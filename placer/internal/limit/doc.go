// Package limit counts a placer's running tasks against the upper limits of
// teams. It puts coord/parts behind sched.Limit.
//
// To wire it: make one Keeper with the placer's name and the epoch of its
// process in one word, so that a restarted placer has a new name, and pass
// it to sched.WithLimit. On each configuration call Configure with the limits
// and the zones of the cell. Every 200 ms send what Asks returns over
// wire.VerbPart, to the peers of the zone; answer such a message with Serve;
// give the answer to Accept, and send the confirmation that it returns, if
// any, whose own answer needs no attention. Every few seconds, and when a
// team stays in Wants, call Settle with the platform's table; it reads only
// what is due, and its error changes nothing that is held. When a peer is dead and all its endpoints
// have new owners, one placer calls Bury with the names of all living placers
// of the zone; an error means to try again later. Settle once before the
// first endpoint is opened.
package limit
