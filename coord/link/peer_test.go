package link

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestDeadPeerCostsOneDial calls an unresponsive peer from many goroutines. It
// guards against dials that run one after another, so that the last caller waits
// for the timeouts of all others.
func TestDeadPeerCostsOneDial(t *testing.T) {
	is := is.New(t)
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(silent.Close()) }()
	const idle = 300 * time.Millisecond
	client := startNode(t, "client", newCerts(t), nil, WithIdle(idle))
	begin := time.Now()
	var g errgroup.Group
	for range 50 {
		g.Go(func() error {
			if _, err := client.Open(context.Background(), silent.LocalAddr().String(), "echo"); err == nil {
				t.Error("a silent peer can't be opened")
			}
			return nil
		})
	}
	is.NoErr(g.Wait())
	is.True(time.Since(begin) < 20*idle) // Sequential dials took 50 idle times.
}
