// Package wire holds the messages that the system's own processes send one
// another. They travel as CBOR (package link). Their fields are exported,
// unlike those of other types here, because the codec fills them.
package wire
