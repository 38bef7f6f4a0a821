package cell

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
)

const (
	// Ports are chosen below the range that the kernel uses for outgoing
	// connections, since such a connection could take a port before its process
	// binds it.
	firstPort, lastPort = 10_000, 32_000
	// maxPortTries is how many random ports are tried before the kernel chooses
	// one.
	maxPortTries = 200
)

// portAllocator allocates free ports. All stay bound until release, so that no
// port is allocated twice.
type portAllocator struct {
	ip    net.IP
	bound []io.Closer
}

// newPortAllocator returns a portAllocator for a random loopback address. On 127.0.0.1
// another deployment could take a port between its release and its process's bind.
func newPortAllocator() *portAllocator {
	part := func() byte { return byte(1 + rand.IntN(250)) } //nolint:gosec // Any address will do.
	return &portAllocator{ip: net.IPv4(127, part(), part(), part())}
}

// tcp returns a free TCP address.
func (p *portAllocator) tcp() (string, error) {
	return p.allocate(func(address string) (io.Closer, net.Addr, error) {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, err
		}
		return ln, ln.Addr(), nil
	})
}

// udp returns a free UDP address.
func (p *portAllocator) udp() (string, error) {
	return p.allocate(func(address string) (io.Closer, net.Addr, error) {
		conn, err := net.ListenPacket("udp", address)
		if err != nil {
			return nil, nil, err
		}
		return conn, conn.LocalAddr(), nil
	})
}

func (p *portAllocator) allocate(bind func(address string) (io.Closer, net.Addr, error)) (string, error) {
	var err error
	for try := range maxPortTries + 1 {
		port := firstPort + rand.IntN(lastPort-firstPort) //nolint:gosec // Any free port will do.
		if try == maxPortTries {
			port = 0
		}
		var (
			c io.Closer
			a net.Addr
		)
		if c, a, err = bind(net.JoinHostPort(p.ip.String(), strconv.Itoa(port))); err == nil {
			p.bound = append(p.bound, c)
			return a.String(), nil
		}
	}
	return "", &PortError{Err: err}
}

func (p *portAllocator) release() error {
	var err error
	for _, c := range p.bound {
		err = errors.Join(err, c.Close())
	}
	p.bound = nil
	return err
}

// PortError reports that no free port could be found.
type PortError struct{ Err error }

// Error implements error.
func (e *PortError) Error() string { return "no free port: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *PortError) Unwrap() error { return e.Err }
