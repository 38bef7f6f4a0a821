package config

// Object is a configuration object. The concrete types are *Team, *Key,
// *Policy, *Queue, *Share, *Limit and *Endpoint; an object must not be changed
// once it is in a Set.
type Object interface {
	// Ref returns the object's type and name.
	Ref() Ref
	// references returns the object's references to others.
	references() []reference
	// check returns the problems of the object by itself.
	check() []problem
}

// reference is a reference from a field of one object to another object.
type reference struct {
	field string
	to    Ref
}

// problem is an invalid field of an object.
type problem struct {
	field string
	text  string
}

// newObject returns an empty object for ref, or nil if the type is unknown.
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
