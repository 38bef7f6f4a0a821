package queue

import "github.com/balsamford/balsamford/placer/internal/sched"

// Order is a decision and the epoch of the ownership under which it was made.
// It may be carried out only under that epoch.
type Order struct {
	sched.Decision
	Epoch uint64
}
