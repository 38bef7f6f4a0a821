package jobs

import "github.com/balsamford/balsamford/coord/wire"

// fitRequest asks how many of some tasks the receiver's endpoints could run
// together if they were idle.
type fitRequest struct {
	Needs wire.Needs `cbor:"needs"`
	Tasks int        `cbor:"tasks"`
}
