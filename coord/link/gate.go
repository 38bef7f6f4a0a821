package link

// Gate is a fault switch: it says whether traffic with the peer of that
// address (IP number and port) or name may pass. It is called concurrently.
type Gate interface {
	Open(peer string) bool
}

// openGate lets everything pass.
type openGate struct{}

// Open implements Gate.
func (openGate) Open(string) bool { return true }
