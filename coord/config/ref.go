package config

import (
	"cmp"
	"strings"
)

// Ref identifies an object by type and name.
type Ref struct {
	Type Type   `json:"type" cbor:"type"`
	Name string `json:"name" cbor:"name"`
}

// String returns the reference as in a table header, such as "team.shop".
func (r Ref) String() string { return string(r.Type) + "." + r.Name }

// ParseRef parses a reference such as "team.shop". It doesn't check whether the
// type and the name are valid.
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
