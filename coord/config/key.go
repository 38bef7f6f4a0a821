package config

// Role is the API that a key gives access to.
type Role string

// The roles. A key has exactly one: the operators' API refuses callers' keys,
// and the callers' API refuses operators' keys.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
)

// Key gives the holder of a secret access to an API. Only the secret's digest
// is stored. A team may have any number of keys at the same time.
type Key struct {
	Name   string `toml:"-"`
	Team   string `toml:"team,omitempty"` // required for callers
	Role   Role   `toml:"role,omitempty"` // caller if empty
	Digest Digest `toml:"digest"`
	Note   string `toml:"note,omitempty"`
}

// Ref implements Object.
func (k *Key) Ref() Ref { return Ref{TypeKey, k.Name} }

// Operator reports whether the key has the operator role.
func (k *Key) Operator() bool { return k.Role == RoleOperator }

func (k *Key) references() []reference {
	if k.Team == "" {
		return nil
	}
	return []reference{{"team", Ref{TypeTeam, k.Team}}}
}

func (k *Key) check() []problem {
	ps := checkNote(k.Note)
	switch k.Role {
	case "", RoleCaller:
		if k.Team == "" {
			ps = append(ps, problem{"team", "missing; name the team that the key belongs to"})
		}
	case RoleOperator:
	default:
		ps = append(ps, problem{"role", quote(string(k.Role)) + ` is no role; write "caller" or "operator"`})
	}
	if err := k.Digest.check(); err != nil {
		ps = append(ps, problem{"digest", err.Error()})
	}
	return ps
}
