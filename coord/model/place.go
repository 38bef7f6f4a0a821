package model

// Place identifies a run of a task: the executor where it may be present, and
// its number.
type Place struct {
	Executor string `cbor:"1,keyasint"` // id of the executor
	Number   int    `cbor:"2,keyasint"` // of the run, as in Run
}
