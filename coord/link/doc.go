// Package link is the RPC layer between the system's processes. It sends
// length-prefixed CBOR items over QUIC streams. Each call has its own stream, so
// an answer can't reach another caller, and a slow reader slows only its own
// call.
package link
