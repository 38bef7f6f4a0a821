package hold

import (
	"context"

	"github.com/balsamford/balsamford/coord/lease"
	"github.com/balsamford/balsamford/coord/point"
)

// Fencer grants terms for endpoints that don't reject calls of earlier owners
// themselves. The calls may block for a fraction of a term.
type Fencer interface {
	// Permit grants a term in which the endpoint may be opened. It returns
	// false if the term can't be granted now.
	Permit(ctx context.Context, endpoint string, o point.Owner) (lease.Term, bool)
	// Renew grants the owner another term. It returns a *TakenError if another
	// placer owns the endpoint; after any other error the last term stays
	// valid.
	Renew(ctx context.Context, endpoint string, o point.Owner) (lease.Term, error)
	// Release ends the term.
	Release(ctx context.Context, endpoint string, o point.Owner)
}

// TakenError reports an endpoint whose term belongs to another placer.
type TakenError struct{ Endpoint string }

// Error implements error.
func (e *TakenError) Error() string {
	return "the term of endpoint " + e.Endpoint + " belongs to another placer"
}

// noFence grants no terms, so endpoints without fencing stay unowned.
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
