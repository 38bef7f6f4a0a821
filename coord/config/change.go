package config

import "slices"

// Change is what has to be done to one set to get another.
type Change struct {
	Base    string `json:"base" cbor:"base"`                           // digest of the set to change
	Put     []byte `json:"put,omitempty" cbor:"put,omitempty"`         // objects added or replaced, as TOML
	Deleted []Ref  `json:"deleted,omitempty" cbor:"deleted,omitempty"` // objects removed
}

// changeBetween returns what leads from one snapshot to another.
func changeBetween(from, to *Snapshot) *Change {
	c := &Change{Base: from.Digest()}
	for _, d := range Compare(from.Set(), to.Set()) {
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
	for ref, before := range from.encoded {
		if after := to.encoded[ref]; before != after {
			out = append(out, Difference{Ref: ref, Old: before, New: after})
		}
	}
	for ref, after := range to.encoded {
		if from.objects[ref] == nil {
			out = append(out, Difference{Ref: ref, New: after})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int { return compareRefs(a.Ref, b.Ref) })
	return out
}
