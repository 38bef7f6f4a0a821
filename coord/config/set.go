package config

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// Set is a set of objects, unique by type and name. The zero value is not
// usable; NewSet returns an empty one. A Set may be read concurrently, but not
// while it is changed.
type Set struct {
	objects   map[Ref]Object
	encoded   map[Ref]string // objects as TOML tables
	locations map[Ref]location
}

// location is where an object is defined in the files that it was parsed from.
type location struct {
	file   string
	line   int
	fields map[string]int // line of each field
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{objects: make(map[Ref]Object), encoded: make(map[Ref]string), locations: make(map[Ref]location)}
}

// Len returns the number of objects.
func (s *Set) Len() int { return len(s.objects) }

// Object returns the object with that reference, or nil.
func (s *Set) Object(ref Ref) Object { return s.objects[ref] }

// Put adds o, replacing any object with the same reference. o must not be
// changed afterwards.
func (s *Set) Put(o Object) {
	s.objects[o.Ref()] = o
	s.encoded[o.Ref()] = string(EncodeObject(o))
	delete(s.locations, o.Ref())
}

// Delete removes an object and reports whether it existed.
func (s *Set) Delete(ref Ref) bool {
	_, ok := s.objects[ref]
	delete(s.objects, ref)
	delete(s.encoded, ref)
	delete(s.locations, ref)
	return ok
}

// Clone returns a copy of the set that can be changed independently. The
// objects are shared.
func (s *Set) Clone() *Set {
	return &Set{objects: maps.Clone(s.objects), encoded: maps.Clone(s.encoded), locations: maps.Clone(s.locations)}
}

// Refs returns the references of all objects, sorted by type in the order of
// Types, then by name.
func (s *Set) Refs() []Ref {
	refs := make([]Ref, 0, len(s.objects))
	for ref := range s.objects {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

// Encode returns the set as TOML. Equal sets encode to equal bytes.
func (s *Set) Encode() []byte {
	size := 0
	for _, text := range s.encoded {
		size += len(text) + 1
	}
	out := make([]byte, 0, size)
	for _, ref := range s.Refs() {
		out = append(out, s.encoded[ref]...)
		out = append(out, '\n')
	}
	return out
}

// Sum returns the SHA-256 of the set's encoding in hexadecimal.
func (s *Set) Sum() string { return sumOf(s.Encode()) }

func sumOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
