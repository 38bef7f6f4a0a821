package judge

// Invariant names a property of the system that must hold at all times.
type Invariant string

// The invariants.
const (
	Capacity Invariant = "capacity" // running tasks never exceed an endpoint's capacity
	Single   Invariant = "single"   // no task runs on two endpoints at once
	Keyed    Invariant = "key"      // tasks run only for the key's team, and never with a withdrawn key
	Limited  Invariant = "limit"    // no team runs more tasks than its upper limit
	Answered Invariant = "answer"   // each caller gets the complete answer to its own request
	NotRun   Invariant = "notrun"   // a request with the outcome "notrun" never ran
	Once     Invariant = "once"     // a non-idempotent request runs at most once
	Leaving  Invariant = "leaving"  // a leaving endpoint gets no new work
	Stopped  Invariant = "stop"     // every planned stop ends with exit code 0
	Config   Invariant = "config"   // accepted configuration comes into force and never reverts
)

// Invariants returns all invariants in the order in which Check reports them.
func Invariants() []Invariant {
	return []Invariant{Capacity, Single, Keyed, Limited, Answered, NotRun, Once, Leaving, Stopped, Config}
}
