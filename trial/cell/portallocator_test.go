package cell

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Another deployment took a port after its release and before its process listened on it.
func TestOtherDeploymentTakesPort(t *testing.T) {
	is := is.New(t)
	p := newPortAllocator()
	address, err := p.tcp()
	is.NoErr(err)
	is.NoErr(p.release())
	_, port, err := net.SplitHostPort(address)
	is.NoErr(err)
	// If the port is taken on 127.0.0.1 already, that serves as well.
	if other, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port)); err == nil {
		defer func() { _ = other.Close() }()
	}
	ln, err := net.Listen("tcp", address)
	is.NoErr(err)
	is.NoErr(ln.Close())
}
