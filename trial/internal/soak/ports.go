package soak

import (
	"net"
	"strconv"
	"sync"
)

// The ports that a ports hands out. They are below those that systems use for outgoing
// connections, which may take a port while no process listens on it.
const (
	firstPort = 12000
	lastPort  = 31999
)

// ports hands out loopback addresses, each once. It may be used concurrently.
type ports struct {
	mu   sync.Mutex // guards next
	next int        // port to try next
}

// newPorts returns a ports that begins at a port chosen by offset.
func newPorts(offset int) *ports { return &ports{next: firstPort + offset%(lastPort-firstPort+1)} }

// free returns an address that is currently unused for TCP and UDP.
func (p *ports) free() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	for range lastPort - firstPort + 1 {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(p.next))
		if p.next++; p.next > lastPort {
			p.next = firstPort
		}
		if err = tryListen(address); err == nil {
			return address, nil
		}
	}
	return "", err
}

// tryListen listens on address for a moment.
func tryListen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = ln.Close() }()
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
