// Package relay reaches the platform's store through other hosts while this
// host's own way to it fails: the store may turn some hosts away or be cut off
// from them, and serve the others.
//
// A Relay knows how this host's own way fares and serves the other hosts' calls by
// its own way. A Client makes calls: by its own way first, through another host
// if that fails or takes much longer than usual, and for a while through that host
// at once. A call that is passed on is never passed on again.
package relay
