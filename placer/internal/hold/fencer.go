package hold

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
)

// Fencer grants terms for endpoints that don't refuse old owners by
// themselves. The calls may block for a fraction of a term.
type Fencer interface {
	// Permit reports whether the owner may open the endpoint now.
	Permit(ctx context.Context, t Target, o point.Owner) bool
	// Renew reports whether the owner's term has been renewed.
	Renew(ctx context.Context, t Target, o point.Owner) bool
	// Release gives the term back.
	Release(ctx context.Context, t Target, o point.Owner)
}

// noFence leaves it to the endpoints.
type noFence struct{}

// Permit implements Fencer.
func (noFence) Permit(context.Context, Target, point.Owner) bool { return true }

// Renew implements Fencer.
func (noFence) Renew(context.Context, Target, point.Owner) bool { return true }

// Release implements Fencer.
func (noFence) Release(context.Context, Target, point.Owner) {}
