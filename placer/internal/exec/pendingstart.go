package exec

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/placer/internal/queue"
)

// pendingStart is a start of an idempotent request that may still begin, for
// instance because it waits in the socket of a suspended endpoint.
type pendingStart struct {
	request   string
	address   string
	stop      point.Stop // revokes the start
	order     queue.Order
	abandoned bool // no run waits for its outcome; guarded by pendingStarts.mu
}
