package engine

import (
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Answer returns the answer of a task: size bytes that depend only on its id
// and seed, so that a caller can tell its own answer from any other. If the
// task's Body has a Tag, the tag, "/" and the number of the task stand in
// place of the id.
func Answer(id string, seed uint64, size int) []byte {
	data := make([]byte, size)
	_, _ = io.ReadFull(NewReader(id, seed, size), data)
	return data
}

// Reader gives the bytes of Answer without holding them.
type Reader struct {
	state uint64
	word  [8]byte
	used  int // of word
	left  int
}

// NewReader returns a Reader of Answer(id, seed, size).
func NewReader(id string, seed uint64, size int) *Reader {
	return &Reader{state: xxhash.Sum64String(id) ^ mix(seed), used: 8, left: size}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := 0
	for n < len(p) && r.left > 0 {
		if r.used == len(r.word) {
			r.state += 0x9e3779b97f4a7c15
			binary.LittleEndian.PutUint64(r.word[:], mix(r.state))
			r.used = 0
		}
		k := copy(p[n:min(len(p), n+r.left)], r.word[r.used:])
		n, r.used, r.left = n+k, r.used+k, r.left-k
	}
	return n, nil
}

// mix spreads the bits of x.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// sum returns the xxhash64 of Answer(id, seed, size).
func sum(id string, seed uint64, size int) uint64 {
	d := xxhash.New()
	_, _ = io.Copy(d, NewReader(id, seed, size))
	return d.Sum64()
}
