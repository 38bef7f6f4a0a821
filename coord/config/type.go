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

// rank returns the place of t in the order in which types are written.
func (t Type) rank() int {
	switch t {
	case TypeTeam:
		return 0
	case TypeKey:
		return 1
	case TypePolicy:
		return 2
	case TypeQueue:
		return 3
	case TypeShare:
		return 4
	case TypeLimit:
		return 5
	default:
		return 6
	}
}

// Valid reports whether t is one of the types.
func (t Type) Valid() bool { return slices.Contains(Types(), t) }
