package model

// Place is where a run may be present.
type Place struct {
	Executor string `cbor:"1,keyasint"`
	Number   int    `cbor:"2,keyasint"`
}
