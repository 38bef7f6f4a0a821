// Package owner says which member of a set should own what, by rendezvous
// hashing: each member's claim on a key is a hash of both, and the largest
// claim wins. When a member comes or goes only the keys move that it wins or
// held. It is a proposal; who owns is settled by epochs.
package owner
