package point

// Kind is what an endpoint is.
type Kind string

// The kinds of endpoint.
const (
	Executor Kind = "executor"
	Worker   Kind = "worker"
)

// Fence says how an endpoint keeps old owners out.
type Fence string

// An endpoint with FenceEpoch refuses older epochs by itself. One with
// FenceClock does not, and its owners have to keep to their terms.
const (
	FenceEpoch Fence = "endpoint"
	FenceClock Fence = "clock"
)
