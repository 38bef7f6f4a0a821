package config

import "slices"

// Type is the type of an object, as written in TOML table headers.
type Type string

// The types of objects, in the order in which they are encoded.
const (
	TypeTeam     Type = "team"
	TypeKey      Type = "key"
	TypePolicy   Type = "policy"
	TypeQueue    Type = "queue"
	TypeShare    Type = "share"
	TypeLimit    Type = "limit"
	TypeEndpoint Type = "endpoint"
)

// Types returns all types in the order in which they are encoded.
func Types() []Type {
	return []Type{TypeTeam, TypeKey, TypePolicy, TypeQueue, TypeShare, TypeLimit, TypeEndpoint}
}

// rank returns the position of t in the encoding order.
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
