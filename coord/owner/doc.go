// Package owner assigns keys to the members of a set by rendezvous hashing:
// each member's score for a key is a hash of both, and the member with the
// highest score is assigned the key. When a member joins or leaves, only the
// keys that are assigned to it move. The assignment only says which member
// should claim ownership; conflicting claims are resolved by epochs.
package owner
