package config

import "github.com/balsamford/balsamford/coord/audit"

// AnyVersion as the base of an Edit stands for whatever version is the newest
// when it is published.
const AnyVersion = ^uint64(0)

// Edit is a change that an operator wants to publish: a whole set, or single
// objects to put and to delete.
type Edit struct {
	// ID names the publish, as audit.NewID makes it. Publishing the same
	// edit under the same id again never has a second effect.
	ID     string
	Author string
	Host   string // where the publisher runs
	// Base is the version that the author looked at. The edit is refused as
	// a conflict if there is a newer one.
	Base   uint64
	Action audit.Action
	Whole  *Set     // replaces everything, if it isn't nil
	Put    []Object // added or replaced
	Delete []Ref    // removed
}

// apply returns the set that the edit makes of base. Deleting what isn't
// there is a fault.
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
