// Package wire defines the messages that the system's processes send to each
// other, encoded as CBOR (package link). Unlike in other packages the fields are
// exported, because the codec sets them.
package wire
