package owner

import "github.com/balsamford/balsamford/node/internal/plan"

// order is an order to an executor. Exactly one field is set.
type order struct {
	start *plan.Start
	stop  *plan.Stop
	pace  *plan.Pace
}
