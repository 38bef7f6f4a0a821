package point

// Kind is the type of an endpoint.
type Kind string

// The kinds of endpoint.
const (
	Executor Kind = "executor" // answers short requests
	Worker   Kind = "worker"   // runs tasks under leases
)

// Fence is the way in which former owners of an endpoint are fenced off.
type Fence string

// The fences.
const (
	FenceEpoch Fence = "endpoint" // the endpoint rejects calls with an older epoch
	FenceClock Fence = "clock"    // the endpoint doesn't; owners must not call it after their term has ended
)
