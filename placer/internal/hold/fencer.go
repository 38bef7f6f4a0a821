package hold

import (
	"context"

	"github.com/balsamford/balsamford/coord/lease"
	"github.com/balsamford/balsamford/coord/point"
)

// Fencer grants terms for endpoints that don't refuse old owners by
// themselves. The calls may block for a fraction of a term.
type Fencer interface {
	// Permit grants a term to open the endpoint, or reports false.
	Permit(ctx context.Context, endpoint string, o point.Owner) (lease.Term, bool)
	// Renew grants a further term to its owner. The error is a *TakenError if
	// another has the endpoint; with any other the last term stands.
	Renew(ctx context.Context, endpoint string, o point.Owner) (lease.Term, error)
	// Release gives the term back.
	Release(ctx context.Context, endpoint string, o point.Owner)
}

// TakenError reports an endpoint whose term another placer has.
type TakenError struct{ Endpoint string }

// Error implements error.
func (e *TakenError) Error() string { return "term of " + e.Endpoint + " is another's" }

// noFence grants nothing: endpoints that don't fence stay unowned.
type noFence struct{}

// Permit implements Fencer.
func (noFence) Permit(context.Context, string, point.Owner) (lease.Term, bool) {
	return lease.Term{}, false
}

// Renew implements Fencer.
func (noFence) Renew(_ context.Context, endpoint string, _ point.Owner) (lease.Term, error) {
	return lease.Term{}, &TakenError{Endpoint: endpoint}
}

// Release implements Fencer.
func (noFence) Release(context.Context, string, point.Owner) {}
