package cell

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
)

const (
	// loopback is the IP number of all addresses.
	loopback = "127.0.0.1"
	// Ports are picked below those that the system gives to outgoing
	// connections, which could take a port before its process binds it.
	firstPort, lastPort = 10_000, 32_000
	// portTries is how many ports are tried before the system picks one.
	portTries = 200
)

// ports picks free ports. All stay bound until they are released together,
// so that none is picked twice.
type ports struct {
	held []io.Closer
}

// tcp returns a free TCP address.
func (p *ports) tcp() (string, error) {
	return p.pick(func(address string) (io.Closer, net.Addr, error) {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, err
		}
		return ln, ln.Addr(), nil
	})
}

// udp returns a free UDP address.
func (p *ports) udp() (string, error) {
	return p.pick(func(address string) (io.Closer, net.Addr, error) {
		conn, err := net.ListenPacket("udp", address)
		if err != nil {
			return nil, nil, err
		}
		return conn, conn.LocalAddr(), nil
	})
}

func (p *ports) pick(bind func(address string) (io.Closer, net.Addr, error)) (string, error) {
	var err error
	for try := range portTries + 1 {
		port := firstPort + rand.IntN(lastPort-firstPort) //nolint:gosec // Any free port will do.
		if try == portTries {
			port = 0
		}
		var (
			c io.Closer
			a net.Addr
		)
		if c, a, err = bind(net.JoinHostPort(loopback, strconv.Itoa(port))); err == nil {
			p.held = append(p.held, c)
			return a.String(), nil
		}
	}
	return "", &PortError{Err: err}
}

func (p *ports) release() error {
	var err error
	for _, c := range p.held {
		err = errors.Join(err, c.Close())
	}
	p.held = nil
	return err
}

// PortError reports that no free port could be found.
type PortError struct{ Err error }

// Error implements error.
func (e *PortError) Error() string { return "no free port: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *PortError) Unwrap() error { return e.Err }
