package config

// Object is one configuration object. The concrete types are *Team, *Key,
// *Policy, *Queue, *Share, *Limit and *Endpoint; they must not be changed once
// they are in a Set.
type Object interface {
	// Ref names the object.
	Ref() Ref
	// links returns the references that the object makes to others.
	references() []reference
	// check returns what is wrong with the object taken alone.
	check() []problem
}

// refers is a reference from one field of an object to another object.
type reference struct {
	field string
	to    Ref
}

// problem is something wrong with one field of an object.
type problem struct {
	field string
	text  string
}

// newObject returns an empty object for ref, or nil if there is no such type.
func newObject(ref Ref) Object {
	switch ref.Type {
	case TypeTeam:
		return &Team{Name: ref.Name}
	case TypeKey:
		return &Key{Name: ref.Name}
	case TypePolicy:
		return &Policy{Name: ref.Name}
	case TypeQueue:
		return &Queue{Name: ref.Name}
	case TypeShare:
		return &Share{Name: ref.Name}
	case TypeLimit:
		return &Limit{Name: ref.Name}
	case TypeEndpoint:
		return &Endpoint{Name: ref.Name}
	default:
		return nil
	}
}
