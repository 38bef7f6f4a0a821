package config

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// Set is a set of objects by type and name. The zero value is not usable;
// NewSet makes an empty one. A Set may be read concurrently, but not while it
// is changed.
type Set struct {
	objects   map[Ref]Object
	encoded   map[Ref]string // encoded objects
	locations map[Ref]location
}

// place is where an object stands in the files that it was read from.
type location struct {
	file   string
	line   int
	fields map[string]int // lines of its fields
}

// NewSet returns a set without objects.
func NewSet() *Set {
	return &Set{objects: make(map[Ref]Object), encoded: make(map[Ref]string), locations: make(map[Ref]location)}
}

// Len returns how many objects there are.
func (s *Set) Len() int { return len(s.objects) }

// Object returns the object of that name, or nil.
func (s *Set) Object(ref Ref) Object { return s.objects[ref] }

// Put adds o, or replaces the object of its name.
func (s *Set) Put(o Object) {
	s.objects[o.Ref()] = o
	s.encoded[o.Ref()] = string(EncodeObject(o))
	delete(s.locations, o.Ref())
}

// Delete removes an object and reports whether it was there.
func (s *Set) Delete(ref Ref) bool {
	_, ok := s.objects[ref]
	delete(s.objects, ref)
	delete(s.encoded, ref)
	delete(s.locations, ref)
	return ok
}

// Clone returns a set with the same objects that can be changed on its own.
func (s *Set) Clone() *Set {
	return &Set{objects: maps.Clone(s.objects), encoded: maps.Clone(s.encoded), locations: maps.Clone(s.locations)}
}

// Refs returns the names of all objects, by type and name.
func (s *Set) Refs() []Ref {
	refs := make([]Ref, 0, len(s.objects))
	for ref := range s.objects {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

// Encode returns the set as TOML. Equal sets give equal bytes.
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
