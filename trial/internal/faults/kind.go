package faults

// Kind is a kind of fault.
type Kind string

// The kinds of fault.
const (
	Kill     Kind = "kill"     // an entry or a placer dies and is started again
	Pause    Kind = "pause"    // an entry or a placer stands still, longer than every lease
	Replace  Kind = "replace"  // an entry or a placer is stopped as planned and started again
	Host     Kind = "host"     // both processes of a host die and are started again
	Platform Kind = "platform" // the platform is down, slow, or loses answers
	Endpoint Kind = "endpoint" // an endpoint is down, slow, frozen, fails everything, loses, doubles or cuts answers
	Rack     Kind = "rack"     // the endpoints of a zone stand still, longer than every lease
	Leave    Kind = "leave"    // an endpoint is leaving for a while
	Cut      Kind = "cut"      // a zone is cut off from the others and the platform
	Zone     Kind = "zone"     // a zone dies, its endpoints answer nobody, and comes back
	Region   Kind = "region"   // half of the zones are cut off from the others and the platform
	Operate  Kind = "operate"  // operators publish changes, two of them at once
	Limit    Kind = "limit"    // an operator lowers a team's limit while it is in use, and raises it again
)

// Kinds returns all kinds of fault.
func Kinds() []Kind {
	return []Kind{Kill, Pause, Replace, Host, Platform, Endpoint, Rack, Leave, Cut, Zone, Region, Operate, Limit}
}
