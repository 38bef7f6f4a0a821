package engine

import (
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Answer returns the answer of a task: size bytes that depend only on its id
// and seed, so that a caller can recognise an answer that isn't its own. For a
// task whose Body has a Tag the id is the tag, "/" and the number of the task.
func Answer(id string, seed uint64, size int) []byte {
	data := make([]byte, size)
	_, _ = io.ReadFull(NewReader(id, seed, size), data)
	return data
}

// Reader generates the bytes of Answer as they are read. It must not be used
// concurrently.
type Reader struct {
	state     uint64 // of the splitmix64 generator
	word      [8]byte
	wordUsed  int // bytes of word that have been read
	remaining int // bytes until the end
}

// NewReader returns a Reader of Answer(id, seed, size).
func NewReader(id string, seed uint64, size int) *Reader {
	return &Reader{state: xxhash.Sum64String(id) ^ mixBits(seed), wordUsed: 8, remaining: size}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	n := 0
	for n < len(p) && r.remaining > 0 {
		if r.wordUsed == len(r.word) {
			r.state += 0x9e3779b97f4a7c15
			binary.LittleEndian.PutUint64(r.word[:], mixBits(r.state))
			r.wordUsed = 0
		}
		k := copy(p[n:min(len(p), n+r.remaining)], r.word[r.wordUsed:])
		n, r.wordUsed, r.remaining = n+k, r.wordUsed+k, r.remaining-k
	}
	return n, nil
}

// mixBits is the output function of splitmix64.
func mixBits(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// answerSum returns the xxhash64 of Answer(id, seed, size).
func answerSum(id string, seed uint64, size int) uint64 {
	d := xxhash.New()
	_, _ = io.Copy(d, NewReader(id, seed, size))
	return d.Sum64()
}
