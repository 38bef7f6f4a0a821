package config

import "slices"

// Type is what an object is.
type Type string

// The types of objects, in the order in which they are written.
const (
	TypeTeam     Type = "team"
	TypeKey      Type = "key"
	TypePolicy   Type = "policy"
	TypeQueue    Type = "queue"
	TypeShare    Type = "share"
	TypeLimit    Type = "limit"
	TypeEndpoint Type = "endpoint"
)

// Types returns all types in the order in which they are written.
func Types() []Type {
	return []Type{TypeTeam, TypeKey, TypePolicy, TypeQueue, TypeShare, TypeLimit, TypeEndpoint}
}

// Valid reports whether t is one of the types.
func (t Type) Valid() bool { return slices.Contains(Types(), t) }
