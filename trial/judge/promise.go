package judge

// Promise is one of the points that must always hold.
type Promise string

// The promises.
const (
	Capacity Promise = "capacity" // no host is given more than it has
	Single   Promise = "single"   // no task runs in two places at once
	Keyed    Promise = "key"      // work only for the key's team, none with a withdrawn key
	Limited  Promise = "limit"    // no team has more running than its upper limit
	Answered Promise = "answer"   // the whole answer to the caller's own request
	NotRun   Promise = "notrun"   // a refusal that says so is true
	Once     Promise = "once"     // a non-idempotent request runs at most once
	Leaving  Promise = "leaving"  // a leaving endpoint gets no new work
	Stopped  Promise = "stop"     // every planned stop is graceful
	Config   Promise = "config"   // accepted configuration is in force and never reverts
)

// Promises returns all of them in the order of the brief.
func Promises() []Promise {
	return []Promise{Capacity, Single, Keyed, Limited, Answered, NotRun, Once, Leaving, Stopped, Config}
}
