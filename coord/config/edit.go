package config

import "github.com/balsamford/balsamford/coord/audit"

// AnyVersion as the Base of an Edit means the newest version at the time of
// publishing. If another publish comes first, the edit is applied to that
// version instead, up to 100 times.
const AnyVersion = ^uint64(0)

// Edit is a change to publish: either a whole set, or single objects to put and
// to delete.
type Edit struct {
	// ID identifies the publish; audit.NewID makes one. Publishing the same
	// edit again with the same ID has no second effect.
	ID     string
	Author string
	Host   string // host that the publisher runs on, for the audit record
	// Base is the version that the author edited, or AnyVersion. If a newer
	// version exists, the edit is refused with a *ConflictError.
	Base   uint64
	Action audit.Action
	Whole  *Set     // replaces all objects, unless it is nil
	Put    []Object // added or replaced
	Delete []Ref    // removed
}

// apply returns the set that results from applying the edit to base. Deleting
// an object that doesn't exist is a fault.
func (e *Edit) apply(base *Set) (*Set, []Fault) {
	if e.Whole != nil {
		return e.Whole, nil
	}
	out := base.Clone()
	var faults []Fault
	for _, ref := range e.Delete {
		if !out.Delete(ref) {
			faults = append(faults, Fault{Object: ref.String(), Text: `there is none to delete; see "balsam show"`})
		}
	}
	for _, o := range e.Put {
		out.Put(o)
	}
	return out, faults
}
