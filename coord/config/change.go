package config

import (
	"bytes"
	"slices"
)

// Change is what has to be done to one set to get another.
type Change struct {
	Base    string `json:"base" cbor:"base"`                           // digest of the set to change
	Put     []byte `json:"put,omitempty" cbor:"put,omitempty"`         // objects added or replaced, as TOML
	Deleted []Ref  `json:"deleted,omitempty" cbor:"deleted,omitempty"` // objects removed
}

// changeBetween returns what leads from one set to another.
func changeBetween(from, to *Set) *Change {
	c := &Change{Base: from.Sum()}
	for _, d := range Compare(from, to) {
		if d.New == "" {
			c.Deleted = append(c.Deleted, d.Ref)
			continue
		}
		c.Put = append(c.Put, d.New...)
		c.Put = append(c.Put, '\n')
	}
	return c
}

// apply returns a copy of set with the change made. The error is an
// *InvalidError.
func (c *Change) apply(set *Set) (*Set, error) {
	add, faults := Parse(File{Data: c.Put})
	if len(faults) > 0 {
		return nil, &InvalidError{Faults: faults}
	}
	out := set.Clone()
	for _, ref := range c.Deleted {
		out.Delete(ref)
	}
	for _, ref := range add.Refs() {
		out.Put(add.objects[ref])
	}
	return out, nil
}

// Difference is one object that two sets don't have alike. Old or New is
// empty if the object is in only one of them. Both are TOML tables.
type Difference struct {
	Ref Ref    `json:"ref"`
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// Compare returns the objects that differ between two sets, by type and name.
func Compare(from, to *Set) []Difference {
	var out []Difference
	refs := from.Refs()
	for _, ref := range to.Refs() {
		if from.objects[ref] == nil {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	for _, ref := range refs {
		a, b := from.objects[ref], to.objects[ref]
		if a == b {
			continue
		}
		var before, after []byte
		if a != nil {
			before = EncodeObject(a)
		}
		if b != nil {
			after = EncodeObject(b)
		}
		if !bytes.Equal(before, after) {
			out = append(out, Difference{Ref: ref, Old: string(before), New: string(after)})
		}
	}
	return out
}
