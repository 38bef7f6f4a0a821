package serve

import "github.com/balsamford/balsamford/coord/wire"

// Config gives access to the configuration in force. Implementations must
// allow concurrent use.
type Config interface {
	// Team returns the team of a caller's key, or the reason code for which
	// the key is refused (key or stale). Without a key both are empty.
	Team(key string) (team, reason string)
	// Check returns the team for which the key may submit a request of that
	// kind to the queue, or the reason code of the refusal (key, queue or
	// stale). An open queue needs no key and accepts requests even while the
	// configuration is stale.
	Check(key, queue string, kind wire.Kind) (team, reason string)
	// Version returns the version of the configuration in force.
	Version() uint64
}
