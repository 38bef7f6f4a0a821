package hold

import (
	"time"

	"github.com/balsamford/balsamford/coord/point"
)

// Pass permits one call to an endpoint under the current ownership. A hand-over
// waits for outstanding passes, for a limited time.
type Pass struct {
	ownership *Ownership
	address   string
	owner     point.Owner
}

// Address returns the address of the endpoint.
func (p *Pass) Address() string { return p.address }

// Owner returns the owner and epoch that the call must carry.
func (p *Pass) Owner() point.Owner { return p.owner }

// Lease returns the initial lease of a started task; renewals extend it.
func (p *Pass) Lease() time.Duration { return p.ownership.lease }

// Answered records that the endpoint has answered a start. The lease of the
// task began at this time or earlier.
func (p *Pass) Answered() { p.ownership.noteStart() }

// Valid reports whether the call may still be sent. Callers check it again
// immediately before sending, since the process may have been paused.
func (p *Pass) Valid() bool { return p.ownership.valid(p.owner) }

// Done releases the pass, after the endpoint has answered or the caller has
// abandoned the call.
func (p *Pass) Done() { p.ownership.endPass() }
