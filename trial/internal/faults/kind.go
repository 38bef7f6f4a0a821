package faults

// Kind is a kind of fault.
type Kind string

// The kinds of fault.
const (
	Kill     Kind = "kill"     // an entry or a placer is killed and restarted
	Pause    Kind = "pause"    // an entry or a placer is suspended, in half of the cases longer than every lease
	Replace  Kind = "replace"  // an entry or a placer is stopped gracefully and restarted
	Host     Kind = "host"     // the entry and the placer of a host are killed and restarted
	Platform Kind = "platform" // the platform is down, slow or lagging, or loses writes or answers
	Endpoint Kind = "endpoint" // an endpoint is down, slow or frozen, fails all tasks, or loses, doubles or truncates answers
	Rack     Kind = "rack"     // all endpoints of a zone are suspended, longer than every lease
	Leave    Kind = "leave"    // an endpoint is leaving for some seconds
	Cut      Kind = "cut"      // a zone is cut off from the other zones and the platform
	Zone     Kind = "zone"     // the processes of a zone are killed and its endpoints are down, then all return
	Region   Kind = "region"   // half of the zones are cut off from the others and the platform
	Operate  Kind = "operate"  // an operator publishes a change or, once in a trial, withdraws a key
	Limit    Kind = "limit"    // an operator lowers a team's limit while it is in use, and raises it again
)

// Kinds returns all kinds of fault.
func Kinds() []Kind {
	return []Kind{Kill, Pause, Replace, Host, Platform, Endpoint, Rack, Leave, Cut, Zone, Region, Operate, Limit}
}
