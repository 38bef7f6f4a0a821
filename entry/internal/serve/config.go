package serve

import "github.com/balsamford/balsamford/coord/wire"

// Config is what callers' requests need to know of the configuration. It is
// used concurrently.
type Config interface {
	// Team returns the team of a caller's key, which is empty if no key was
	// given, or the reason why the key isn't served: key or stale.
	Team(key string) (team, reason string)
	// Check returns the team under which the key may send a request of that
	// kind to the queue, or the reason why not: key, queue or stale. An open
	// queue takes anyone, also while the configuration is stale.
	Check(key, queue string, kind wire.Kind) (team, reason string)
	// Version returns the version in force.
	Version() uint64
}
