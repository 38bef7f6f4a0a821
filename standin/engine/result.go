package engine

import "io"

// Result is the answer of a task that an executor ran.
type Result struct {
	ID      string
	Attempt uint32
	Epoch   uint64 // of the owner that started the task
	Size    int
	Sum     uint64 // xxhash64 of the answer
	Short   bool   // a fault switch wants it cut short
	name    string // that the answer depends on
	seed    uint64
}

// Reader returns the bytes of the answer.
func (r *Result) Reader() io.Reader { return NewReader(r.name, r.seed, r.Size) }
