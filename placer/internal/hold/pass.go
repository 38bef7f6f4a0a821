package hold

import (
	"time"

	"github.com/balsamford/balsamford/coord/point"
)

// Pass allows one call under the present ownership of an endpoint. A hand-over
// waits until all passes are done.
type Pass struct {
	seat    *Seat
	address string
	owner   point.Owner
}

// Address returns where the endpoint is.
func (p *Pass) Address() string { return p.address }

// Owner returns what the call has to carry.
func (p *Pass) Owner() point.Owner { return p.owner }

// Lease returns for how long a task is started; renewals make it longer.
func (p *Pass) Lease() time.Duration { return p.seat.lease }

// Answered notes that the endpoint has answered a start, whose lease counts
// from then at the latest.
func (p *Pass) Answered() { p.seat.touch() }

// Valid reports whether the call may still leave; it is asked again just
// before.
func (p *Pass) Valid() bool { return p.seat.valid(p.owner) }

// Done ends the pass, once the endpoint has answered or the call was given up.
func (p *Pass) Done() { p.seat.leave() }
