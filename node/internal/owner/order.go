package owner

import "github.com/balsamford/balsamford/node/internal/plan"

// order is one order to an executor; one field is set.
type order struct {
	start *plan.Start
	stop  *plan.Stop
	pace  *plan.Pace
}
