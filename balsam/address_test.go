package main

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// A process of another package's test took a port of the cell between its choice and the start of
// the cell's process, which ended with "address already in use".
func TestOtherTestTakesPort(t *testing.T) {
	tests := map[string]func(address string) (func() error, error){
		"tcp": func(address string) (func() error, error) {
			ln, err := net.Listen("tcp", address)
			if err != nil {
				return nil, err
			}
			return ln.Close, nil
		},
		"udp": func(address string) (func() error, error) {
			conn, err := net.ListenPacket("udp", address)
			if err != nil {
				return nil, err
			}
			return conn.Close, nil
		},
	}
	for network, listen := range tests {
		t.Run(network, func(t *testing.T) {
			is := is.New(t)
			c := &processCell{t: t, ip: newLoopbackIP(), used: make(map[string]bool)}
			address := c.freeAddress(network)
			_, port, err := net.SplitHostPort(address)
			is.NoErr(err)
			// If the port is taken on 127.0.0.1 already, that serves as well.
			if closeOther, err := listen(net.JoinHostPort("127.0.0.1", port)); err == nil {
				defer func() { _ = closeOther() }()
			}
			is.True(canBind(network, address))
		})
	}
}
