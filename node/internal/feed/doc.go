// Package feed passes the changes of a table on between the hosts of an availability zone.
// If each host of a large deployment followed the board at the store, the bytes that the
// store sends would grow with hosts times jobs. With a feed, one host of each zone, its
// feeder, follows the store, and the others of the zone poll it.
//
// A reply says how long ago the feeder's own state was known to be complete, so that its
// receiver knows how old what it has is. A host whose feeder doesn't reply, or has nothing
// usable, asks the store itself.
package feed
