package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// BenchmarkCall measures the round trip of one small call, with both ends in
// this process.
func BenchmarkCall(b *testing.B) {
	certs, err := IssueFiles(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	server := New("server", certs)
	server.Handle("echo", HandlerFunc(echo))
	client := New("client", certs)
	for _, n := range []*Node{server, client} {
		if err := n.Listen("127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
		g.Go(func() error { return n.Run(ctx) })
	}
	in := make([]byte, 200)
	var out []byte
	b.ReportAllocs()
	start := processorTime()
	for b.Loop() {
		if err := client.Call(ctx, server.Address(), "echo", in, &out); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime()-start)/float64(b.N)/1e3, "cpu-us/op")
	cancel()
	_ = g.Wait()
}

// TestIdleCost prints the memory, processor time and traffic of idle
// connections. It runs only if LINK_COST lists numbers of peers, such as
// "10,50,100,200".
func TestIdleCost(t *testing.T) {
	sizes := os.Getenv("LINK_COST")
	if sizes == "" {
		t.Skip("LINK_COST is not set")
	}
	for _, size := range strings.Split(sizes, ",") {
		peers, err := strconv.Atoi(size)
		is.New(t).NoErr(err)
		t.Run(size, func(t *testing.T) { measureIdle(t, peers) })
	}
}

func measureIdle(t *testing.T, peers int) {
	is := is.New(t)
	certs := newCerts(t)
	hub := startNode(t, "hub", certs, map[string]HandlerFunc{"echo": echo})
	before := heapBytes()
	var relays []*relay
	for i := range peers {
		n := startNode(t, fmt.Sprint("peer", i), certs, nil)
		r := startRelay(t, hub.Address())
		var out []byte
		is.NoErr(n.Call(context.Background(), r.address(), "echo", []byte("x"), &out))
		relays = append(relays, r)
	}
	held := heapBytes() - before
	time.Sleep(settle())
	for _, r := range relays {
		r.bytes.Store(0)
	}
	start := processorTime()
	const span = 5 * time.Second
	time.Sleep(span)
	used := processorTime() - start
	var carried int64
	for _, r := range relays {
		carried += r.bytes.Load()
	}
	t.Logf("peers=%d heap/connection(both ends)=%d B processor=%.3f%% of a core (both ends) bytes/s/connection(both ways)=%d",
		peers, held/int64(peers), 100*float64(used)/float64(span), carried/int64(peers)/int64(span/time.Second))
}

// settle returns how long to wait before measuring: the duration in the
// environment variable LINK_SETTLE, or 0.
func settle() time.Duration {
	d, err := time.ParseDuration(os.Getenv("LINK_SETTLE"))
	if err != nil {
		return 0
	}
	return d
}

// relay forwards datagrams between one client and a server and counts their
// bytes.
type relay struct {
	conn  *net.UDPConn
	bytes atomic.Int64
}

func (r *relay) address() string { return r.conn.LocalAddr().String() }

func startRelay(t *testing.T, server string) *relay {
	t.Helper()
	is := is.New(t)
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	target, err := net.ResolveUDPAddr("udp", server)
	is.NoErr(err)
	r := &relay{conn: conn}
	var g errgroup.Group
	g.Go(func() error {
		buf := make([]byte, 2048)
		var client *net.UDPAddr
		for {
			n, from, err := conn.ReadFromUDP(buf)
			if err != nil {
				return io.EOF
			}
			to := target
			if from.Port == target.Port {
				to = client
			}
			if to == target {
				client = from
			}
			r.bytes.Add(int64(n))
			_, _ = conn.WriteToUDP(buf[:n], to)
		}
	})
	t.Cleanup(func() {
		_ = conn.Close()
		_ = g.Wait()
	})
	return r
}

// heapBytes returns the bytes of heap and stack in use after a garbage
// collection.
func heapBytes() int64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// processorTime returns the user and system time of this process in
// nanoseconds.
func processorTime() int64 {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return u.Utime.Nano() + u.Stime.Nano()
}
