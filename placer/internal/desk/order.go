package desk

import "github.com/balsamford/balsamford/placer/internal/sched"

// Order is a decision under the ownership in which it was made. It may be
// carried out only under the same epoch.
type Order struct {
	sched.Decision
	Epoch uint64
}
