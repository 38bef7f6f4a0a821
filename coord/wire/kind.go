package wire

// Kind says how a request wants to be run.
type Kind string

// The kinds of request.
const (
	Quick   Kind = "quick"   // one short run, the caller waits for its answer
	Service Kind = "service" // replicas that run until they are cancelled
	Batch   Kind = "batch"   // tasks that may start one by one and end
	Gang    Kind = "gang"    // tasks that start all together or not at all
)

// Valid reports whether k is one of the kinds.
func (k Kind) Valid() bool {
	switch k {
	case Quick, Service, Batch, Gang:
		return true
	}
	return false
}
