package config

import "slices"

// Change is the difference from a base set to another set. It is stored as an
// object and sent to peers.
type Change struct {
	Base    string `json:"base" cbor:"base"`                           // digest of the set that the change applies to
	Put     []byte `json:"put,omitempty" cbor:"put,omitempty"`         // objects added or replaced, as TOML
	Deleted []Ref  `json:"deleted,omitempty" cbor:"deleted,omitempty"` // objects removed
}

// changeBetween returns the change from one snapshot to another.
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

// apply returns a copy of set with the change applied. The error is an
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

// Difference is an object that differs between two sets, or is in only one of
// them. Old and New are TOML tables, empty where the object doesn't exist.
type Difference struct {
	Ref Ref    `json:"ref"`
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// Compare returns the objects that differ between two sets, sorted by type in
// the order of Types, then by name.
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
