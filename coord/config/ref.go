package config

import (
	"cmp"
	"strings"
)

// Ref names one object.
type Ref struct {
	Type Type   `json:"type" cbor:"type"`
	Name string `json:"name" cbor:"name"`
}

// String returns the reference as it stands in a table header, like
// "team.shop".
func (r Ref) String() string { return string(r.Type) + "." + r.Name }

// ParseRef returns the reference that is written like "team.shop". It need not
// be a valid one.
func ParseRef(s string) Ref {
	kind, name, _ := strings.Cut(s, ".")
	return Ref{Type(kind), name}
}

// compareRefs orders references by type, in the order of Types, then by name.
func compareRefs(a, b Ref) int {
	if a.Type != b.Type {
		return cmp.Compare(a.Type.rank(), b.Type.rank())
	}
	return cmp.Compare(a.Name, b.Name)
}
