package soak

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// An address isn't handed out while it is used for UDP, as those for calls between hosts are,
// nor twice.
func TestHostDoesNotBecomeReadySincePortIsUsed(t *testing.T) {
	is := is.New(t)
	first, err := newPorts(7).free()
	is.NoErr(err)
	conn, err := net.ListenPacket("udp", first)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	p := newPorts(7)
	second, err := p.free()
	is.NoErr(err)
	third, err := p.free()
	is.NoErr(err)
	is.True(first != second)
	is.True(second != third)
}
