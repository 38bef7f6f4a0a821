package link

// Gate injects network faults: it decides which peers a Node may exchange
// messages with. It must be safe for concurrent use.
type Gate interface {
	// Open reports whether traffic with a peer may pass. The peer is given by
	// its address (IP address and port) or by its name.
	Open(peer string) bool
}

// openGate lets all traffic pass.
type openGate struct{}

// Open implements Gate.
func (openGate) Open(string) bool { return true }
