package wire

// Kind is the way in which a request is to be run.
type Kind string

// The kinds of request.
const (
	Quick   Kind = "quick"   // one short run, for whose answer the caller waits
	Service Kind = "service" // replicas that run until they are cancelled
	Batch   Kind = "batch"   // tasks that run to completion and may start one by one
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
