package hold

import "context"

// Witness says whether anyone else may keep the tasks of an endpoint alive.
// An owner that can't reach its endpoint may have been succeeded by another
// placer that can, and that renews the leases there.
type Witness interface {
	// Abandoned reports whether every other placer that could have succeeded
	// says that it hasn't owned the endpoint for as long as leases can last
	// after their last renewal.
	Abandoned(ctx context.Context, endpoint string) bool
}

// alone is the Witness of a placer without others.
type alone struct{}

// Abandoned implements Witness.
func (alone) Abandoned(context.Context, string) bool { return true }
