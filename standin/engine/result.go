package engine

import "io"

// Result describes the answer of a task that Run has run.
type Result struct {
	ID         string
	Attempt    uint32
	Epoch      uint64 // of the owner that started the task
	Size       int    // of the answer, in bytes
	Sum        uint64 // xxhash64 of the answer
	Short      bool   // the answer is to be truncated, by a fault switch
	answerID   string // id argument of Answer
	answerSeed uint64
}

// Reader returns the bytes of the answer.
func (r *Result) Reader() io.Reader { return NewReader(r.answerID, r.answerSeed, r.Size) }
