// Package link carries messages between the system's processes: QUIC streams
// of CBOR items, each item preceded by its length. One call is one stream, so
// an answer can't reach another caller, and a slow reader slows only its own
// stream.
package link
