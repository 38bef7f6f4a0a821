package exec

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/placer/internal/desk"
)

// pending is a start of an idempotent request that may still begin: it may
// wait in the socket of an endpoint that is suspended.
type pending struct {
	request string
	address string
	stop    point.Stop // keeps the attempt from beginning
	order   desk.Order
	given   bool // its run was given up; guarded by the lock of starts
}
