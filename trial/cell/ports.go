package cell

import (
	"errors"
	"io"
	"net"
)

// loopback is the host part of all addresses.
const loopback = "127.0.0.1:0"

// ports picks free ports. All stay bound until they are released together,
// so that none is picked twice.
type ports struct {
	held []io.Closer
}

// tcp returns a free TCP address.
func (p *ports) tcp() (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", &PortError{Err: err}
	}
	p.held = append(p.held, ln)
	return ln.Addr().String(), nil
}

// udp returns a free UDP address.
func (p *ports) udp() (string, error) {
	conn, err := net.ListenPacket("udp", loopback)
	if err != nil {
		return "", &PortError{Err: err}
	}
	p.held = append(p.held, conn)
	return conn.LocalAddr().String(), nil
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
